package tables

import (
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// AdmissionCallback is the callback of a waiting request. It is called once,
// outside the lock: with nil when the request may start, with an error when it
// is refused.
type AdmissionCallback func(error)

// limitRow is one deployment's state.
type limitRow struct {
	limits             core.Limits
	gate               *admission.Gate[AdmissionCallback]
	share              *admission.Share
	retryBudget        *retry.Budget // for retries of interactive requests
	rolloutRetryBudget *retry.Budget // for retries of rollouts
	absentSince        time.Time     // when the deployment was removed from the configuration, zero if it was not
}

// Limits holds the admission state of every deployment and the adaptive
// concurrency of every backend server.
type Limits struct {
	self   core.VMID
	timing admission.ShareTiming

	// mu guards all fields below.
	mu      lockrank.Mutex
	rows    map[core.DeploymentName]*limitRow
	servers map[core.ServerID]*admission.ServerLimit
	roster  *admission.Roster
	epoch   core.AccountEpoch   // newest epoch of all accounts
	cursor  core.DeploymentName // last deployment sent in a heartbeat
}

// NewLimits returns a table without deployments. now is the start of the
// process.
func NewLimits(self core.VMID, incarnation core.Incarnation, timing admission.ShareTiming, now time.Time) *Limits {
	return &Limits{
		self: self, timing: timing, mu: lockrank.New(lockrank.RankLimits),
		rows: make(map[core.DeploymentName]*limitRow), servers: make(map[core.ServerID]*admission.ServerLimit),
		roster: admission.NewRoster(self, timing, now), epoch: core.AccountEpoch{Incarnation: incarnation},
	}
}

// Admit starts a request and returns true, or queues it and returns false; its
// payload is called later. Release must be called once for every request that
// was started. Errors: Overloaded, DeadlineTooShort.
func (t *Limits) Admit(deployment *core.Deployment, request *admission.Request[AdmissionCallback], now time.Time) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(deployment, now)
	started, err := row.gate.Admit(request, now)
	if started {
		row.budgetOf(request.Class).Deposit()
	}
	return started, err
}

// Release ends a request that was in flight for the duration held and starts
// the waiting requests that have room now.
func (t *Limits) Release(name core.DeploymentName, class core.Class, held time.Duration, now time.Time) {
	for _, ready := range t.release(name, class, held, now) {
		ready(nil)
	}
}

func (t *Limits) release(name core.DeploymentName, class core.Class, held time.Duration, now time.Time) []AdmissionCallback {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return nil
	}
	row.gate.Release(class, held)
	return row.dequeue(now)
}

// Expire refuses the waiting requests of a deployment that have been queued for
// too long.
func (t *Limits) Expire(name core.DeploymentName, now time.Time) {
	for _, ready := range t.expire(name, now) {
		ready(errkind.New(errkind.DeadlineTooShort, "request of deployment %s timed out in the queue and was not run", name))
	}
}

func (t *Limits) expire(name core.DeploymentName, now time.Time) []AdmissionCallback {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return nil
	}
	return row.gate.Expire(now, nil)
}

// Refresh updates this process's shares of the limits and starts the waiting
// requests that have room now.
func (t *Limits) Refresh(now time.Time) {
	for _, ready := range t.refresh(now) {
		ready(nil)
	}
}

func (t *Limits) refresh(now time.Time) []AdmissionCallback {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster.Tick(now)
	var ready []AdmissionCallback
	for name, row := range t.rows {
		if !row.absentSince.IsZero() && now.Sub(row.absentSince) >= t.timing.PeerTimeout && row.gate.Demand() == 0 {
			delete(t.rows, name)
			continue
		}
		row.share.Tick(now)
		row.updateBounds(now)
		ready = append(ready, row.dequeue(now)...)
	}
	return ready
}

// ApplyConfiguration adds a row for every deployment of a configuration, so that
// a process without requests lends its share too. Refresh removes a deployment
// that is not in the configuration once none of its requests is in flight or
// waiting and its loans have expired.
func (t *Limits) ApplyConfiguration(configuration *core.Configuration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range configuration.Deployments {
		t.row(&configuration.Deployments[i], now)
	}
	for name, row := range t.rows {
		switch {
		case configuration.Find(name) != nil:
			row.absentSince = time.Time{}
		case row.absentSince.IsZero():
			row.absentSince = now
			row.gate.SetBacklog(0)
		}
	}
}

