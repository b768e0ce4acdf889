package lease

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

var timing = Timing{Term: 10 * time.Second, RenewEvery: 3 * time.Second, Margin: time.Second, LongestOrder: 5 * time.Second}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// heldRows returns the rows of a lease that another process holds.
func heldRows(version core.RowVersion, released bool) (leaseRow, fenceRow core.Row) {
	leaseKey, fenceKey := Keys("x")
	return core.Row{Key: leaseKey, Version: version, Attempt: "other",
			Record: core.LeaseRecord{Holder: "vm2", Incarnation: 1, Term: timing.Term, Released: released}},
		core.Row{Key: fenceKey, Version: 1, Attempt: "other", Record: core.FenceRecord{Number: 7, Holder: "vm2", Incarnation: 1}}
}

func absentRows() (leaseRow, fenceRow core.Row) {
	leaseKey, fenceKey := Keys("x")
	return core.Row{Key: leaseKey}, core.Row{Key: fenceKey}
}

func newTracker() *Tracker {
	return New("x", Self{VM: "vm1", Incarnation: 3, Address: "127.0.0.1:1"}, timing)
}

// newHolder returns a tracker that acquired the free lease with a commit sent at 0 s
// and answered at 2 s.
func newHolder(t *testing.T) *Tracker {
	t.Helper()
	tracker := newTracker()
	leaseRow, fenceRow := absentRows()
	tracker.Observe(leaseRow, fenceRow, at(0))
	action := tracker.Decide(at(0), "a1")
	if action.Kind != ActionAcquire {
		t.Fatalf("action for a free lease: %v, want acquire", action.Kind)
	}
	tracker.CommitSent(action, at(0))
	tracker.Committed(core.CommitResult{Applied: true, Version: 5}, at(2))
	return tracker
}

func TestTrustedTermStartsBeforeCommitIsSent(t *testing.T) {
	tracker := newHolder(t)
	for _, c := range []struct {
		seconds float64
		want    bool
	}{{2, true}, {8.9, true}, {9, false}, {11, false}} {
		holding, held := tracker.Holding(at(c.seconds))
		if held != c.want {
			t.Errorf("held at %v s = %v, want %v", c.seconds, held, c.want)
		}
		if held && (holding.Fence != 1 || holding.Guard.Version != 5 || holding.Guard.Key.Table != core.TableFence) {
			t.Errorf("holding %+v", holding)
		}
	}
	renew := tracker.Decide(at(3), "a2")
	if renew.Kind != ActionRenew || len(renew.Commit.Writes) != 1 {
		t.Errorf("action at the renewal time: %+v, want a renewal", renew)
	}
}

func TestChallengerWaitsForTermSinceItsOwnObservation(t *testing.T) {
	tracker := newTracker()
	leaseRow, fenceRow := heldRows(8, false)
	tracker.Observe(leaseRow, fenceRow, at(0))
	leaseRow.Version = 9
	tracker.Observe(leaseRow, fenceRow, at(4))
	tracker.Observe(leaseRow, fenceRow, at(14))
	for _, c := range []struct {
		seconds float64
		want    ActionKind
	}{{14.5, ActionWait}, {15, ActionAcquire}} {
		if got := tracker.Decide(at(c.seconds), "a1").Kind; got != c.want {
			t.Errorf("at %v s: %v, want %v", c.seconds, got, c.want)
		}
	}
	action := tracker.Decide(at(15), "a1")
	tracker.CommitSent(action, at(15))
	tracker.Committed(core.CommitResult{Applied: true, Version: 10}, at(15))
	if holding, held := tracker.Holding(at(15)); !held || holding.Fence != 8 {
		t.Errorf("after the takeover: %+v %v, want fence 8", holding, held)
	}
	if _, allowed := tracker.StartOrder(at(19.9)); allowed {
		t.Error("order allowed before the last order of the former holder has ended")
	}
	if until, allowed := tracker.StartOrder(at(20)); !allowed || until != at(24) {
		t.Errorf("StartOrder at 20 s = %v %v, want until 24 s", until, allowed)
	}
}

