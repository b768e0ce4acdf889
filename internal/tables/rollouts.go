package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/core/rollout"
	"fescuespar/internal/lockrank"
)

// rolloutRow is the work of one deployment during one term of its lease.
type rolloutRow struct {
	fence         core.Fence
	loaded        bool
	reloads       int // number of reloads; the result of a read that began before the last one is stale
	delivery      core.Row
	scheduler     *rollout.Scheduler
	decidingBatch bool      // a batch is being decided
	problem       string    // why the work cannot start, for operators
	loadFrom      time.Time // the rows are not read before this time
}

// runsPerOpening is the size of the range of run numbers that each call of Open
// reserves.
const runsPerOpening = 1 << 32

// Rollouts holds the groups in progress of the deployments that this process
// coordinates.
type Rollouts struct {
	// mu guards all fields below.
	mu       lockrank.Mutex
	rows     map[core.DeploymentName]*rolloutRow
	openings uint64
	learned  map[core.DeploymentName]rollout.Statistics // statistics of the work that was closed last
	changed  map[core.DeploymentName]chan struct{}      // closed and removed on every change
}

// NewRollouts returns a table without deployments.
func NewRollouts() *Rollouts {
	return &Rollouts{
		mu:   lockrank.New(lockrank.RankRollouts),
		rows: make(map[core.DeploymentName]*rolloutRow), learned: make(map[core.DeploymentName]rollout.Statistics),
		changed: make(map[core.DeploymentName]chan struct{}),
	}
}

// RolloutLoad identifies one read of a deployment's rows, so that the result of
// a stale read can be ignored.
type RolloutLoad struct {
	Fence  core.Fence
	Reload int
}

// Open starts a deployment's work under a fencing number, unless it has started,
// and drops work under any other number. It returns true when the rows must be
// loaded now.
func (t *Rollouts) Open(name core.DeploymentName, fence core.Fence, now time.Time) (load RolloutLoad, needed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row != nil && row.fence == fence {
		return RolloutLoad{fence, row.reloads}, !row.loaded && !now.Before(row.loadFrom)
	}
	t.openings++
	scheduler := rollout.NewScheduler(t.openings * runsPerOpening)
	if row != nil {
		t.learned[name] = row.scheduler.Statistics()
	}
	scheduler.SetStatistics(t.learned[name])
	t.rows[name] = &rolloutRow{fence: fence, scheduler: scheduler}
	t.notify(name)
	return RolloutLoad{Fence: fence}, true
}

// Close drops a deployment's work. It returns the runs in progress.
func (t *Rollouts) Close(name core.DeploymentName) []rollout.SampleRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return nil
	}
	delete(t.rows, name)
	t.learned[name] = row.scheduler.Statistics()
	t.notify(name)
	return row.scheduler.Running()
}

// Load sets the delivery row and the prompts of a deployment. It ignores them if
// the rows are already loaded or Reload was called since the read began. It
// returns the runs of groups that can no longer be delivered.
func (t *Rollouts) Load(name core.DeploymentName, load RolloutLoad, deliveryRow core.Row, prompts []string) []rollout.SampleRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, load.Fence)
	if row == nil || row.loaded || row.reloads != load.Reload {
		return nil
	}
	record, _ := deliveryRow.Record.(core.DeliveryRecord)
	row.delivery = deliveryRow
	row.loaded = true
	row.problem = ""
	t.notify(name)
	return row.scheduler.Load(record, prompts)
}

// SetProblem records why a deployment's work cannot start, and when to try
// again. It reports whether the problem differs from the last one.
func (t *Rollouts) SetProblem(name core.DeploymentName, fence core.Fence, problem string, again time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, fence)
	if row == nil {
		return false
	}
	changed := row.problem != problem
	row.problem = problem
	row.loadFrom = again
	return changed
}

// Start marks samples as running and returns them, while fewer than limit are
// being generated. newest is the newest known weight version.
func (t *Rollouts) Start(name core.DeploymentName, fence core.Fence, policy rollout.Policy,
	newest core.WeightVersion, limit int, now time.Time) []rollout.SampleRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, fence)
	if row == nil || !row.loaded {
		return nil
	}
	row.scheduler.VersionPublished(newest, now)
	return row.scheduler.Start(policy, limit, now)
}

// Pending returns how many samples of a deployment could be started.
func (t *Rollouts) Pending(name core.DeploymentName, fence core.Fence) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.rowOf(name, fence); row != nil {
		return row.scheduler.PendingCount()
	}
	return 0
}

// BeginReview returns the samples being generated, and whether a review of them
// is due.
func (t *Rollouts) BeginReview(name core.DeploymentName, fence core.Fence, now time.Time) ([]rollout.SampleRun, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, fence)
	if row == nil || !row.loaded || !row.scheduler.ReviewDue(now) {
		return nil, false
	}
	return row.scheduler.Running(), true
}

