package tables

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/lockrank"
)

// sampleState is where a sample of a planned group stands.
type sampleState int

const (
	samplePending sampleState = iota
	sampleRunning
	sampleDone
)

type groupRow struct {
	prompt  string
	states  []sampleState
	samples []core.Sample
	done    int
}

// rolloutRow is the work of one deployment under one holding of its lease.
type rolloutRow struct {
	fence    core.Fence
	loaded   bool
	delivery core.Row
	prompts  []string
	groups   map[core.GroupID]*groupRow
	busy     bool   // a batch is being fixed
	problem  string // why the work can't start, for operators
}

// Rollouts holds the groups in progress of the deployments that this process
// coordinates.
type Rollouts struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	rows    map[core.DeploymentName]*rolloutRow
	changed map[core.DeploymentName]chan struct{} // closed and dropped at every change
}

// NewRollouts returns a table without deployments.
func NewRollouts() *Rollouts {
	return &Rollouts{
		mu:      lockrank.New(lockrank.RankRollouts),
		rows:    make(map[core.DeploymentName]*rolloutRow),
		changed: make(map[core.DeploymentName]chan struct{}),
	}
}

// Open starts a deployment's work under a fencing number. It returns true when
// the rows must be loaded. Work under an older number is dropped.
func (t *Rollouts) Open(name core.DeploymentName, fence core.Fence) (load bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row != nil && row.fence == fence {
		return !row.loaded
	}
	t.rows[name] = &rolloutRow{fence: fence, groups: make(map[core.GroupID]*groupRow)}
	t.notify(name)
	return true
}

// Close drops a deployment's work.
func (t *Rollouts) Close(name core.DeploymentName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[name] != nil {
		delete(t.rows, name)
		t.notify(name)
	}
}

// Load takes the delivery row and the prompts of a deployment.
func (t *Rollouts) Load(name core.DeploymentName, fence core.Fence, deliveryRow core.Row, prompts []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.at(name, fence); row != nil {
		row.delivery = deliveryRow
		row.prompts = prompts
		row.loaded = true
		row.problem = ""
		t.notify(name)
	}
}

// SetProblem records why a deployment's work can't start. It returns true when
// that is news.
func (t *Rollouts) SetProblem(name core.DeploymentName, fence core.Fence, problem string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.at(name, fence)
	if row == nil || row.problem == problem {
		return false
	}
	row.problem = problem
	return true
}

// Work is one sample to be run.
type Work struct {
	ID     core.SampleID
	Prompt string
}

// Plan plans groups through the given step and returns up to limit samples
// that are pending, marking them as running.
func (t *Rollouts) Plan(name core.DeploymentName, fence core.Fence, policy PlanPolicy, limit int) []Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.at(name, fence)
	if row == nil || !row.loaded || len(row.prompts) == 0 {
		return nil
	}
	record, _ := row.delivery.Record.(core.DeliveryRecord)
	through := record.LastStep + policy.StepsAhead
	open := delivery.Open(record, through, policy.GroupsPerStep, policy.GroupsPerStep*int(policy.StepsAhead))
	var work []Work
	for _, id := range open {
		group := row.group(id, policy)
		for index := range group.states {
			if group.states[index] != samplePending || len(work) >= limit {
				continue
			}
			group.states[index] = sampleRunning
			work = append(work, Work{ID: core.SampleID{Group: id, Index: index}, Prompt: group.prompt})
		}
	}
	return work
}

// PlanPolicy says how many groups to plan.
type PlanPolicy struct {
	GroupsPerStep int
	GroupSize     int
	StepsAhead    core.Step // steps after the last fixed one
}

// group returns a planned group, adding it if it is new. The lock is held.
func (r *rolloutRow) group(id core.GroupID, policy PlanPolicy) *groupRow {
	group := r.groups[id]
	if group == nil {
		number := int(id.Step)*policy.GroupsPerStep + id.Index
		group = &groupRow{
			prompt:  r.prompts[number%len(r.prompts)],
			states:  make([]sampleState, policy.GroupSize),
			samples: make([]core.Sample, policy.GroupSize),
		}
		r.groups[id] = group
	}
	return group
}

// Finish stores a finished sample.
func (t *Rollouts) Finish(fence core.Fence, sample core.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	group := t.running(sample.Deployment, fence, sample.ID)
	if group == nil {
		return
	}
	group.states[sample.ID.Index] = sampleDone
	group.samples[sample.ID.Index] = sample
	group.done++
	if group.done == len(group.samples) {
		t.notify(sample.Deployment)
	}
}

