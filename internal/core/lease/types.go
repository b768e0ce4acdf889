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
	Address     string // peer address, written to the lease row for other processes
}

// Timing holds the durations of a lease. All processes should use the same values. A
// challenger waits for the term that the holder wrote to the lease row.
type Timing struct {
	Term         time.Duration // validity of one renewal
	RenewEvery   time.Duration // interval between renewals, and between the reads of a challenger
	Margin       time.Duration // safety margin for clocks that run at different rates
	LongestOrder time.Duration // maximum time from sending an order to its last effect on an engine
	OrdersByVM   bool          // orders of an earlier process on the same VM count as orders of this holder
}

// retryDivisor is the divisor of RenewEvery that gives the delay before a failed
// call to the table service is repeated.
const retryDivisor = 4

// Validate returns InvalidConfig if a duration is out of range or a holder could not
// renew in time.
func (t Timing) Validate() error {
	if t.RenewEvery <= 0 || t.Margin <= 0 || t.LongestOrder < 0 {
		return errkind.New(errkind.InvalidConfig, "lease renewal interval %v and margin %v must be positive, and longest order %v must not be negative",
			t.RenewEvery, t.Margin, t.LongestOrder)
	}
	if t.Term < t.Margin+2*t.RenewEvery {
		return errkind.New(errkind.InvalidConfig,
			"lease term %v is shorter than the margin plus two renewal intervals (%v)", t.Term, t.Margin+2*t.RenewEvery)
	}
	return nil
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of action.
const (
	ActionWait    ActionKind = iota // call Decide again at Until, or after the outstanding reply
	ActionRead                      // read the rows of Keys, then call Observe or ReadFailed
	ActionAcquire                   // send Commit, which acquires the lease
	ActionRenew                     // send Commit, which renews the lease
	ActionRelease                   // send Commit, which releases the lease
)

// String returns the name of the kind as used in dumps and tests.
func (k ActionKind) String() string {
	return [...]string{"wait", "read", "acquire", "renew", "release"}[k]
}

// Action is the next step for the caller of Decide. Until is set only for ActionWait;
// a zero Until means that a reply is outstanding. Commit is set for the kinds that
// send one.
type Action struct {
	Kind   ActionKind
	Until  time.Time
	Commit core.Commit
}

// State is the state of a tracker.
type State int

// The states of a tracker.
const (
	Reading   State = iota // rows not read yet, or the outcome of a commit is unknown
	Waiting                // another process holds the lease
	Free                   // nobody holds the lease
	Acquiring              // commit to acquire the lease in flight
	Held                   // this process holds the lease, whether still trusted or not
	Renewing               // held, with a renewal in flight
	Releasing              // commit to release the lease in flight
)

// String returns the name of the state as used in dumps and tests.
func (s State) String() string {
	return [...]string{"reading", "waiting", "free", "acquiring", "held", "renewing", "releasing"}[s]
}

// Holding is a trusted lease. Every guarded commit must carry Guard, and every order
// to an engine must carry Fence.
type Holding struct {
	Fence core.Fence
	Guard core.Condition
	Until time.Time // monotonic time until which the lease is trusted
}

// Keys returns the keys of the lease row and the fence row of the named lease.
func Keys(name string) (leaseKey, fenceKey core.RowKey) {
	return core.RowKey{Table: core.TableLease, ID: name}, core.RowKey{Table: core.TableFence, ID: name}
}
