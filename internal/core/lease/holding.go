package lease

import (
	"time"

	"fescuespar/internal/core"
)

// Holding returns the holding, and whether this process may act as the holder at the
// given time.
func (t *Tracker) Holding(now time.Time) (Holding, bool) {
	if !t.isHolder || !now.Before(t.trustedUntil) {
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
// numbers may be sent now, and the time by which it must have been sent. It must
// be called before every such order: the next holder sends none before the order has
// ended.
func (t *Tracker) StartOrder(now time.Time) (until time.Time, allowed bool) {
	holding, held := t.Holding(now)
	if !held || t.leaving || now.Before(t.ordersFrom) {
		return time.Time{}, false
	}
	t.lastOrder = now
	return holding.Until, true
}

// Leave makes the tracker give the lease up and not acquire it again. The caller must have ended its guarded work.
func (t *Tracker) Leave() { t.leaving = true }

// HasLeft reports whether Leave was called and this process no longer holds the
// lease.
func (t *Tracker) HasLeft() bool { return t.leaving && !t.isHolder && t.pending == nil }

// State returns the state of the tracker for dumps.
func (t *Tracker) State() State {
	if t.pending != nil {
		return t.pendingState()
	}
	switch {
	case !t.hasRows:
		return Reading
	case t.isHolder:
		return Held
	case t.takeoverAt().IsZero():
		return Free
	default:
		return Waiting
	}
}

func (t *Tracker) pendingState() State {
	switch {
	case !t.pending.inFlight:
		return Reading
	case t.pending.action.Kind == ActionAcquire:
		return Acquiring
	case t.pending.action.Kind == ActionRenew:
		return Renewing
	default:
		return Releasing
	}
}

// Owner returns the record of the last known holder, and false if there is none. If
// the holder is another process its lease may have expired since, so the record
// may only be used as a hint to which process to contact.
func (t *Tracker) Owner() (core.LeaseRecord, bool) {
	record, found := t.lease.Record.(core.LeaseRecord)
	if !found || record.IsFree() {
		return core.LeaseRecord{}, false
	}
	return record, true
}
