package main

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/core/rollout"
)

// maxStepsLate is how many steps after its own a group may still be delivered.
const maxStepsLate = 2

// sampleScheduler decides which samples of one deployment run, and when.
type sampleScheduler interface {
	startRuns(limit int, now time.Time) []rollout.SampleRun
	completeRun(done rollout.SampleRun, sample core.Sample, now time.Time)
	retryRun(failed rollout.SampleRun)
	requestStep(step core.Step, now time.Time)
	publishVersion(version core.WeightVersion, now time.Time)
	finishedGroups() []delivery.FinishedGroup
	pendingCount() int     // samples that can be started
	undeliveredCount() int // finished samples that are not yet delivered
	recordDelivery(record core.DeliveryRecord, now time.Time) (closed []rollout.SampleRun)
	discardStale(ids []core.GroupID, trainer core.WeightVersion)
	// reviewRuns returns the runs to move and to cancel. observe returns the
	// tokens that a run has generated and the oldest weight version among them.
	reviewRuns(observe func(rollout.SampleRun) (int, core.WeightVersion), now time.Time) (move, cancel []rollout.SampleRun)
}

// fixedAheadScheduler is a baseline that schedules a fixed number of steps
// ahead. With one step ahead the trainer waits for all samples of each step.
type fixedAheadScheduler struct {
	settings      *core.Rollout
	stepsAhead    core.Step
	record        core.DeliveryRecord
	states        map[core.GroupID][]sampleState
	newestVersion core.WeightVersion
	runCount      uint64
}

type sampleState struct {
	runNumber     uint64 // zero while the sample is not running
	done          bool
	oldestVersion core.WeightVersion
}

func newFixedAheadScheduler(settings *core.Rollout, stepsAhead core.Step) *fixedAheadScheduler {
	return &fixedAheadScheduler{settings: settings, stepsAhead: stepsAhead, newestVersion: 1, states: make(map[core.GroupID][]sampleState)}
}

func (s *fixedAheadScheduler) startRuns(limit int, _ time.Time) (started []rollout.SampleRun) {
	through := s.record.LastStep + s.stepsAhead
	for _, id := range delivery.OpenGroups(s.record, through, s.settings.GroupsPerStep, s.settings.GroupsPerStep*int(s.stepsAhead)) {
		if s.states[id] == nil {
			s.states[id] = make([]sampleState, s.settings.GroupSize)
		}
		for i := range s.states[id] {
			if state := &s.states[id][i]; state.runNumber == 0 && !state.done && len(started) < limit {
				s.runCount++
				state.runNumber = s.runCount
				started = append(started, rollout.SampleRun{ID: core.SampleID{Group: id, Index: i}, Run: state.runNumber, Oldest: s.oldestAllowedVersion()})
			}
		}
	}
	return started
}

func (s *fixedAheadScheduler) oldestAllowedVersion() core.WeightVersion {
	bound := core.WeightVersion(s.settings.StalenessBound)
	return max(s.newestVersion, bound+1) - bound
}

func (s *fixedAheadScheduler) sample(run rollout.SampleRun) *sampleState {
	if samples := s.states[run.ID.Group]; samples != nil && samples[run.ID.Index].runNumber == run.Run {
		return &samples[run.ID.Index]
	}
	return &sampleState{}
}

func (s *fixedAheadScheduler) completeRun(done rollout.SampleRun, sample core.Sample, _ time.Time) {
	*s.sample(done) = sampleState{done: true, oldestVersion: sample.OldestVersion()}
}

func (s *fixedAheadScheduler) retryRun(failed rollout.SampleRun) { s.sample(failed).runNumber = 0 }
func (s *fixedAheadScheduler) requestStep(core.Step, time.Time)  {}
func (s *fixedAheadScheduler) publishVersion(version core.WeightVersion, _ time.Time) {
	s.newestVersion = version
}

