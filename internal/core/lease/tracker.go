package lease

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/attempt"
)

// Tracker is the state machine of one lease in one process. It is not safe for
// concurrent use; the table that contains it guards it. All times must come from one
// monotonic clock.
type Tracker struct {
	name   string
	self   Self
	timing Timing

	hasRows        bool     // lease and fence rows were read or written
	lease          core.Row // as last read or written
	fence          core.Row
	firstSeen      time.Time // when this version of the lease row was first observed
	lastCallFailed bool      // a read failed or a commit was refused since the rows were last read
	readAt         time.Time
	retryAt        time.Time // no call to the table service before this time

	isHolder     bool
	trustedUntil time.Time
	ordersFrom   time.Time // no order to an engine that ignores fencing before this time
	formerClear  time.Time // when all orders sent before this holding have ended
	lastOrder    time.Time // when the last order to such an engine was allowed
	renewAt      time.Time
	leaving      bool
	reclaimOnly  bool // acquire only a lease of an earlier process of this VM
	pending      *pendingCommit
}

// pendingCommit is a commit that was sent and whose outcome is not known yet.
type pendingCommit struct {
	action      Action
	sentAt      time.Time // when it was first sent
	ordersFrom  time.Time // for ActionAcquire: see Tracker.ordersFrom
	formerClear time.Time // for ActionAcquire: see Tracker.formerClear
	inFlight    bool      // waiting for its reply
	replyLost   bool      // a reply to it was lost
	resend      bool      // a re-read of the rows showed that it may be sent again
}

// New returns a tracker that has read nothing yet.
func New(name string, self Self, timing Timing) *Tracker {
	return &Tracker{name: name, self: self, timing: timing}
}

// Compete makes the tracker acquire the lease whenever it is free.
func (t *Tracker) Compete() { t.reclaimOnly = false }

// ReclaimOnly makes the tracker acquire the lease only if an earlier process of this
// VM holds it.
func (t *Tracker) ReclaimOnly() { t.reclaimOnly = true }

// Observe processes the two rows of Keys, read in one call; now is the time at which
// the reply arrived. It ignores rows that arrive while a commit is in flight,
// because they may have been read before the commit took effect, and rows that are
// older than the newest known.
func (t *Tracker) Observe(leaseRow, fenceRow core.Row, now time.Time) {
	if t.pending != nil && t.pending.inFlight {
		return
	}
	if t.hasRows && leaseRow.Version < t.lease.Version {
		return
	}
	if t.pending != nil && !t.resolvePending(leaseRow, fenceRow) {
		return
	}
	t.adoptRows(leaseRow, fenceRow, now)
}

// resolvePending determines the outcome of the pending commit from re-read rows. It
// reports whether the rows should be adopted.
func (t *Tracker) resolvePending(leaseRow, fenceRow core.Row) bool {
	switch attempt.Judge(t.pending.action.Commit, []core.Row{leaseRow, fenceRow}) {
	case attempt.Applied:
		t.recordApplied(t.pending)
	case attempt.Retry:
		t.pending.resend = true
		return false
	default:
		t.isHolder = false
	}
	t.pending = nil
	return true
}

// adoptRows stores the rows as the newest known.
func (t *Tracker) adoptRows(leaseRow, fenceRow core.Row, now time.Time) {
	if !t.hasRows || t.lease.Version != leaseRow.Version || t.lastCallFailed {
		t.firstSeen = now
	}
	t.lastCallFailed = false
	t.hasRows = true
	t.lease = leaseRow
	t.fence = fenceRow
	t.readAt = now
	if !t.rowsNameSelf() {
		t.isHolder = false
		return
	}
	if !t.isHolder {
		// The rows name this process although none of its commits is known to have
		// taken effect, so the lease is not trusted until a renewal succeeds.
		t.isHolder = true
		t.trustedUntil = time.Time{}
		t.ordersFrom = now.Add(t.timing.LongestOrder)
		t.formerClear = t.ordersFrom
		t.renewAt = now
	}
}