// Retry makes a running sample pending again.
func (t *Rollouts) Retry(name core.DeploymentName, fence core.Fence, id core.SampleID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if group := t.running(name, fence, id); group != nil {
		group.states[id.Index] = samplePending
	}
}

// BeginBatch returns what a batch decision needs. It returns false while the
// rows are not loaded or another batch is being fixed.
func (t *Rollouts) BeginBatch(name core.DeploymentName, fence core.Fence) (core.Row, []delivery.Finished, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.at(name, fence)
	if row == nil || !row.loaded || row.busy {
		return core.Row{}, nil, false
	}
	row.busy = true
	var finished []delivery.Finished
	for id, group := range row.groups {
		if group.done == len(group.samples) {
			whole := core.Group{Samples: group.samples}
			finished = append(finished, delivery.Finished{ID: id, Oldest: whole.OldestVersion()})
		}
	}
	return row.delivery, finished, true
}

// Groups returns finished groups.
func (t *Rollouts) Groups(name core.DeploymentName, fence core.Fence, ids []core.GroupID) []core.Group {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.at(name, fence)
	if row == nil {
		return nil
	}
	var groups []core.Group
	for _, id := range ids {
		if group := row.groups[id]; group != nil {
			groups = append(groups, core.Group{ID: id, Samples: group.samples})
		}
	}
	return groups
}

// EndBatch ends what BeginBatch began. Groups that are too old are planned
// again under the same identity.
func (t *Rollouts) EndBatch(name core.DeploymentName, fence core.Fence, tooOld []core.GroupID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.at(name, fence)
	if row == nil {
		return
	}
	row.busy = false
	for _, id := range tooOld {
		delete(row.groups, id)
	}
	t.notify(name)
}

// Delivered takes the delivery row that a batch's commit wrote.
func (t *Rollouts) Delivered(name core.DeploymentName, fence core.Fence, deliveryRow core.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.at(name, fence)
	if row == nil {
		return
	}
	row.delivery = deliveryRow
	record, _ := deliveryRow.Record.(core.DeliveryRecord)
	for id := range row.groups {
		if delivery.Delivered(record, id) {
			delete(row.groups, id)
		}
	}
}

// Reload makes the deployment's rows be loaded again, after a commit that did
// not take effect.
func (t *Rollouts) Reload(name core.DeploymentName, fence core.Fence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.at(name, fence); row != nil {
		row.loaded = false
	}
}

// Changed is closed when a group of the deployment finishes or its work changes
// otherwise.
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
	LastStep   core.Step           `json:"last_step"`
	Groups     int                 `json:"groups"`
	Running    int                 `json:"samples_running"`
	Done       int                 `json:"samples_done"`
	Problem    string              `json:"problem,omitempty"`
}

// State counts every deployment's work.
func (t *Rollouts) State() []RolloutState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []RolloutState
	for name, row := range t.rows {
		record, _ := row.delivery.Record.(core.DeliveryRecord)
		state := RolloutState{Deployment: name, Fence: row.fence, LastStep: record.LastStep, Groups: len(row.groups), Problem: row.problem}
		for _, group := range row.groups {
			state.Done += group.done
			for _, s := range group.states {
				if s == sampleRunning {
					state.Running++
				}
			}
		}
		states = append(states, state)
	}
	return states
}

// at returns a deployment's work under a fencing number. The lock is held.
func (t *Rollouts) at(name core.DeploymentName, fence core.Fence) *rolloutRow {
	row := t.rows[name]
	if row == nil || row.fence != fence {
		return nil
	}
	return row
}

// running returns the group of a running sample. The lock is held.
func (t *Rollouts) running(name core.DeploymentName, fence core.Fence, id core.SampleID) *groupRow {
	row := t.at(name, fence)
	if row == nil {
		return nil
	}
	group := row.groups[id.Group]
	if group == nil || id.Index >= len(group.states) || group.states[id.Index] != sampleRunning {
		return nil
	}
	return group
}

// notify wakes those who wait for a deployment's work. The lock is held.
func (t *Rollouts) notify(name core.DeploymentName) {
	if changed := t.changed[name]; changed != nil {
		close(changed)
		delete(t.changed, name)
	}
}