func (s *fixedAheadScheduler) finishedGroups() (groups []delivery.FinishedGroup) {
	for id, samples := range s.states {
		oldest := s.newestVersion
		for _, state := range samples {
			if !state.done {
				oldest = 0
			}
			oldest = min(oldest, state.oldestVersion)
		}
		if oldest > 0 {
			groups = append(groups, delivery.FinishedGroup{ID: id, OldestVersion: oldest})
		}
	}
	return groups
}

func (s *fixedAheadScheduler) pendingCount() (count int) {
	for _, samples := range s.states {
		for _, state := range samples {
			if state.runNumber == 0 && !state.done {
				count++
			}
		}
	}
	return count
}

func (s *fixedAheadScheduler) undeliveredCount() (count int) {
	for _, samples := range s.states {
		for _, state := range samples {
			if state.done {
				count++
			}
		}
	}
	return count
}

func (s *fixedAheadScheduler) recordDelivery(record core.DeliveryRecord, _ time.Time) (closed []rollout.SampleRun) {
	s.record = record
	for id, samples := range s.states {
		if !delivery.IsDelivered(record, id) {
			continue
		}
		for i, state := range samples {
			if state.runNumber != 0 && !state.done {
				closed = append(closed, rollout.SampleRun{ID: core.SampleID{Group: id, Index: i}, Run: state.runNumber})
			}
		}
		delete(s.states, id)
	}
	return closed
}

func (s *fixedAheadScheduler) discardStale(ids []core.GroupID, trainer core.WeightVersion) {
	for _, id := range ids {
		for i, state := range s.states[id] {
			if state.done && !delivery.IsFresh(state.oldestVersion, trainer, s.settings.StalenessBound) {
				s.states[id][i] = sampleState{}
			}
		}
	}
}

func (s *fixedAheadScheduler) reviewRuns(func(rollout.SampleRun) (int, core.WeightVersion), time.Time) (move, cancel []rollout.SampleRun) {
	return nil, nil
}

// trainer simulates one deployment's trainer together with its coordinator.
type trainer struct {
	sim             *simulation
	deploymentIndex int
	deployment      *core.Deployment
	entryIndex      int
	scheduler       sampleScheduler
	record          core.DeliveryRecord
	running         map[uint64]*sampleRun
	step            core.Step
	version         core.WeightVersion
	requestedAt     time.Duration
	batchFixedAt    time.Duration
	isWaiting       bool
	counts          sampleCounts
	idleTime        time.Duration // excludes the warm-up
}

// sampleCounts counts samples over the full simulation, including the warm-up.
type sampleCounts struct {
	generated int // completely
	delivered int
	canceled  int // while running
	refused   int // or failed, and retried
}

type sampleRun struct {
	work    rollout.SampleRun
	request *request
}

func (t *trainer) requestStep() {
	t.step++
	t.isWaiting, t.requestedAt = true, t.sim.clock.Now()
	t.scheduler.requestStep(t.step, t.sim.clock.Time())
	t.tryFixBatch()
}

// tryFixBatch fixes the batch of the requested step if enough groups are finished.
func (t *trainer) tryFixBatch() {
	if !t.isWaiting {
		return
	}
	deliveryKey, stepKey := delivery.RowKeys(t.deployment.Name, t.step)
	rows := delivery.Rows{Delivery: core.Row{Key: deliveryKey}, Step: core.Row{Key: stepKey}}
	if t.step > 1 {
		rows.Delivery.Record = t.record
	}
	settings := t.deployment.Rollout
	decision, err := delivery.PlanStep(rows, core.BatchRequest{Deployment: t.deployment.Name, Step: t.step, Version: t.version},
		t.scheduler.finishedGroups(), delivery.Policy{GroupsPerStep: settings.GroupsPerStep, StalenessBound: settings.StalenessBound,
			Window: delivery.Window{LateSteps: maxStepsLate, AheadSteps: rollout.MaxStepsAhead}}, delivery.Guard{Fence: 1}, "a")
	if err != nil {
		panic(err)
	}
	t.scheduler.discardStale(decision.TooOld, t.version)
	if decision.Kind != delivery.Fix {
		return
	}
	t.deliverBatch(decision)
}

