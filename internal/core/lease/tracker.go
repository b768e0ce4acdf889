package lease

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/attempt"
)

// Tracker follows one lease for one process. It is not safe for concurrent
// use: the table that holds it guards it. All times come from one monotonic
// clock.
type Tracker struct {
	name   string
	self   Self
	timing Timing

	known     bool     // lease and fence rows were read or written
	lease     core.Row // as last read or written
	fence     core.Row
	firstSeen time.Time // when this version of the lease row was first seen
	unread    bool      // the table service did not answer since
	readAt    time.Time
	retryAt   time.Time // no call before this time

	mine         bool
	trustedUntil time.Time
	ordersFrom   time.Time // no order to engines that ignore fencing before this time
	lastOrder    time.Time // when the last order to such an engine was allowed
	renewAt      time.Time
	leaving      bool
	reclaiming   bool // only a lease of an earlier process of this VM is taken
	pending      *pendingCommit
}

// pendingCommit is a commit that was sent and whose outcome is not known.
type pendingCommit struct {
	action     Action
	sentAt     time.Time // first time it was sent
	ordersFrom time.Time // for ActionAcquire: see Tracker.ordersFrom
	flying     bool      // its reply is awaited
	unknown    bool      // a reply to it was lost
	resend     bool      // the re-read said that it may be sent again
}

// New returns a tracker that has read nothing yet.
func New(name string, self Self, timing Timing) *Tracker {
	return &Tracker{name: name, self: self, timing: timing}
}

// Compete lets the tracker take the lease whenever it is free.
func (t *Tracker) Compete() { t.reclaiming = false }

// ReclaimOnly lets the tracker take the lease only if an earlier process of
// this VM holds it.
func (t *Tracker) ReclaimOnly() { t.reclaiming = true }

// Observe takes the two rows of Keys as read in one Read; now is the time at
// which the reply arrived. Rows that arrive while a commit is in flight are
// ignored, because they may be older than its effect, and so are rows older
// than the newest known.
func (t *Tracker) Observe(leaseRow, fenceRow core.Row, now time.Time) {
	if t.pending != nil && t.pending.flying {
		return
	}
	if t.known && leaseRow.Version < t.lease.Version {
		return
	}
	if t.pending != nil && !t.settle(leaseRow, fenceRow) {
		return
	}
	t.adopt(leaseRow, fenceRow, now)
}

// settle judges the pending commit by a re-read and reports whether the rows
// are still to be adopted.
func (t *Tracker) settle(leaseRow, fenceRow core.Row) bool {
	switch attempt.Judge(t.pending.action.Commit, []core.Row{leaseRow, fenceRow}) {
	case attempt.Applied:
		t.applied(t.pending)
	case attempt.Retry:
		t.pending.resend = true
		return false
	default:
		t.mine = false
	}
	t.pending = nil
	return true
}

// adopt takes over the rows as the newest known.
func (t *Tracker) adopt(leaseRow, fenceRow core.Row, now time.Time) {
	if !t.known || t.lease.Version != leaseRow.Version || t.unread {
		t.firstSeen = now
	}
	t.unread = false
	t.known = true
	t.lease = leaseRow
	t.fence = fenceRow
	t.readAt = now
	if !t.namesSelf() {
		t.mine = false
		return
	}
	if !t.mine {
		// The row names this process although no commit of it is known to have
		// taken effect: the lease counts as lapsed until a renewal succeeds.
		t.mine = true
		t.trustedUntil = time.Time{}
		t.ordersFrom = now.Add(t.timing.LongestOrder)
		t.renewAt = now
	}
}

// namesSelf reports whether both rows name this incarnation as the holder.
func (t *Tracker) namesSelf() bool {
	record, found := t.lease.Record.(core.LeaseRecord)
	fence, fenced := t.fence.Record.(core.FenceRecord)
	return found && fenced && !record.Released &&
		record.Holder == t.self.VM && record.Incarnation == t.self.Incarnation &&
		fence.Holder == t.self.VM && fence.Incarnation == t.self.Incarnation
}

// CommitSent records that the action's commit is about to be sent. It must be
// called before the first byte leaves: the lease is trusted from this time on.
func (t *Tracker) CommitSent(action Action, now time.Time) {
	if t.pending == nil {
		t.pending = &pendingCommit{action: action, sentAt: now, ordersFrom: t.orderWaitOut(now)}
	}
	t.pending.flying = true
	t.pending.resend = false
	if action.Kind == ActionRelease {
		t.mine = false
	}
}

// Committed takes the result of the commit in flight.
func (t *Tracker) Committed(result core.CommitResult, now time.Time) {
	pending := t.pending
	if pending == nil {
		return
	}
	pending.flying = false
	if !result.Applied && pending.unknown {
		// The repeat failed, perhaps because the original took effect.
		return
	}
	t.pending = nil
	if !result.Applied {
		t.mine = false
		t.known = false
		return
	}
	t.applied(pending)
	t.keep(pending.action.Commit, result.Version, now)
}

// CommitLost records that the outcome of the commit in flight is unknown.
func (t *Tracker) CommitLost(now time.Time) {
	if t.pending == nil {
		return
	}
	t.pending.flying = false
	t.pending.unknown = true
	t.delay(now)
}

// CommitRefused records that the table service surely did not take the commit
// in flight.
func (t *Tracker) CommitRefused(now time.Time) {
	if t.pending == nil {
		return
	}
	t.pending.flying = false
	t.unread = true
	if !t.pending.unknown {
		t.mine = t.mine || t.pending.action.Kind == ActionRelease
		t.pending = nil
	}
	t.delay(now)
}

// ReadFailed records that the rows could not be read. A holder may be as unable
// to renew, so that the time before the next read counts for no takeover: a
// holder that lives keeps its lease through an outage of the table service.
func (t *Tracker) ReadFailed(now time.Time) {
	t.unread = true
	t.delay(now)
}

func (t *Tracker) delay(now time.Time) {
	t.retryAt = now.Add(t.timing.RenewEvery / retryFraction)
}

// applied notes the effect of a commit that is known to have taken effect. It
// took effect after it was first sent, so the lease is trusted from then on.
func (t *Tracker) applied(commit *pendingCommit) {
	switch commit.action.Kind {
	case ActionAcquire:
		t.mine = true
		t.ordersFrom = commit.ordersFrom
		t.lastOrder = time.Time{}
	case ActionRelease:
		t.mine = false
		return
	}
	t.trustedUntil = commit.sentAt.Add(t.timing.Term - t.timing.Margin)
	t.renewAt = commit.sentAt.Add(t.timing.RenewEvery)
}

// keep takes the rows that a commit wrote as the newest known.
func (t *Tracker) keep(commit core.Commit, version core.RowVersion, now time.Time) {
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
