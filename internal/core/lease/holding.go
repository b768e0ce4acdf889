package lease

import (
	"time"

	"fescuespar/internal/core"
)

// Held returns the holding if this process may act as the holder at this time.
func (t *Tracker) Held(now time.Time) (Holding, bool) {
	if !t.mine || !now.Before(t.trustedUntil) {
		return Holding{}, false
	}
	record, found := t.fence.Record.(core.FenceRecord)
	if !found {
		return Holding{}, false
	}
	return Holding{
		Fence: record.Number,
		Guard: core.Condition{Key: t.fence.Key, Version: t.fence.Version},
		Until: t.trustedUntil,
	}, true
}

// StartOrder reports whether an order to an engine that ignores fencing
// numbers may be sent now, and until when it must have been sent. Every such
// order asks here first: the lease is not released before the order has ended.
func (t *Tracker) StartOrder(now time.Time) (until time.Time, allowed bool) {
	holding, held := t.Held(now)
	if !held || t.leaving || now.Before(t.ordersFrom) {
		return time.Time{}, false
	}
	t.lastOrder = now
	return holding.Until, true
}

// Leave makes the tracker release the lease as soon as that is safe and never
// take it again. The owner calls it once its guarded work has ended.
func (t *Tracker) Leave() { t.leaving = true }

// Left reports whether, after Leave, this process no longer holds the lease.
func (t *Tracker) Left() bool { return t.leaving && !t.mine && t.pending == nil }

// State returns the tracker's view for dumps.
func (t *Tracker) State() State {
	if t.pending != nil {
		return t.pendingState()
	}
	switch {
	case !t.known:
		return Reading
	case t.mine:
		return Held
	case t.takeoverAt().IsZero():
		return Free
	default:
		return Waiting
	}
}

func (t *Tracker) pendingState() State {
	switch {
	case !t.pending.flying:
		return Reading
	case t.pending.action.Kind == ActionAcquire:
		return Acquiring
	case t.pending.action.Kind == ActionRenew:
		return Renewing
	default:
		return Releasing
	}
}

// Owner returns the last known holder's record. Where it is not this process
// it may have lapsed since: it only says whom to ask.
func (t *Tracker) Owner() (core.LeaseRecord, bool) {
	record, found := t.lease.Record.(core.LeaseRecord)
	if !found || record.Released {
		return core.LeaseRecord{}, false
	}
	return record, true
}