// rowsNameSelf reports whether both rows name this incarnation of the process as
// the holder.
func (t *Tracker) rowsNameSelf() bool {
	record, found := t.lease.Record.(core.LeaseRecord)
	fence, fenced := t.fence.Record.(core.FenceRecord)
	return found && fenced && !record.Released &&
		record.Holder == t.self.VM && record.Incarnation == t.self.Incarnation &&
		fence.Holder == t.self.VM && fence.Incarnation == t.self.Incarnation
}

// CommitSent records that the action's commit is about to be sent. It must be
// called before the first byte is sent: the trusted term starts at this time.
func (t *Tracker) CommitSent(action Action, now time.Time) {
	if t.pending == nil {
		t.pending = &pendingCommit{action: action, sentAt: now, ordersFrom: t.ordersAllowedFrom(now), formerClear: t.formerClearAt(now)}
	}
	t.pending.inFlight = true
	t.pending.resend = false
	if action.Kind == ActionRelease {
		t.isHolder = false
	}
}

// Committed processes the result of the commit in flight.
func (t *Tracker) Committed(result core.CommitResult, now time.Time) {
	pending := t.pending
	if pending == nil {
		return
	}
	pending.inFlight = false
	if !result.Applied && pending.replyLost {
		// The repeated commit may have failed because the first one took effect.
		return
	}
	t.pending = nil
	if !result.Applied {
		t.isHolder = false
		t.hasRows = false
		return
	}
	t.recordApplied(pending)
	t.adoptWrites(pending.action.Commit, result.Version, now)
}

// CommitLost records that the outcome of the commit in flight is unknown.
func (t *Tracker) CommitLost(now time.Time) {
	if t.pending == nil {
		return
	}
	t.pending.inFlight = false
	t.pending.replyLost = true
	t.scheduleRetry(now)
}

// CommitRefused records that the table service certainly did not accept the commit
// in flight.
func (t *Tracker) CommitRefused(now time.Time) {
	if t.pending == nil {
		return
	}
	t.pending.inFlight = false
	t.lastCallFailed = true
	if !t.pending.replyLost {
		t.isHolder = t.isHolder || t.pending.action.Kind == ActionRelease
		t.pending = nil
	}
	t.scheduleRetry(now)
}

// ReadFailed records that the rows could not be read. The holder may be unable to
// renew for the same reason, so the time before the next successful read does not
// count towards a takeover: a live holder keeps its lease through an outage of the
// table service.
func (t *Tracker) ReadFailed(now time.Time) {
	t.lastCallFailed = true
	t.scheduleRetry(now)
}

func (t *Tracker) scheduleRetry(now time.Time) {
	t.retryAt = now.Add(t.timing.RenewEvery / retryDivisor)
}

// recordApplied updates the state after a commit that is known to have taken effect.
// It cannot have taken effect before it was first sent, so the trusted term starts
// at that time.
func (t *Tracker) recordApplied(commit *pendingCommit) {
	switch commit.action.Kind {
	case ActionAcquire:
		t.isHolder = true
		t.ordersFrom, t.formerClear = commit.ordersFrom, commit.formerClear
		t.lastOrder = time.Time{}
	case ActionRelease:
		t.isHolder = false
		return
	}
	t.trustedUntil = commit.sentAt.Add(t.timing.Term - t.timing.Margin)
	t.renewAt = commit.sentAt.Add(t.timing.RenewEvery)
}

// adoptWrites stores the rows that a commit wrote as the newest known.
func (t *Tracker) adoptWrites(commit core.Commit, version core.RowVersion, now time.Time) {
	for _, write := range commit.Writes {
		row := core.Row{Key: write.Key, Version: version, Attempt: commit.Attempt, Record: write.Record}
		if write.Key.Table == core.TableFence {
			t.fence = row
		} else {
			t.lease = row
		}
	}
	t.firstSeen = now
	t.readAt = now
}
