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

// Ready is called once outside the lock when a waiting request may start, with
// a nil error, or is refused.
type Ready func(error)

// limitRow is one deployment's state.
type limitRow struct {
	limits   core.Limits
	gate     *admission.Gate[Ready]
	share    *admission.Share
	budget   *retry.Budget // of people's repeats
	rollouts *retry.Budget // of rollouts' repeats
	absent   time.Time     // since when the configuration lacks the deployment; zero when it does not
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
	epoch   core.AccountEpoch   // newest of all accounts
	cursor  core.DeploymentName // last deployment that News returned
}

// NewLimits returns the table of a process that starts now and has seen no
// deployment.
func NewLimits(self core.VMID, incarnation core.Incarnation, timing admission.ShareTiming, now time.Time) *Limits {
	return &Limits{
		self: self, timing: timing, mu: lockrank.New(lockrank.RankLimits),
		rows: make(map[core.DeploymentName]*limitRow), servers: make(map[core.ServerID]*admission.ServerLimit),
		roster: admission.NewRoster(self, timing, now), epoch: core.AccountEpoch{Incarnation: incarnation},
	}
}

// Admit starts a request, which returns true, or keeps it until its payload is
// called. Release must follow once for a request that was started. Errors:
// Overloaded, DeadlineTooShort.
func (t *Limits) Admit(deployment *core.Deployment, request *admission.Request[Ready], now time.Time) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(deployment, now)
	started, err := row.gate.Admit(request, now)
	if started {
		row.budgetOf(request.Class).Deposit()
	}
	return started, err
}

// Release ends a request that was in flight for the given time and calls those
// that may start in its place.
func (t *Limits) Release(name core.DeploymentName, class core.Class, held time.Duration, now time.Time) {
	for _, ready := range t.release(name, class, held, now) {
		ready(nil)
	}
}

func (t *Limits) release(name core.DeploymentName, class core.Class, held time.Duration, now time.Time) []Ready {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return nil
	}
	row.gate.Release(class, held)
	return row.dequeue(now)
}

// Expire refuses the waiting requests of a deployment whose time is over.
func (t *Limits) Expire(name core.DeploymentName, now time.Time) {
	for _, ready := range t.expire(name, now) {
		ready(errkind.New(errkind.DeadlineTooShort, "the request waited too long and was not run"))
	}
}

func (t *Limits) expire(name core.DeploymentName, now time.Time) []Ready {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return nil
	}
	return row.gate.Expire(now, nil)
}

// Refresh adapts this process's shares and calls the requests that may start.
func (t *Limits) Refresh(now time.Time) {
	for _, ready := range t.refresh(now) {
		ready(nil)
	}
}

func (t *Limits) refresh(now time.Time) []Ready {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster.Tick(now)
	var ready []Ready
	for name, row := range t.rows {
		if !row.absent.IsZero() && now.Sub(row.absent) >= t.timing.Gone && row.gate.Demand() == 0 {
			delete(t.rows, name)
			continue
		}
		row.share.Tick(now)
		row.adapt(now)
		ready = append(ready, row.dequeue(now)...)
	}
	return ready
}

// ApplyConfiguration adds a row for every deployment of a configuration, so that
// a process without requests lends its part too. Refresh drops a deployment
// that the configuration lacks when nothing is in flight, waiting or lent.
func (t *Limits) ApplyConfiguration(configuration *core.Configuration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range configuration.Deployments {
		t.row(&configuration.Deployments[i], now)
	}
	for name, row := range t.rows {
		switch {
		case configuration.Find(name) != nil:
			row.absent = time.Time{}
		case row.absent.IsZero():
			row.absent = now
			row.gate.SetBacklog(0)
		}
	}
}

// ApplyListed takes the entry VMs of the platform's list.
func (t *Limits) ApplyListed(vms []core.VMID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roster.ApplyListed(vms, now)
	for _, row := range t.rows {
		row.share.Tick(now)
		row.adapt(now)
	}
}

// RolloutCapacity returns how many of a deployment's rollouts may be in flight or
// wait here without being refused.
func (t *Limits) RolloutCapacity(deployment *core.Deployment, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(deployment, now).gate.RolloutCapacity(now)
}

// SetBacklog says how many of a deployment's rollouts would start at once if the
// limit had room, so that other processes lend this one their room.
func (t *Limits) SetBacklog(name core.DeploymentName, rollouts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.rows[name]; row != nil {
		row.gate.SetBacklog(rollouts)
	}
}

// Overloaded reports whether a deployment's queue of the class is behind.
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
	Holders    int                 `json:"holders"`  // processes that own parts of the limit
	Accounts   int                 `json:"accounts"` // peers with which units are lent or asked for
	Budget     float64             `json:"retry_budget"`
	Rollouts   float64             `json:"rollout_retry_budget"`
}

// State returns every deployment's state, sorted by name.
func (t *Limits) State() []LimitState {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]LimitState, 0, len(t.rows))
	for _, name := range t.names() {
		row := t.rows[name]
		states = append(states, LimitState{
			Deployment: name, Gate: row.gate.State(), Members: row.share.Members(),
			Holders: row.share.Holders(), Accounts: row.share.Accounts(), Budget: row.budget.Balance(),
			Rollouts: row.rollouts.Balance(),
		})
	}
	return states
}

func (t *Limits) names() []core.DeploymentName {
	names := make([]core.DeploymentName, 0, len(t.rows))
	for name := range t.rows {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b core.DeploymentName) int { return strings.Compare(string(a), string(b)) })
	return names
}

// row returns a deployment's row with its present limits. The lock is held.
func (t *Limits) row(deployment *core.Deployment, now time.Time) *limitRow {
	row := t.rows[deployment.Name]
	if row == nil {
		row = &limitRow{
			limits: deployment.Limits,
			gate:   admission.NewGate[Ready](admission.Bounds{}),
			share: admission.NewShare(admission.ShareOptions{
				Deployment: deployment.Name, Self: t.self, Limit: deployment.Limits.Concurrent,
				Rollouts: deployment.Rollout != nil, Timing: t.timing, Roster: t.roster, Epoch: &t.epoch,
			}, now),
			budget: retry.NewBudget(now), rollouts: retry.NewRolloutBudget(now),
		}
		row.adapt(now)
		t.rows[deployment.Name] = row
	}
	if row.limits != deployment.Limits {
		row.limits = deployment.Limits
		row.share.SetLimit(deployment.Limits.Concurrent, deployment.Rollout != nil, now)
		row.adapt(now)
	}
	return row
}

// adapt sets the gate's bounds from this process's share.
func (r *limitRow) adapt(now time.Time) {
	holders := r.share.Holders()
	r.gate.SetBounds(admission.Bounds{
		Concurrent:   r.share.Usable(now) - r.share.Withheld(r.gate.Need(), now),
		QueueLength:  (r.limits.QueueLength + holders - 1) / holders,
		QueueTimeout: r.limits.QueueTimeout,
	})
}

func (r *limitRow) dequeue(now time.Time) []Ready {
	var ready []Ready
	for next, class, ok := r.gate.Dequeue(now); ok; next, class, ok = r.gate.Dequeue(now) {
		r.budgetOf(class).Deposit()
		ready = append(ready, next)
	}
	return ready
}