func TestUnknownOutcomes(t *testing.T) {
	cases := []struct {
		name         string
		applied      bool // the commit took effect
		takenByOther bool // another process acquired the lease instead
		wantKind     ActionKind
		wantHeld     bool
	}{
		{"took effect", true, false, ActionWait, true},
		{"did not take effect yet", false, false, ActionAcquire, false},
		{"another process acquired the lease", false, true, ActionWait, false},
	}
	for _, c := range cases {
		tracker := newTracker()
		leaseRow, fenceRow := absentRows()
		tracker.Observe(leaseRow, fenceRow, at(0))
		action := tracker.Decide(at(0), "a1")
		tracker.CommitSent(action, at(0))
		tracker.CommitLost(at(1))
		if got := tracker.Decide(at(2), "a2").Kind; got != ActionRead {
			t.Fatalf("%s: action after a lost reply: %v, want read", c.name, got)
		}
		if c.applied {
			leaseRow = core.Row{Key: leaseRow.Key, Version: 4, Attempt: "a1", Record: action.Commit.Writes[0].Record}
			fenceRow = core.Row{Key: fenceRow.Key, Version: 4, Attempt: "a1", Record: action.Commit.Writes[1].Record}
		}
		if c.takenByOther {
			leaseRow, fenceRow = heldRows(4, false)
		}
		tracker.Observe(leaseRow, fenceRow, at(2))
		next := tracker.Decide(at(2), "a3")
		if next.Kind != c.wantKind {
			t.Errorf("%s: %v, want %v", c.name, next.Kind, c.wantKind)
		}
		if next.Kind == ActionAcquire && next.Commit.Attempt != "a1" {
			t.Errorf("%s: the repeated commit has attempt id %q, want a1", c.name, next.Commit.Attempt)
		}
		if _, held := tracker.Holding(at(2)); held != c.wantHeld {
			t.Errorf("%s: held = %v", c.name, held)
		}
	}
}

// TestSuccessorWaitsForTheLastOrder guards against orders of two VMs that overlap in a
// planned stop, and against a planned stop that costs the lease's term: the leaving holder
// gives the lease up at once, and its successor sends no order before the last one has ended.
func TestSuccessorWaitsForTheLastOrder(t *testing.T) {
	tracker := newHolder(t)
	if _, allowed := tracker.StartOrder(at(2)); !allowed {
		t.Fatal("no order allowed after acquiring a free lease")
	}
	tracker.Leave()
	action := tracker.Decide(at(3), "a2")
	if action.Kind != ActionRelease {
		t.Fatalf("action of a leaving holder: %v, want release", action.Kind)
	}
	tracker.CommitSent(action, at(3))
	if _, held := tracker.Holding(at(3)); held {
		t.Error("lease held while the release is in flight")
	}
	tracker.Committed(core.CommitResult{Applied: true, Version: 6}, at(3))
	if _, allowed := tracker.StartOrder(at(3)); !tracker.HasLeft() || allowed {
		t.Errorf("after the release: left %v, order allowed %v", tracker.HasLeft(), allowed)
	}
	successor := newTracker()
	leaseRow, fenceRow := heldRows(6, false)
	leaseRow.Record = action.Commit.Writes[0].Record
	successor.Observe(leaseRow, fenceRow, at(4))
	acquire := successor.Decide(at(4), "b1")
	if acquire.Kind != ActionAcquire {
		t.Fatalf("action for a lease that was given up: %v, want acquire", acquire.Kind)
	}
	successor.CommitSent(acquire, at(4))
	successor.Committed(core.CommitResult{Applied: true, Version: 7}, at(4))
	if _, allowed := successor.StartOrder(at(6.9)); allowed {
		t.Error("the successor sends an order while the last one of the former holder may take effect")
	}
	if _, allowed := successor.StartOrder(at(9)); !allowed {
		t.Error("no order allowed after the former holder's last one has ended")
	}
}

func TestValidateRejectsTermTooShortToRenew(t *testing.T) {
	if timing.Validate() != nil || (Timing{Term: 6 * time.Second, RenewEvery: 3 * time.Second, Margin: time.Second}).Validate() == nil {
		t.Error("Validate must accept the default timing and reject a term shorter than the margin plus two renewal intervals")
	}
}