// ApplyEntryVMs applies the entry VMs of the platform's VM list.
func (t *Limits) ApplyEntryVMs(vms []core.VMID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster.SetListed(vms, now)
	for _, row := range t.rows {
		row.share.Tick(now)
		row.updateBounds(now)
	}
}

// RolloutCapacity returns how many rollouts of a deployment may be in flight or
// queued in this process without being refused.
func (t *Limits) RolloutCapacity(deployment *core.Deployment, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(deployment, now).gate.RolloutCapacity(now)
}

// SetBacklog sets how many rollouts of a deployment would start at once if the
// limit had room, so that other processes lend this one their unused units.
func (t *Limits) SetBacklog(name core.DeploymentName, rollouts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.rows[name]; row != nil {
		row.gate.SetBacklog(rollouts)
	}
}

// Overloaded reports whether a deployment's queue of the class is overloaded.
func (t *Limits) Overloaded(name core.DeploymentName, class core.Class) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	return row != nil && row.gate.Overloaded(class)
}

// LimitState is one deployment's part of the state dump.
type LimitState struct {
	Deployment core.DeploymentName `json:"deployment"`
	Gate       admission.GateState `json:"gate"`
	Members    int                 `json:"members"`
	Holders    int                 `json:"holders"`  // processes that own a share of the limit
	Accounts   int                 `json:"accounts"` // peers that units are lent to or borrowed from
	Budget     float64             `json:"retry_budget"`
	Rollouts   float64             `json:"rollout_retry_budget"`
}

// State returns every deployment's state, sorted by name.
func (t *Limits) State() []LimitState {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]LimitState, 0, len(t.rows))
	for _, name := range t.sortedNames() {
		row := t.rows[name]
		states = append(states, LimitState{
			Deployment: name, Gate: row.gate.State(), Members: row.share.MemberCount(),
			Holders: row.share.OwnerCount(), Accounts: row.share.AccountCount(), Budget: row.retryBudget.Balance(),
			Rollouts: row.rolloutRetryBudget.Balance(),
		})
	}
	return states
}

// sortedNames returns the deployments in order. The caller holds mu.
func (t *Limits) sortedNames() []core.DeploymentName {
	names := make([]core.DeploymentName, 0, len(t.rows))
	for name := range t.rows {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b core.DeploymentName) int { return strings.Compare(string(a), string(b)) })
	return names
}

// row returns a deployment's row, added or updated to the given limits. The
// caller holds mu.
func (t *Limits) row(deployment *core.Deployment, now time.Time) *limitRow {
	row := t.rows[deployment.Name]
	if row == nil {
		row = &limitRow{
			limits: deployment.Limits,
			gate:   admission.NewGate[AdmissionCallback](admission.Bounds{}),
			share: admission.NewShare(admission.ShareOptions{
				Deployment: deployment.Name, Self: t.self, Limit: deployment.Limits.Concurrent,
				Rollouts: deployment.Rollout != nil, Timing: t.timing, Roster: t.roster, Epoch: &t.epoch,
			}, now),
			retryBudget: retry.NewBudget(now), rolloutRetryBudget: retry.NewRolloutBudget(now),
		}
		row.updateBounds(now)
		t.rows[deployment.Name] = row
	}
	if row.limits != deployment.Limits {
		row.limits = deployment.Limits
		row.share.SetLimit(deployment.Limits.Concurrent, deployment.Rollout != nil, now)
		row.updateBounds(now)
	}
	return row
}

// updateBounds sets the gate's bounds from this process's share. The caller
// holds the table's lock.
func (r *limitRow) updateBounds(now time.Time) {
	holders := r.share.OwnerCount()
	r.gate.SetBounds(admission.Bounds{
		Concurrent:   r.share.UsableUnits(now) - r.share.WithheldFromRollouts(r.gate.Need(), now),
		QueueLength:  (r.limits.QueueLength + holders - 1) / holders,
		QueueTimeout: r.limits.QueueTimeout,
	})
}

// dequeue returns the callbacks of the requests that may start now. The caller
// holds the table's lock.
func (r *limitRow) dequeue(now time.Time) []AdmissionCallback {
	var ready []AdmissionCallback
	for next, class, ok := r.gate.Dequeue(now); ok; next, class, ok = r.gate.Dequeue(now) {
		r.budgetOf(class).Deposit()
		ready = append(ready, next)
	}
	return ready
}
