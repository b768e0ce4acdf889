package lease

import (
	"time"

	"fescuespar/internal/core"
)

// Decide returns what to do next. The attempt id is used if a new commit is
// made; it must never have been used before.
func (t *Tracker) Decide(now time.Time, id core.AttemptID) Action {
	switch {
	case t.pending != nil && t.pending.flying:
		return Action{Kind: ActionWait}
	case now.Before(t.retryAt):
		return Action{Kind: ActionWait, Until: t.retryAt}
	case t.pending != nil && t.pending.resend:
		return t.pending.action
	case t.pending != nil || !t.known:
		return Action{Kind: ActionRead}
	case t.leaving:
		return t.decideLeaving(now, id)
	case t.mine:
		return t.decideHeld(now, id)
	default:
		return t.decideWaiting(now, id)
	}
}

func (t *Tracker) decideHeld(now time.Time, id core.AttemptID) Action {
	if now.Before(t.renewAt) {
		return Action{Kind: ActionWait, Until: t.renewAt}
	}
	return Action{Kind: ActionRenew, Commit: t.leaseCommit(id, false, now)}
}

func (t *Tracker) decideWaiting(now time.Time, id core.AttemptID) Action {
	if t.unread {
		return Action{Kind: ActionRead}
	}
	takeover := t.takeoverAt()
	if t.mayTake() && !now.Before(takeover) {
		return Action{Kind: ActionAcquire, Commit: t.acquireCommit(id, now)}
	}
	readAgain := t.readAt.Add(t.timing.RenewEvery)
	if !now.Before(readAgain) {
		return Action{Kind: ActionRead}
	}
	if !t.mayTake() {
		return Action{Kind: ActionWait, Until: readAgain}
	}
	return Action{Kind: ActionWait, Until: earlier(takeover, readAgain)}
}

// mayTake reports whether this process may take the lease when it is free.
func (t *Tracker) mayTake() bool {
	record, found := t.lease.Record.(core.LeaseRecord)
	return !t.reclaiming || found && !record.Released && record.Holder == t.self.VM
}

// decideLeaving gives the lease up once no order of this holder, or of a
// holder before it, can still have an effect.
func (t *Tracker) decideLeaving(now time.Time, id core.AttemptID) Action {
	if !t.mine {
		return Action{Kind: ActionWait}
	}
	if clear := t.ordersClearAt(); now.Before(clear) {
		return Action{Kind: ActionWait, Until: clear}
	}
	return Action{Kind: ActionRelease, Commit: t.leaseCommit(id, true, now)}
}

// takeoverAt returns the time from which the lease may be taken: at once when
// nobody holds it or an earlier process of this VM did, which has ended, and
// otherwise after the holder's term was waited out.
func (t *Tracker) takeoverAt() time.Time {
	record, found := t.lease.Record.(core.LeaseRecord)
	if !found || record.Released || record.Holder == t.self.VM {
		return time.Time{}
	}
	return t.firstSeen.Add(record.Term + t.timing.Margin)
}

// orderWaitOut returns the time from which a taker may give orders to engines
// that ignore fencing numbers: the former holder's last order has ended then.
// A restarted holder cannot know when the one before it began to wait, only
// whether it was done with that.
func (t *Tracker) orderWaitOut(now time.Time) time.Time {
	record, found := t.lease.Record.(core.LeaseRecord)
	if found && !record.Released && record.Holder == t.self.VM {
		if t.timing.OrdersByVM && record.OrdersClear {
			return time.Time{}
		}
		return now.Add(t.timing.LongestOrder)
	}
	takeover := t.takeoverAt()
	if takeover.IsZero() {
		return takeover
	}
	return takeover.Add(t.timing.LongestOrder)
}

func (t *Tracker) ordersClearAt() time.Time {
	if t.lastOrder.IsZero() {
		return t.ordersFrom
	}
	return t.lastOrder.Add(t.timing.LongestOrder)
}

// acquireCommit changes the holder: both rows, under conditions on both.
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
			{Key: leaseKey, Record: t.leaseRecord(false, t.orderWaitOut(now), now)},
			{Key: fenceKey, Record: core.FenceRecord{
				Number: number + 1, Holder: t.self.VM, Incarnation: t.self.Incarnation}},
		},
	}
}

// leaseCommit renews or releases the lease: the lease row only. Its version
// changes at every takeover, so no condition on the fence row is needed.
func (t *Tracker) leaseCommit(id core.AttemptID, released bool, now time.Time) core.Commit {
	leaseKey, _ := Keys(t.name)
	return core.Commit{
		Attempt:    id,
		Conditions: []core.Condition{{Key: leaseKey, Version: t.lease.Version}},
		Writes:     []core.Write{{Key: leaseKey, Record: t.leaseRecord(released, t.ordersFrom, now)}},
	}
}

// leaseRecord returns the row of a holder that may give orders from a time on.
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
