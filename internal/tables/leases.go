package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/lockrank"
)

type leaseRow struct {
	tracker      *lease.Tracker
	callInFlight bool // a read or commit of the lease is in flight
}

// Leases holds the leases that this process competes for or holds.
type Leases struct {
	self   lease.Self
	timing lease.Timing

	// mu guards all fields below.
	mu      lockrank.Mutex
	rows    map[string]*leaseRow
	timings map[string]lease.Timing // of the leases whose timing is not the usual one
}

// NewLeases returns an empty table.
func NewLeases(self lease.Self, timing lease.Timing) *Leases {
	return &Leases{
		self: self, timing: timing,
		mu: lockrank.New(lockrank.RankLeases), rows: make(map[string]*leaseRow), timings: make(map[string]lease.Timing),
	}
}

// UseTiming sets the timing of one lease. It must be called before the lease is tracked.
func (t *Leases) UseTiming(name string, timing lease.Timing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timings[name] = timing
}

// Follow starts tracking a lease and acquires it when it is free.
func (t *Leases) Follow(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(name).tracker.Compete()
}

// Reclaim starts tracking a lease and acquires it only if an earlier process of
// this VM holds it.
func (t *Leases) Reclaim(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(name).tracker.ReclaimOnly()
}

// row returns a lease's row. It replaces the row of a released lease. The
// caller holds mu.
func (t *Leases) row(name string) *leaseRow {
	row := t.rows[name]
	if row == nil || !row.callInFlight && row.tracker.HasLeft() {
		timing, isOwn := t.timings[name]
		if !isOwn {
			timing = t.timing
		}
		row = &leaseRow{tracker: lease.New(name, t.self, timing)}
		t.rows[name] = row
	}
	return row
}

// Release starts to release a lease, if it is tracked.
func (t *Leases) Release(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.rows[name]; row != nil {
		row.tracker.Leave()
	}
}

// Forget stops tracking a lease that was released, or that this process neither
// holds nor may be acquiring. It returns false if the lease is in another state.
func (t *Leases) Forget(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return true
	}
	if row.callInFlight || !(row.tracker.HasLeft() || row.tracker.State() == lease.Waiting) {
		return false
	}
	delete(t.rows, name)
	return true
}

// Begin returns the next action for a lease and marks the lease as busy unless
// the action is to wait. End must be called after every other action.
func (t *Leases) Begin(name string, now time.Time, id core.AttemptID) lease.Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil || row.callInFlight {
		return lease.Action{Kind: lease.ActionWait}
	}
	action := row.tracker.Decide(now, id)
	if action.Kind == lease.ActionWait {
		return action
	}
	row.callInFlight = true
	if action.Kind != lease.ActionRead {
		row.tracker.CommitSent(action, now)
	}
	return action
}

// End runs outcome, which records an action's result, on the lease's tracker.
func (t *Leases) End(name string, outcome func(*lease.Tracker)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return
	}
	row.callInFlight = false
	outcome(row.tracker)
}

// Holding returns this process's holding of a lease, and false unless the lease is
// valid at time now.
func (t *Leases) Holding(name string, now time.Time) (lease.Holding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return lease.Holding{}, false
	}
	return row.tracker.Holding(now)
}

// StartOrder reports whether an order may be sent now to an engine that does not
// check fencing numbers, and the deadline for sending it.
func (t *Leases) StartOrder(name string, now time.Time) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return time.Time{}, false
	}
	return row.tracker.StartOrder(now)
}

// StartCall reports whether a call under a lease may be sent now, with the holding under
// which it is sent. It counts as an order to what does not check fencing numbers: it is
// refused while one of a former holder may still take effect, and the lease is not released
// before it has ended.
func (t *Leases) StartCall(name string, now time.Time) (lease.Holding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return lease.Holding{}, false
	}
	if _, allowed := row.tracker.StartOrder(now); !allowed {
		return lease.Holding{}, false
	}
	return row.tracker.Holding(now)
}

// Holder returns the last known holder of a tracked lease.
func (t *Leases) Holder(name string) (core.LeaseRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return core.LeaseRecord{}, false
	}
	return row.tracker.Owner()
}

// Names returns the names of the tracked leases, unsorted.
func (t *Leases) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.rows))
	for name := range t.rows {
		names = append(names, name)
	}
	return names
}

// LeaseState is one lease's part of the state dump.
type LeaseState struct {
	Name  string     `json:"name"`
	State string     `json:"state"`
	Owner core.VMID  `json:"owner"`
	Fence core.Fence `json:"fence"`
	Held  bool       `json:"held"`
}

// State returns the state of every tracked lease, unsorted.
func (t *Leases) State(now time.Time) []LeaseState {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]LeaseState, 0, len(t.rows))
	for name, row := range t.rows {
		holding, held := row.tracker.Holding(now)
		owner, _ := row.tracker.Owner()
		states = append(states, LeaseState{
			Name: name, State: row.tracker.State().String(),
			Owner: owner.Holder, Fence: holding.Fence, Held: held,
		})
	}
	return states
}