// TestOutageDoesNotCountTowardsTakeover has an outage of the table service that is
// longer than the term. The holder could not renew, so the challenger must observe
// the lease unchanged for a complete term after the outage.
func TestOutageDoesNotCountTowardsTakeover(t *testing.T) {
	tracker := newTracker()
	leaseRow, fenceRow := heldRows(8, false)
	tracker.Observe(leaseRow, fenceRow, at(0))
	tracker.ReadFailed(at(4))
	if got := tracker.Decide(at(20), "a1").Kind; got != ActionRead {
		t.Fatalf("action after an outage longer than the term: %v, want read", got)
	}
	tracker.Observe(leaseRow, fenceRow, at(20))
	for _, c := range []struct {
		seconds float64
		want    ActionKind
	}{{20.5, ActionWait}, {30.9, ActionRead}, {31, ActionAcquire}} {
		if got := tracker.Decide(at(c.seconds), "a1").Kind; got != c.want {
			t.Errorf("at %v s: %v, want %v", c.seconds, got, c.want)
		}
	}
}

// TestRestartedHolderReacquiresItsLeaseImmediately restarts the holder: it must not
// wait for the term of its own earlier process, which has ended.
func TestRestartedHolderReacquiresItsLeaseImmediately(t *testing.T) {
	tracker := New("x", Self{VM: "vm2", Incarnation: 9, Address: "127.0.0.1:2"}, timing)
	leaseRow, fenceRow := heldRows(8, false)
	tracker.Observe(leaseRow, fenceRow, at(0))
	action := tracker.Decide(at(0), "a1")
	if action.Kind != ActionAcquire {
		t.Fatalf("action of the restarted holder: %v, want acquire", action.Kind)
	}
	tracker.CommitSent(action, at(0))
	tracker.Committed(core.CommitResult{Applied: true, Version: 10}, at(0))
	if holding, held := tracker.Holding(at(1)); !held || holding.Fence != 8 {
		t.Errorf("held %v with %+v, want fence 8", held, holding)
	}
	if _, allowed := tracker.StartOrder(at(4.9)); allowed {
		t.Error("order allowed while the last order of the earlier process may still take effect")
	}
	if _, allowed := tracker.StartOrder(at(5)); !allowed {
		t.Error("no order allowed after the last order of the earlier process has ended")
	}
}

// TestRestartedHolderInheritsOrdersClear restarts a holder with OrdersByVM: the new
// process may send orders immediately if the earlier one could, and must wait if the
// earlier one was still waiting for the orders of another VM to end.
func TestRestartedHolderInheritsOrdersClear(t *testing.T) {
	byVM := timing
	byVM.OrdersByVM = true
	for _, clear := range []bool{true, false} {
		tracker := New("x", Self{VM: "vm2", Incarnation: 9}, byVM)
		leaseRow, fenceRow := heldRows(8, false)
		record := leaseRow.Record.(core.LeaseRecord)
		record.OrdersClear = clear
		leaseRow.Record = record
		tracker.Observe(leaseRow, fenceRow, at(0))
		action := tracker.Decide(at(0), "a1")
		tracker.CommitSent(action, at(0))
		tracker.Committed(core.CommitResult{Applied: true, Version: 10}, at(0))
		if _, allowed := tracker.StartOrder(at(0.1)); allowed != clear {
			t.Errorf("orders clear %v: order allowed %v", clear, allowed)
		}
		if written := action.Commit.Writes[0].Record.(core.LeaseRecord); written.OrdersClear != clear {
			t.Errorf("orders clear %v: the new lease row has %v", clear, written.OrdersClear)
		}
	}
}

