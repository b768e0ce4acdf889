package rollout

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
)

// sampleState is the state of a sample of a planned group.
type sampleState int

const (
	samplePending sampleState = iota
	sampleRunning
	sampleScoring
	sampleDone
)

// rateWindow is the time over which a running sample's token rate is measured.
const rateWindow = 5 * time.Second

// sampleRow is the state of one sample of a planned group.
type sampleRow struct {
	state           sampleState
	run             uint64 // number of the latest run
	startedAt       time.Time
	tokens          int
	oldest          core.WeightVersion
	rate            float64 // tokens per second in the latest rate window
	rateSince       time.Time
	rateStartTokens int
	lastTokenAt     time.Time // of the latest observation with additional tokens
	moves           int
	restarts        int
	sample          core.Sample
}

// groupRow is the state of one planned group.
type groupRow struct {
	prompt    string
	startedAt time.Time
	samples   []sampleRow
	done      int
}

// lengths returns the lengths, in tokens, of the group's generated samples.
func (g *groupRow) lengths() []int {
	var lengths []int
	for i := range g.samples {
		if g.samples[i].state >= sampleScoring {
			lengths = append(lengths, g.samples[i].tokens)
		}
	}
	return lengths
}

// Policy holds a deployment's rollout settings.
type Policy struct {
	GroupsPerStep  int
	GroupSize      int
	MaxTokens      int
	StalenessBound uint64  // versions by which a sample may lag behind its trainer
	IdleWeight     float64 // weight of trainer idle time against staleness, from 0 to 1
}

// SampleRun is one run of a sample. Run numbers are unique within a process.
type SampleRun struct {
	ID     core.SampleID
	Run    uint64
	Prompt string
	Oldest core.WeightVersion // oldest weights on which the run may start
}

// Scheduler schedules a deployment's groups in progress and holds statistics of its
// samples and its trainer. It is not safe for concurrent use.
type Scheduler struct {
	record       core.DeliveryRecord
	prompts      []string
	groups       map[core.GroupID]*groupRow
	lastRun      uint64 // number of the latest run
	runningCount int    // number of samples being generated
	plan         Plan
	planPolicy   *Policy // policy of the current plan; nil if a new plan is needed
	timings      TrainerTimings
	history      History
	durations    Sketch // seconds from a group's start to the end of its last sample
	skew         LengthSkew
	margin       StalenessMargin
	reviewedAt   time.Time
	probe        SampleRun // latest run that tests whether the newest weights are in use
}

// NewScheduler returns a Scheduler without groups, whose run numbers are above
// firstRun.
func NewScheduler(firstRun uint64) *Scheduler {
	return &Scheduler{groups: make(map[core.GroupID]*groupRow), lastRun: firstRun}
}

// Statistics holds statistics of finished samples. They remain valid beyond the
// lease under which the groups were open.
type Statistics struct {
	History   History
	Durations Sketch // seconds from a group's start to the end of its last sample
}

// Statistics returns the statistics used for predictions.
func (s *Scheduler) Statistics() Statistics { return Statistics{s.history, s.durations} }

// SetStatistics sets the statistics to those of an earlier Scheduler of the
// deployment.
func (s *Scheduler) SetStatistics(earlier Statistics) {
	s.history, s.durations = earlier.History, earlier.Durations
}

// Load sets the delivery record and the prompts. It returns the runs, to be
// cancelled, of groups that can no longer be delivered.
func (s *Scheduler) Load(record core.DeliveryRecord, prompts []string) (closed []SampleRun) {
	s.prompts = prompts
	s.record = record
	return s.dropDelivered()
}

// VersionPublished records the newest weight version known.
func (s *Scheduler) VersionPublished(version core.WeightVersion, now time.Time) {
	s.timings.VersionPublished(version, now)
}

// Start updates the number of open groups and starts their pending samples, the
// earliest planned first, until limit samples are being generated. While
// samples wait for the newest weights, it starts only one at a time as a probe.
// The probe fails until an engine has the weights; the caller must then call
// RetrySample for it before the next Start.
func (s *Scheduler) Start(policy Policy, limit int, now time.Time) []SampleRun {
	if len(s.prompts) == 0 {
		return nil
	}
	s.updatePlan(policy)
	steps := (s.plan.Groups + policy.GroupsPerStep - 1) / policy.GroupsPerStep
	through := s.record.LastStep + core.Step(steps)
	maxStarts := limit - s.runningCount
	awaitNewest := s.awaitsNewest(policy, now)
	if awaitNewest {
		maxStarts = min(maxStarts, 1)
	}
	var work []SampleRun
	for position, id := range delivery.OpenGroups(s.record, through, policy.GroupsPerStep, s.plan.Groups) {
		group := s.ensureGroup(id, policy, now)
		oldest := s.timings.OldestUseful(position/policy.GroupsPerStep, policy.StalenessBound)
		if awaitNewest {
			oldest = s.timings.Newest()
		}
		for index := range group.samples {
			if group.samples[index].state == samplePending && len(work) < maxStarts {
				started := s.startRun(group, core.SampleID{Group: id, Index: index}, now)
				started.Oldest = oldest
				work = append(work, started)
			}
		}
	}
	if awaitNewest && len(work) > 0 {
		s.probe = work[0]
	}
	return work
}

// awaitsNewest reports whether samples wait for the newest weights. They are in
// use once a probe was started and not retried.
func (s *Scheduler) awaitsNewest(policy Policy, now time.Time) bool {
	if row, _ := s.findRun(s.probe); row != nil {
		s.timings.VersionInUse(s.probe.Oldest, now)
	}
	return s.timings.ShouldAwaitNewest(policy.StalenessBound, policy.IdleWeight, now)
}

