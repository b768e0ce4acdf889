package main

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/core/rollout"
)

// lateSteps is for how many steps after its own a group may be delivered.
const lateSteps = 2

// book decides which samples of one deployment run when.
type book interface {
	start(limit int, now time.Time) []rollout.Work
	generated(done rollout.Work, sample core.Sample, now time.Time)
	retry(failed rollout.Work)
	asked(step core.Step, now time.Time)
	published(version core.WeightVersion, now time.Time)
	finished() []delivery.Finished
	pending() int // samples that could be started
	held() int    // finished samples that are not delivered
	delivered(record core.DeliveryRecord, now time.Time) (closed []rollout.Work)
	tooOld(ids []core.GroupID, trainer core.WeightVersion)
	// review returns the runs to be moved and to be ended; observe tells the
	// tokens of a run.
	review(observe func(rollout.Work) (int, core.WeightVersion), now time.Time) (move, cancel []rollout.Work)
}

// plannedBook plans a fixed number of steps ahead, in place of
// package rollout; one step ahead waits for all samples of a step.
type plannedBook struct {
	demand *core.Rollout
	ahead  core.Step
	record core.DeliveryRecord
	states map[core.GroupID][]plannedSample
	newest core.WeightVersion
	runs   uint64
}

type plannedSample struct {
	run    uint64 // zero while it does not run
	done   bool
	oldest core.WeightVersion
}

func newPlannedBook(demand *core.Rollout, ahead core.Step) *plannedBook {
	return &plannedBook{demand: demand, ahead: ahead, newest: 1, states: make(map[core.GroupID][]plannedSample)}
}

func (b *plannedBook) start(limit int, _ time.Time) (started []rollout.Work) {
	through := b.record.LastStep + b.ahead
	for _, id := range delivery.Open(b.record, through, b.demand.GroupsPerStep, b.demand.GroupsPerStep*int(b.ahead)) {
		if b.states[id] == nil {
			b.states[id] = make([]plannedSample, b.demand.GroupSize)
		}
		for i := range b.states[id] {
			if s := &b.states[id][i]; s.run == 0 && !s.done && len(started) < limit {
				b.runs++
				s.run = b.runs
				started = append(started, rollout.Work{ID: core.SampleID{Group: id, Index: i}, Run: s.run, Oldest: b.oldestUseful()})
			}
		}
	}
	return started
}

func (b *plannedBook) oldestUseful() core.WeightVersion {
	bound := core.WeightVersion(b.demand.StalenessBound)
	return max(b.newest, bound+1) - bound
}

func (b *plannedBook) sample(w rollout.Work) *plannedSample {
	if samples := b.states[w.ID.Group]; samples != nil && samples[w.ID.Index].run == w.Run {
		return &samples[w.ID.Index]
	}
	return &plannedSample{}
}

func (b *plannedBook) generated(done rollout.Work, sample core.Sample, _ time.Time) {
	*b.sample(done) = plannedSample{done: true, oldest: sample.OldestVersion()}
}

func (b *plannedBook) retry(failed rollout.Work)                         { b.sample(failed).run = 0 }
func (b *plannedBook) asked(core.Step, time.Time)                        {}
func (b *plannedBook) published(version core.WeightVersion, _ time.Time) { b.newest = version }

func (b *plannedBook) finished() (whole []delivery.Finished) {
	for id, samples := range b.states {
		oldest := b.newest
		for _, s := range samples {
			if !s.done {
				oldest = 0
			}
			oldest = min(oldest, s.oldest)
		}
		if oldest > 0 {
			whole = append(whole, delivery.Finished{ID: id, Oldest: oldest})
		}
	}
	return whole
}

func (b *plannedBook) pending() (count int) {
	for _, samples := range b.states {
		for _, s := range samples {
			if s.run == 0 && !s.done {
				count++
			}
		}
	}
	return count
}

func (b *plannedBook) held() (count int) {
	for _, samples := range b.states {
		for _, s := range samples {
			if s.done {
				count++
			}
		}
	}
	return count
}

func (b *plannedBook) delivered(record core.DeliveryRecord, _ time.Time) (closed []rollout.Work) {
	b.record = record
	for id, samples := range b.states {
		if !delivery.Delivered(record, id) {
			continue
		}
		for i, s := range samples {
			if s.run != 0 && !s.done {
				closed = append(closed, rollout.Work{ID: core.SampleID{Group: id, Index: i}, Run: s.run})
			}
		}
		delete(b.states, id)
	}
	return closed
}

func (b *plannedBook) tooOld(ids []core.GroupID, trainer core.WeightVersion) {
	for _, id := range ids {
		for i, s := range b.states[id] {
			if s.done && !delivery.Fresh(s.oldest, trainer, b.demand.StalenessBound) {
				b.states[id][i] = plannedSample{}
			}
		}
	}
}

func (b *plannedBook) review(func(rollout.Work) (int, core.WeightVersion), time.Time) (move, cancel []rollout.Work) {
	return nil, nil
}

// trainer is one deployment's trainer with its coordinator's work.
type trainer struct {
	w          *world
	number     int
	deployment *core.Deployment
	entry      int
	book       book
	record     core.DeliveryRecord
	running    map[uint64]*sampleRun
	step       core.Step
	version    core.WeightVersion
	askedAt    time.Duration
	fixedAt    time.Duration
	asking     bool
	counts     sampleCounts
	idle       time.Duration // after the warm-up
}