// EndReview records the progress of the samples that BeginReview returned, in
// the same order, and returns what to do with them.
func (t *Rollouts) EndReview(name core.DeploymentName, fence core.Fence, policy rollout.Policy,
	running []rollout.SampleRun, progress []rollout.Progress, now time.Time) rollout.ReviewActions {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, fence)
	if row == nil {
		return rollout.ReviewActions{}
	}
	for i, work := range running {
		row.scheduler.Observe(work, progress[i], now)
	}
	return row.scheduler.Review(policy, now)
}

// RecordGenerated records that a sample's last token has arrived. It returns
// false if the run is no longer needed.
func (t *Rollouts) RecordGenerated(name core.DeploymentName, fence core.Fence, run rollout.SampleRun, tokens int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, fence)
	return row != nil && row.scheduler.SampleGenerated(run, tokens, now)
}

// Finish stores a finished sample.
func (t *Rollouts) Finish(fence core.Fence, run rollout.SampleRun, sample core.Sample, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(sample.Deployment, fence)
	if row != nil && row.scheduler.FinishSample(run, sample, now) {
		t.notify(sample.Deployment)
	}
}

// Retry makes a sample whose run has failed pending again.
func (t *Rollouts) Retry(name core.DeploymentName, fence core.Fence, run rollout.SampleRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.rowOf(name, fence); row != nil {
		row.scheduler.RetrySample(run)
	}
}

// BeginBatch records the trainer's request for a step and returns the delivery
// row and the finished groups, from which the batch is decided. It returns false
// while the rows are not loaded or another batch is being decided. EndBatch must
// be called after true.
func (t *Rollouts) BeginBatch(name core.DeploymentName, fence core.Fence, step core.Step, now time.Time) (core.Row, []delivery.FinishedGroup, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, fence)
	if row == nil || !row.loaded || row.decidingBatch {
		return core.Row{}, nil, false
	}
	row.decidingBatch = true
	row.scheduler.StepRequested(step, now)
	return row.delivery, row.scheduler.CompleteGroups(), true
}

// Groups returns the groups with all their samples.
func (t *Rollouts) Groups(name core.DeploymentName, fence core.Fence, ids []core.GroupID) []core.Group {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, fence)
	if row == nil {
		return nil
	}
	return row.scheduler.Groups(ids)
}

// EndBatch ends the decision that BeginBatch began. In the groups tooOld, the
// samples that are more than bound versions behind the trainer's weights are run
// again under the same identity; it returns their number.
func (t *Rollouts) EndBatch(name core.DeploymentName, fence core.Fence, tooOld []core.GroupID,
	trainer core.WeightVersion, bound uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, fence)
	if row == nil {
		return 0
	}
	row.decidingBatch = false
	count := row.scheduler.ResetStaleGroups(tooOld, trainer, bound)
	t.notify(name)
	return count
}

// ApplyDelivered applies the delivery row that a batch's commit wrote. It
// returns the runs of groups that can no longer be delivered.
func (t *Rollouts) ApplyDelivered(name core.DeploymentName, fence core.Fence, deliveryRow core.Row, now time.Time) []rollout.SampleRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowOf(name, fence)
	record, ok := deliveryRow.Record.(core.DeliveryRecord)
	if row == nil || !ok {
		return nil
	}
	row.delivery = deliveryRow
	return row.scheduler.BatchDelivered(record, now)
}

// Reload requires the deployment's rows to be loaded again, after a commit that
// did not take effect.
func (t *Rollouts) Reload(name core.DeploymentName, fence core.Fence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.rowOf(name, fence); row != nil {
		row.loaded = false
		row.reloads++
	}
}

// Changed returns a channel that is closed when a group of the deployment
// finishes or its work changes in another way.
func (t *Rollouts) Changed(name core.DeploymentName) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed[name] == nil {
		t.changed[name] = make(chan struct{})
	}
	return t.changed[name]
}

// RolloutState is one deployment's part of the state dump.
type RolloutState struct {
	Deployment core.DeploymentName `json:"deployment"`
	Fence      core.Fence          `json:"fence"`
	Problem    string              `json:"problem,omitempty"`
	rollout.Summary
}

// State returns a summary of every deployment's work, unsorted.
func (t *Rollouts) State() []RolloutState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []RolloutState
	for name, row := range t.rows {
		states = append(states, RolloutState{
			Deployment: name, Fence: row.fence, Problem: row.problem, Summary: row.scheduler.Summary(),
		})
	}
	return states
}

// rowOf returns a deployment's work under a fencing number, or nil. The caller
// holds mu.
func (t *Rollouts) rowOf(name core.DeploymentName, fence core.Fence) *rolloutRow {
	row := t.rows[name]
	if row == nil || row.fence != fence {
		return nil
	}
	return row
}

// notify closes the channel that Changed returned for a deployment. The caller
// holds mu.
func (t *Rollouts) notify(name core.DeploymentName) {
	if changed := t.changed[name]; changed != nil {
		close(changed)
		delete(t.changed, name)
	}
}
