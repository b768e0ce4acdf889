package lease

import (
	"time"

	"fescuespar/internal/core"
)

// Decide returns the next action. The attempt id is used if the action is a new
// commit; it must not have been used before.
func (t *Tracker) Decide(now time.Time, id core.AttemptID) Action {
	switch {
	case t.pending != nil && t.pending.inFlight:
		return Action{Kind: ActionWait}
	case now.Before(t.retryAt):
		return Action{Kind: ActionWait, Until: t.retryAt}
	case t.pending != nil && t.pending.resend:
		return t.pending.action
	case t.pending != nil || !t.hasRows:
		return Action{Kind: ActionRead}
	case t.leaving:
		return t.decideLeaving(now, id)
	case t.isHolder:
		return t.decideHolder(now, id)
	default:
		return t.decideChallenger(now, id)
	}
}

func (t *Tracker) decideHolder(now time.Time, id core.AttemptID) Action {
	if now.Before(t.renewAt) {
		return Action{Kind: ActionWait, Until: t.renewAt}
	}
	return Action{Kind: ActionRenew, Commit: t.leaseCommit(id, false, now)}
}

func (t *Tracker) decideChallenger(now time.Time, id core.AttemptID) Action {
	if t.lastCallFailed {
		return Action{Kind: ActionRead}
	}
	takeover := t.takeoverAt()
	if t.mayAcquire() && !now.Before(takeover) {
		return Action{Kind: ActionAcquire, Commit: t.acquireCommit(id, now)}
	}
	readAgain := t.readAt.Add(t.timing.RenewEvery)
	if !now.Before(readAgain) {
		return Action{Kind: ActionRead}
	}
	if !t.mayAcquire() {
		return Action{Kind: ActionWait, Until: readAgain}
	}
	return Action{Kind: ActionWait, Until: earlier(takeover, readAgain)}
}

// mayAcquire reports whether this process may acquire the lease when it is free.
func (t *Tracker) mayAcquire() bool {
	_, held := t.heldByOwnVM()
	return !t.reclaimOnly || held
}

// decideLeaving releases the lease once no order of this holder or an earlier one
// can still take effect.
func (t *Tracker) decideLeaving(now time.Time, id core.AttemptID) Action {
	if !t.isHolder {
		return Action{Kind: ActionWait}
	}
	if clear := t.ordersClearAt(); now.Before(clear) {
		return Action{Kind: ActionWait, Until: clear}
	}
	return Action{Kind: ActionRelease, Commit: t.leaseCommit(id, true, now)}
}

// takeoverAt returns the time from which the lease may be acquired. It is zero if
// nobody holds the lease, or if an earlier process of this VM does, which has ended.
// Otherwise it is the end of the holder's term plus the margin.
func (t *Tracker) takeoverAt() time.Time {
	record, found := t.lease.Record.(core.LeaseRecord)
	if !found || record.Released || record.Holder == t.self.VM {
		return time.Time{}
	}
	return t.firstSeen.Add(record.Term + t.timing.Margin)
}

// ordersAllowedFrom returns the time from which a process that acquires the lease
// now may send orders to engines that ignore fencing numbers: by then the last order
// of the former holder has ended. If the former holder is an earlier process of this
// VM, its row only tells whether it had finished the same wait, not when it began.
func (t *Tracker) ordersAllowedFrom(now time.Time) time.Time {
	if record, held := t.heldByOwnVM(); held && t.timing.OrdersByVM && record.OrdersClear {
		return time.Time{}
	}
	return t.formerClearAt(now)
}

// heldByOwnVM returns the lease row if it names a process of this VM as the holder.
func (t *Tracker) heldByOwnVM() (core.LeaseRecord, bool) {
	record, found := t.lease.Record.(core.LeaseRecord)
	return record, found && !record.Released && record.Holder == t.self.VM
}

// formerClearAt returns the time by which all orders that were sent before this process
// acquires the lease now have ended. The last one of an earlier process of this VM may
// be as late as its end, which the row does not tell.
func (t *Tracker) formerClearAt(now time.Time) time.Time {
	if _, held := t.heldByOwnVM(); held {
		return now.Add(t.timing.LongestOrder)
	}
	takeover := t.takeoverAt()
	if takeover.IsZero() {
		return takeover
	}
	return takeover.Add(t.timing.LongestOrder)
}

// ordersClearAt returns the time by which all orders of this holder and of earlier
// ones, also of this VM, have ended.
func (t *Tracker) ordersClearAt() time.Time {
	if t.lastOrder.IsZero() {
		return t.formerClear
	}
	return t.lastOrder.Add(t.timing.LongestOrder) // not before formerClear: it was sent later than all former ones
}

// acquireCommit returns the commit that makes this process the holder. It writes
// both rows under conditions on both.
func (t *Tracker) acquireCommit(id core.AttemptID, now time.Time) core.Commit {
	leaseKey, fenceKey := Keys(t.name)
	var number core.Fence
	if record, found := t.fence.Record.(core.FenceRecord); found {
		number = record.Number
	}
	return core.Commit{
		Attempt: id,
		Conditions: []core.Condition{
			{Key: leaseKey, Version: t.lease.Version},
			{Key: fenceKey, Version: t.fence.Version},
		},
		Writes: []core.Write{
			{Key: leaseKey, Record: t.leaseRecord(false, t.ordersAllowedFrom(now), now)},
			{Key: fenceKey, Record: core.FenceRecord{
				Number: number + 1, Holder: t.self.VM, Incarnation: t.self.Incarnation}},
		},
	}
}

// leaseCommit returns the commit that renews or releases the lease. It writes only
// the lease row, whose version changes at every takeover, so that no condition on
// the fence row is needed.
func (t *Tracker) leaseCommit(id core.AttemptID, released bool, now time.Time) core.Commit {
	leaseKey, _ := Keys(t.name)
	return core.Commit{
		Attempt:    id,
		Conditions: []core.Condition{{Key: leaseKey, Version: t.lease.Version}},
		Writes:     []core.Write{{Key: leaseKey, Record: t.leaseRecord(released, t.ordersFrom, now)}},
	}
}

// leaseRecord returns the lease row of a holder that may send orders from ordersFrom
// on.
func (t *Tracker) leaseRecord(released bool, ordersFrom, now time.Time) core.LeaseRecord {
	return core.LeaseRecord{
		Holder:      t.self.VM,
		Incarnation: t.self.Incarnation,
		Address:     t.self.Address,
		Term:        t.timing.Term,
		Released:    released,
		OrdersClear: !now.Before(ordersFrom),
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