// PendingCount returns the number of samples of planned groups that have not been
// started or have to be restarted.
func (s *Scheduler) PendingCount() int {
	pending := 0
	for _, group := range s.groups {
		for index := range group.samples {
			if group.samples[index].state == samplePending {
				pending++
			}
		}
	}
	return pending
}

// updatePlan makes a new plan if the policy has changed or a step was
// delivered.
func (s *Scheduler) updatePlan(policy Policy) {
	if s.planPolicy != nil && *s.planPolicy == policy {
		return
	}
	if s.planPolicy == nil {
		s.margin.Adjust(policy.StalenessBound)
	}
	s.planPolicy = &policy
	s.plan = Provision(ProvisionInput{
		GroupsPerStep: policy.GroupsPerStep, Bound: policy.StalenessBound, Margin: s.margin.versions, IdleWeight: policy.IdleWeight,
		StepWork: s.timings.StepWork, VersionsPerStep: s.timings.VersionsPerStep, Durations: &s.durations,
	})
}

// ensureGroup returns the state of a planned group and creates it if necessary.
func (s *Scheduler) ensureGroup(id core.GroupID, policy Policy, now time.Time) *groupRow {
	group := s.groups[id]
	if group == nil {
		groupNumber := int(id.Step)*policy.GroupsPerStep + id.Index
		group = &groupRow{
			prompt:    s.prompts[groupNumber%len(s.prompts)],
			startedAt: now,
			samples:   make([]sampleRow, policy.GroupSize),
		}
		s.groups[id] = group
	}
	return group
}

func (s *Scheduler) startRun(group *groupRow, id core.SampleID, now time.Time) SampleRun {
	s.lastRun++
	s.runningCount++
	row := &group.samples[id.Index]
	*row = sampleRow{state: sampleRunning, run: s.lastRun, startedAt: now, rateSince: now, restarts: row.restarts}
	return SampleRun{ID: id, Run: s.lastRun, Prompt: group.prompt}
}

// Progress is the observed progress of a running sample.
type Progress struct {
	Tokens int
	Oldest core.WeightVersion // zero before the first token
}

// Running returns the runs of all samples being generated.
func (s *Scheduler) Running() []SampleRun {
	work := make([]SampleRun, 0, s.runningCount)
	for id, group := range s.groups {
		for index := range group.samples {
			if row := &group.samples[index]; row.state == sampleRunning {
				work = append(work, SampleRun{ID: core.SampleID{Group: id, Index: index}, Run: row.run})
			}
		}
	}
	return work
}

// Observe records a running sample's progress.
func (s *Scheduler) Observe(run SampleRun, progress Progress, now time.Time) {
	row, _ := s.findRun(run)
	if row == nil || row.state != sampleRunning {
		return
	}
	if progress.Tokens > row.tokens {
		row.lastTokenAt = now
	}
	row.tokens = progress.Tokens
	row.oldest = progress.Oldest
	s.timings.VersionInUse(progress.Oldest, now)
	if span := now.Sub(row.rateSince); span >= minRunTime || row.rate == 0 {
		row.rate = float64(row.tokens-row.rateStartTokens) / max(span.Seconds(), 1e-3)
		if span >= rateWindow {
			row.rateSince = now
			row.rateStartTokens = row.tokens
		}
	}
}

// SampleGenerated records that a sample's last token has arrived. It returns
// false if the run is no longer current.
func (s *Scheduler) SampleGenerated(run SampleRun, tokens int, now time.Time) bool {
	row, _ := s.findRun(run)
	if row == nil || row.state != sampleRunning {
		return false
	}
	row.state = sampleScoring
	row.tokens = tokens
	s.runningCount--
	s.skew.AddEnded(tokens)
	s.margin.AddEnded(1)
	s.history.Tokens.Add(float64(tokens))
	if took := now.Sub(row.startedAt).Seconds(); took > 0 {
		s.history.Rates.Add(float64(tokens) / took)
	}
	return true
}

// FinishSample stores a scored sample. It returns true if its group is now complete.
func (s *Scheduler) FinishSample(run SampleRun, sample core.Sample, now time.Time) bool {
	row, group := s.findRun(run)
	if row == nil || row.state != sampleScoring {
		return false
	}
	row.state = sampleDone
	row.sample = sample
	row.oldest = sample.OldestVersion()
	group.done++
	if group.done < len(group.samples) {
		return false
	}
	s.durations.Add(now.Sub(group.startedAt).Seconds())
	return true
}

// RetrySample makes the sample of a failed run pending again.
func (s *Scheduler) RetrySample(run SampleRun) {
	if row, group := s.findRun(run); row != nil {
		s.resetSample(row, group)
	}
}

// resetSample discards a sample's progress and makes it pending.
func (s *Scheduler) resetSample(row *sampleRow, group *groupRow) {
	switch row.state {
	case sampleRunning:
		s.runningCount--
	case sampleDone:
		group.done--
	}
	*row = sampleRow{restarts: row.restarts}
}

// findRun returns the sample of a run and its group, or nil if the run is no
// longer current.
func (s *Scheduler) findRun(run SampleRun) (*sampleRow, *groupRow) {
	group := s.groups[run.ID.Group]
	if group == nil || run.ID.Index >= len(group.samples) {
		return nil, nil
	}
	row := &group.samples[run.ID.Index]
	if row.state == samplePending || row.run != run.Run {
		return nil, nil
	}
	return row, group
}