// TestReclaimedLeaseIsReleasedAfterFormerOrders guards against two VMs that order one
// engine: a process that reclaimed its VM's lease and left before it gave an order let its
// successor order at once, while the last order of the killed process could still take
// effect.
func TestReclaimedLeaseKeepsFormerOrders(t *testing.T) {
	byVM := timing
	byVM.OrdersByVM = true
	for name, incarnation := range map[string]core.Incarnation{"of an earlier process": 2, "of this process": 3} {
		tracker := New("x", Self{VM: "vm1", Incarnation: 3}, byVM)
		leaseRow, fenceRow := heldRows(8, false)
		leaseRow.Record = core.LeaseRecord{Holder: "vm1", Incarnation: incarnation, Term: timing.Term, OrdersClear: true}
		tracker.Observe(leaseRow, fenceRow, at(0))
		action := tracker.Decide(at(0), "a1")
		tracker.CommitSent(action, at(0))
		tracker.Committed(core.CommitResult{Applied: true, Version: 10}, at(0.1))
		tracker.Leave()
		for _, c := range []struct{ left, clearIn float64 }{{1, 4}, {5, 0}} {
			release := tracker.Decide(at(c.left), "a2")
			if release.Kind != ActionRelease {
				t.Fatalf("lease %s: %v of a process that leaves, want release", name, release.Kind)
			}
			got := release.Commit.Writes[0].Record.(core.LeaseRecord)
			if got.OrdersClearIn.Seconds() != c.clearIn || got.Yielded != (c.clearIn > 0) || got.Released == got.Yielded {
				t.Errorf("lease %s, left after %v s: row %+v, want orders to clear in %v s", name, c.left, got, c.clearIn)
			}
		}
	}
}

// TestRenewalsRecordOrdersClear acquires an expired lease and renews it before and
// after the last order of the former holder has ended.
func TestRenewalsRecordOrdersClear(t *testing.T) {
	tracker := newTracker()
	leaseRow, fenceRow := heldRows(8, false)
	tracker.Observe(leaseRow, fenceRow, at(0))
	now, version := at(0).Add(timing.Term+timing.Margin), core.RowVersion(10)
	clearAt := now.Add(timing.LongestOrder)
	for now.Before(clearAt.Add(2 * timing.RenewEvery)) {
		action := tracker.Decide(now, "a")
		switch action.Kind {
		case ActionRead:
			tracker.Observe(leaseRow, fenceRow, now)
		case ActionAcquire, ActionRenew:
			record := action.Commit.Writes[0].Record.(core.LeaseRecord)
			if want := !now.Before(clearAt); record.OrdersClear != want {
				t.Errorf("%v at %v: orders clear %v, want %v", action.Kind, now.Sub(at(0)), record.OrdersClear, want)
			}
			tracker.CommitSent(action, now)
			tracker.Committed(core.CommitResult{Applied: true, Version: version}, now)
			version++
		}
		now = now.Add(100 * time.Millisecond)
	}
	if version < 12 {
		t.Errorf("%d commits, want an acquisition and at least one renewal", version-10)
	}
}

// TestReclaimOnlyAcquiresNoOtherLease restarts all processes at once. A process that
// only reclaims the lease of its VM must leave free leases and those of other VMs to
// the candidates, because its VM may be too weak for the work.
func TestReclaimOnlyAcquiresNoOtherLease(t *testing.T) {
	own, ownFence := heldRows(5, false)
	own.Record = core.LeaseRecord{Holder: "vm1", Incarnation: 2, Term: timing.Term}
	foreign, foreignFence := heldRows(5, false)
	released, releasedFence := heldRows(5, true)
	missing, missingFence := absentRows()
	for _, c := range []struct {
		name         string
		lease, fence core.Row
		want         bool
	}{
		{"held by its VM", own, ownFence, true},
		{"expired, held by another VM", foreign, foreignFence, false},
		{"released", released, releasedFence, false},
		{"never held", missing, missingFence, false},
	} {
		tracker := newTracker()
		tracker.ReclaimOnly()
		tracker.Observe(c.lease, c.fence, at(0))
		tracker.Observe(c.lease, c.fence, at(60))
		if got := tracker.Decide(at(60), "a").Kind == ActionAcquire; got != c.want {
			t.Errorf("%s: acquired = %v, want %v", c.name, got, c.want)
		}
		tracker.Compete()
		if got := tracker.Decide(at(60), "b").Kind; got != ActionAcquire {
			t.Errorf("%s: action of a candidate: %v, want acquire", c.name, got)
		}
	}
}
