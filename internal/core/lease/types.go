package lease

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Self identifies this entry process as a holder.
type Self struct {
	VM          core.VMID
	Incarnation core.Incarnation
	Address     string // peer address, recorded for the other processes
}

// Timing holds the durations of a lease. All processes should use the same; a
// challenger waits out the term that the holder recorded.
type Timing struct {
	Term         time.Duration // for which one renewal lasts
	RenewEvery   time.Duration // between renewals, and between a challenger's reads
	Margin       time.Duration // for clocks that run at different rates
	LongestOrder time.Duration // from sending an order to its last effect on an engine
	OrdersByVM   bool          // an order of an earlier process on the same VM counts as this holder's own
}

// retryFraction is the part of RenewEvery after which a failed call to the
// table service is repeated.
const retryFraction = 4

// Validate returns InvalidConfig when a holder could not renew in time.
func (t Timing) Validate() error {
	if t.RenewEvery <= 0 || t.Margin <= 0 || t.LongestOrder < 0 {
		return errkind.New(errkind.InvalidConfig, "lease durations must be positive")
	}
	if t.Term < t.Margin+2*t.RenewEvery {
		return errkind.New(errkind.InvalidConfig,
			"lease term %v is shorter than the margin and two renewals (%v)", t.Term, t.Margin+2*t.RenewEvery)
	}
	return nil
}

// ActionKind says what a tracker wants done.
type ActionKind int

// The kinds of action.
const (
	ActionWait    ActionKind = iota // ask again at Until, or after the reply that is awaited
	ActionRead                      // read the rows of Keys, then call Observe or ReadFailed
	ActionAcquire                   // send Commit: take the lease
	ActionRenew                     // send Commit: renew the lease
	ActionRelease                   // send Commit: give the lease up
)

// String returns the kind's name for dumps and tests.
func (k ActionKind) String() string {
	return [...]string{"wait", "read", "acquire", "renew", "release"}[k]
}

// Action is what a tracker wants done next. Until is set for ActionWait only;
// a zero Until means that a reply is awaited. Commit is set for the kinds that
// send one.
type Action struct {
	Kind   ActionKind
	Until  time.Time
	Commit core.Commit
}

// State is a tracker's view of the lease.
type State int

// The states of a tracker.
const (
	Reading   State = iota // rows not read yet, or the outcome of a commit is unknown
	Waiting                // another process holds the lease
	Free                   // nobody holds the lease
	Acquiring              // commit to take the lease in flight
	Held                   // this process holds the lease, trusted or lapsed
	Renewing               // held, with a renewal in flight
	Releasing              // commit to give the lease up in flight
)

// String returns the state's name for dumps and tests.
func (s State) String() string {
	return [...]string{"reading", "waiting", "free", "acquiring", "held", "renewing", "releasing"}[s]
}

// Holding is a lease that can be trusted. Every guarded commit carries Guard,
// every order to an engine carries Fence.
type Holding struct {
	Fence core.Fence
	Guard core.Condition
	Until time.Time // trusted until this monotonic time
}

// Keys returns the lease row's and the fence row's key of the named lease.
func Keys(name string) (leaseKey, fenceKey core.RowKey) {
	return core.RowKey{Table: core.TableLease, ID: name}, core.RowKey{Table: core.TableFence, ID: name}
}