func (t *trainer) deliverBatch(decision delivery.Decision) {
	oldest := make(map[core.GroupID]core.WeightVersion)
	for _, group := range t.scheduler.finishedGroups() {
		oldest[group.ID] = group.OldestVersion
	}
	for _, id := range decision.Chosen {
		t.sim.countDeliveredGroup(t, uint64(t.version-min(t.version, oldest[id])))
	}
	for _, write := range decision.Commit.Writes {
		if record, ok := write.Record.(core.DeliveryRecord); ok {
			t.record = record
		}
	}
	t.cancelRuns(t.scheduler.recordDelivery(t.record, t.sim.clock.Time()))
	t.sim.recordStepInterval(t)
	t.isWaiting, t.batchFixedAt = false, t.sim.clock.Now()
	t.sim.clock.After(trainingTime, t.finishTraining)
	t.startRuns()
}

// finishTraining publishes new weights every stepsPerVersion steps and requests
// the next step.
func (t *trainer) finishTraining() {
	if t.step%stepsPerVersion == 0 {
		t.version++
		t.scheduler.publishVersion(t.version, t.sim.clock.Time())
		for _, server := range t.sim.servers {
			server.scheduleWeightLoad(t.sim, t.deployment.Adapter, t.version)
		}
	}
	t.requestStep()
}

// coordinate runs the coordinator's periodic work once per second.
func (t *trainer) coordinate() {
	move, cancel := t.scheduler.reviewRuns(t.runProgress, t.sim.clock.Time())
	t.cancelRuns(cancel)
	for _, moved := range sortByRun(move) {
		if run := t.running[moved.Run]; run != nil {
			t.sim.moveRequest(run.request)
		}
	}
	t.startRuns()
	t.tryFixBatch()
	t.sim.clock.After(time.Second, t.coordinate)
}

func (t *trainer) runProgress(work rollout.SampleRun) (int, core.WeightVersion) {
	run := t.running[work.Run]
	if run == nil {
		return 0, 0
	}
	return t.sim.requestProgress(run.request)
}

func (t *trainer) startRuns() {
	now, limits := t.sim.clock.Time(), t.sim.entries[t.entryIndex].limits[t.deployment.Name]
	limit := min(t.deployment.Limits.Concurrent, limits.RolloutCapacity(t.deployment, now))
	for _, started := range t.scheduler.startRuns(limit, now) {
		r := newSampleRequest(t.deployment, t.deploymentIndex, started.ID)
		r.entry, r.minVersion = t.entryIndex, started.Oldest
		t.running[started.Run] = &sampleRun{started, r}
		r.onEnd = func(ok bool) { t.sampleEnded(started, r, ok) }
		t.sim.submit(r)
	}
	limits.SetBacklog(t.deployment.Name, t.scheduler.pendingCount())
}

func (t *trainer) sampleEnded(done rollout.SampleRun, r *request, ok bool) {
	if t.running[done.Run] == nil {
		return
	}
	delete(t.running, done.Run)
	if !ok {
		t.counts.refused++
		t.scheduler.retryRun(done)
		return
	}
	t.counts.generated++
	sample := core.Sample{Deployment: t.deployment.Name, ID: done.ID, Spans: []core.Span{{To: r.answerTokens, Version: r.oldestProduced}}}
	t.scheduler.completeRun(done, sample, t.sim.clock.Time())
	t.tryFixBatch()
}

// cancelRuns cancels runs whose samples are no longer needed.
func (t *trainer) cancelRuns(runs []rollout.SampleRun) {
	for _, ended := range sortByRun(runs) {
		if run := t.running[ended.Run]; run != nil {
			delete(t.running, ended.Run)
			t.counts.canceled++
			t.sim.abandonRequest(run.request)
		}
	}
}

func sortByRun(runs []rollout.SampleRun) []rollout.SampleRun {
	slices.SortFunc(runs, func(a, b rollout.SampleRun) int { return cmp.Compare(a.Run, b.Run) })
	return runs
}