// sampleCounts counts samples of the whole run, its warm-up included.
type sampleCounts struct {
	generated int // to the end
	delivered int
	canceled  int // while they ran
	refused   int // or failed, and tried again
}

type sampleRun struct {
	work    rollout.Work
	request *request
}

func (t *trainer) ask() {
	t.step++
	t.asking, t.askedAt = true, t.w.clock.Now()
	t.book.asked(t.step, t.w.clock.Time())
	t.tryBatch()
}

// tryBatch fixes the batch of the step that the trainer asks for, if it can.
func (t *trainer) tryBatch() {
	if !t.asking {
		return
	}
	deliveryKey, stepKey := delivery.Keys(t.deployment.Name, t.step)
	rows := delivery.Rows{Delivery: core.Row{Key: deliveryKey}, Step: core.Row{Key: stepKey}}
	if t.step > 1 {
		rows.Delivery.Record = t.record
	}
	demand := t.deployment.Rollout
	decision, err := delivery.PlanStep(rows, core.BatchRequest{Deployment: t.deployment.Name, Step: t.step, Version: t.version},
		t.book.finished(), delivery.Policy{GroupsPerStep: demand.GroupsPerStep, StalenessBound: demand.StalenessBound,
			Window: delivery.Window{Late: lateSteps, Ahead: rollout.MaxStepsAhead}}, delivery.Guard{Fence: 1}, "a")
	if err != nil {
		panic(err)
	}
	t.book.tooOld(decision.TooOld, t.version)
	if decision.Kind != delivery.Fix {
		return
	}
	t.deliver(decision)
}

func (t *trainer) deliver(decision delivery.Decision) {
	oldest := make(map[core.GroupID]core.WeightVersion)
	for _, group := range t.book.finished() {
		oldest[group.ID] = group.Oldest
	}
	for _, id := range decision.Chosen {
		t.w.groupDelivered(t, uint64(t.version-min(t.version, oldest[id])))
	}
	for _, write := range decision.Commit.Writes {
		if record, ok := write.Record.(core.DeliveryRecord); ok {
			t.record = record
		}
	}
	t.end(t.book.delivered(t.record, t.w.clock.Time()))
	t.w.stepFixed(t)
	t.asking, t.fixedAt = false, t.w.clock.Now()
	t.w.clock.After(trainerWork, t.trained)
	t.start()
}

// trained publishes new weights after some steps and asks for the next step.
func (t *trainer) trained() {
	if t.step%stepsPerVersion == 0 {
		t.version++
		t.book.published(t.version, t.w.clock.Time())
		for _, server := range t.w.servers {
			server.load(t.w, t.deployment.Adapter, t.version)
		}
	}
	t.ask()
}

// coordinate is the coordinator's periodic work.
func (t *trainer) coordinate() {
	move, cancel := t.book.review(t.observe, t.w.clock.Time())
	t.end(cancel)
	for _, moved := range byRun(move) {
		if run := t.running[moved.Run]; run != nil {
			t.w.move(run.request)
		}
	}
	t.start()
	t.tryBatch()
	t.w.clock.After(time.Second, t.coordinate)
}

func (t *trainer) observe(w rollout.Work) (int, core.WeightVersion) {
	run := t.running[w.Run]
	if run == nil {
		return 0, 0
	}
	return t.w.progress(run.request)
}

func (t *trainer) start() {
	now, limits := t.w.clock.Time(), t.w.entries[t.entry].limits[t.deployment.Name]
	limit := min(t.deployment.Limits.Concurrent, limits.RolloutCapacity(t.deployment, now))
	for _, started := range t.book.start(limit, now) {
		r := sampleOf(t.deployment, t.number, started.ID)
		r.entry, r.oldest = t.entry, started.Oldest
		t.running[started.Run] = &sampleRun{started, r}
		r.ended = func(ok bool) { t.ended(started, r, ok) }
		t.w.submit(r)
	}
	limits.SetBacklog(t.deployment.Name, t.book.pending())
}

func (t *trainer) ended(done rollout.Work, r *request, ok bool) {
	if t.running[done.Run] == nil {
		return
	}
	delete(t.running, done.Run)
	if !ok {
		t.counts.refused++
		t.book.retry(done)
		return
	}
	t.counts.generated++
	sample := core.Sample{Deployment: t.deployment.Name, ID: done.ID, Spans: []core.Span{{To: r.answer, Version: r.produced}}}
	t.book.generated(done, sample, t.w.clock.Time())
	t.tryBatch()
}

// end cancels runs that are no longer wanted.
func (t *trainer) end(runs []rollout.Work) {
	for _, ended := range byRun(runs) {
		if run := t.running[ended.Run]; run != nil {
			delete(t.running, ended.Run)
			t.counts.canceled++
			t.w.abandon(run.request)
		}
	}
}

func byRun(runs []rollout.Work) []rollout.Work {
	slices.SortFunc(runs, func(a, b rollout.Work) int { return cmp.Compare(a.Run, b.Run) })
	return runs
}
