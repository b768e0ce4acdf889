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

// taken returns the rows of a lease that another process holds.
func taken(version core.RowVersion, released bool) (leaseRow, fenceRow core.Row) {
	leaseKey, fenceKey := Keys("x")
	return core.Row{Key: leaseKey, Version: version, Attempt: "other",
			Record: core.LeaseRecord{Holder: "vm2", Incarnation: 1, Term: timing.Term, Released: released}},
		core.Row{Key: fenceKey, Version: 1, Attempt: "other", Record: core.FenceRecord{Number: 7, Holder: "vm2", Incarnation: 1}}
}

func absent() (leaseRow, fenceRow core.Row) {
	leaseKey, fenceKey := Keys("x")
	return core.Row{Key: leaseKey}, core.Row{Key: fenceKey}
}

func newTracker() *Tracker {
	return New("x", Self{VM: "vm1", Incarnation: 3, Address: "127.0.0.1:1"}, timing)
}

// holder returns a tracker that acquired the free lease with a commit sent at
// 0 s and answered at 2 s.
func holder(t *testing.T) *Tracker {
	t.Helper()
	tracker := newTracker()
	leaseRow, fenceRow := absent()
	tracker.Observe(leaseRow, fenceRow, at(0))
	action := tracker.Decide(at(0), "a1")
	if action.Kind != ActionAcquire {
		t.Fatalf("a free lease gives %v", action.Kind)
	}
	tracker.CommitSent(action, at(0))
	tracker.Committed(core.CommitResult{Applied: true, Version: 5}, at(2))
	return tracker
}

func TestHolderTrustsTheLeaseFromBeforeTheCommitWasSent(t *testing.T) {
	tracker := holder(t)
	for _, c := range []struct {
		seconds float64
		want    bool
	}{{2, true}, {8.9, true}, {9, false}, {11, false}} {
		holding, held := tracker.Held(at(c.seconds))
		if held != c.want {
			t.Errorf("held at %v s = %v, want %v", c.seconds, held, c.want)
		}
		if held && (holding.Fence != 1 || holding.Guard.Version != 5 || holding.Guard.Key.Table != core.TableFence) {
			t.Errorf("holding %+v", holding)
		}
	}
	renew := tracker.Decide(at(3), "a2")
	if renew.Kind != ActionRenew || len(renew.Commit.Writes) != 1 {
		t.Errorf("at the renewal time: %+v", renew)
	}
}

func TestChallengerWaitsOutTheTermItObservedItself(t *testing.T) {
	tracker := newTracker()
	leaseRow, fenceRow := taken(8, false)
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
	if holding, held := tracker.Held(at(15)); !held || holding.Fence != 8 {
		t.Errorf("after the takeover: %+v %v, want fence 8", holding, held)
	}
	if _, allowed := tracker.StartOrder(at(19.9)); allowed {
		t.Error("an order is allowed before the former holder's last one has ended")
	}
	if until, allowed := tracker.StartOrder(at(20)); !allowed || until != at(24) {
		t.Errorf("StartOrder at 20 s = %v %v, want until 24 s", until, allowed)
	}
}

func TestUnknownOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		effect   bool // the lost commit took effect
		overrun  bool // another process took the lease instead
		wantKind ActionKind
		wantHeld bool
	}{
		{"took effect", true, false, ActionWait, true},
		{"did not, still possible", false, false, ActionAcquire, false},
		{"another process was first", false, true, ActionWait, false},
	}
	for _, c := range cases {
		tracker := newTracker()
		leaseRow, fenceRow := absent()
		tracker.Observe(leaseRow, fenceRow, at(0))
		action := tracker.Decide(at(0), "a1")
		tracker.CommitSent(action, at(0))
		tracker.CommitLost(at(1))
		if got := tracker.Decide(at(2), "a2").Kind; got != ActionRead {
			t.Fatalf("%s: after a lost reply %v, want read", c.name, got)
		}
		if c.effect {
			leaseRow = core.Row{Key: leaseRow.Key, Version: 4, Attempt: "a1", Record: action.Commit.Writes[0].Record}
			fenceRow = core.Row{Key: fenceRow.Key, Version: 4, Attempt: "a1", Record: action.Commit.Writes[1].Record}
		}
		if c.overrun {
			leaseRow, fenceRow = taken(4, false)
		}
		tracker.Observe(leaseRow, fenceRow, at(2))
		next := tracker.Decide(at(2), "a3")
		if next.Kind != c.wantKind {
			t.Errorf("%s: %v, want %v", c.name, next.Kind, c.wantKind)
		}
		if next.Kind == ActionAcquire && next.Commit.Attempt != "a1" {
			t.Errorf("%s: the repeat has attempt id %q", c.name, next.Commit.Attempt)
		}
		if _, held := tracker.Held(at(2)); held != c.wantHeld {
			t.Errorf("%s: held = %v", c.name, held)
		}
	}
}

func TestReleaseWaitsForTheLastOrder(t *testing.T) {
	tracker := holder(t)
	if _, allowed := tracker.StartOrder(at(2)); !allowed {
		t.Fatal("no order allowed on a lease that was free")
	}
	tracker.Leave()
	if got := tracker.Decide(at(6), "a2"); got.Kind != ActionWait || got.Until != at(7) {
		t.Errorf("with an order outstanding: %+v", got)
	}
	action := tracker.Decide(at(7), "a2")
	if action.Kind != ActionRelease {
		t.Fatalf("after the order has ended: %v", action.Kind)
	}
	tracker.CommitSent(action, at(7))
	if _, held := tracker.Held(at(7)); held {
		t.Error("held while the release is in flight")
	}
	tracker.Committed(core.CommitResult{Applied: true, Version: 6}, at(7))
	if !tracker.Left() {
		t.Error("not left after the release")
	}
	successor := newTracker()
	leaseRow, fenceRow := taken(6, true)
	successor.Observe(leaseRow, fenceRow, at(7))
	if got := successor.Decide(at(7), "b1").Kind; got != ActionAcquire {
		t.Errorf("a released lease gives %v, want acquire at once", got)
	}
}

func TestTimingRefusesATermTooShortToRenew(t *testing.T) {
	if timing.Validate() != nil || (Timing{Term: 6 * time.Second, RenewEvery: 3 * time.Second, Margin: time.Second}).Validate() == nil {
		t.Error("Validate takes a term shorter than margin and two renewals")
	}
}

// TestOutageGivesTheHolderTheFirstTry lets the table service go away for longer
// than the term: the holder could not renew, so the challenger must see the
// lease unchanged for the whole term after the outage.
func TestOutageGivesTheHolderTheFirstTry(t *testing.T) {
	tracker := newTracker()
	leaseRow, fenceRow := taken(8, false)
	tracker.Observe(leaseRow, fenceRow, at(0))
	tracker.ReadFailed(at(4))
	if got := tracker.Decide(at(20), "a1").Kind; got != ActionRead {
		t.Fatalf("after an outage longer than the term: %v, want a read", got)
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

// TestARestartedHolderTakesItsLeaseAtOnce kills all VMs: the one that held the
// lease need not wait for a process of its own that is gone.
func TestARestartedHolderTakesItsLeaseAtOnce(t *testing.T) {
	tracker := New("x", Self{VM: "vm2", Incarnation: 9, Address: "127.0.0.1:2"}, timing)
	leaseRow, fenceRow := taken(8, false)
	tracker.Observe(leaseRow, fenceRow, at(0))
	action := tracker.Decide(at(0), "a1")
	if action.Kind != ActionAcquire {
		t.Fatalf("the restarted holder: %v, want acquire", action.Kind)
	}
	tracker.CommitSent(action, at(0))
	tracker.Committed(core.CommitResult{Applied: true, Version: 10}, at(0))
	if holding, held := tracker.Held(at(1)); !held || holding.Fence != 8 {
		t.Errorf("held %v with %+v, want fence 8", held, holding)
	}
	if _, allowed := tracker.StartOrder(at(4.9)); allowed {
		t.Error("an order is allowed while the ended process's last one may take effect")
	}
	if _, allowed := tracker.StartOrder(at(5)); !allowed {
		t.Error("no order is allowed once the ended process's last one has ended")
	}
}

// TestARestartedVMGoesOnWithOrders kills a holder whose orders count by its VM:
// its next process gives orders at once if the one before might give them, and
// waits if that one was still waiting for another VM's orders to end.
func TestARestartedVMGoesOnWithOrders(t *testing.T) {
	byVM := timing
	byVM.OrdersByVM = true
	for _, clear := range []bool{true, false} {
		tracker := New("x", Self{VM: "vm2", Incarnation: 9}, byVM)
		leaseRow, fenceRow := taken(8, false)
		record := leaseRow.Record.(core.LeaseRecord)
		record.OrdersClear = clear
		leaseRow.Record = record
		tracker.Observe(leaseRow, fenceRow, at(0))
		action := tracker.Decide(at(0), "a1")
		tracker.CommitSent(action, at(0))
		tracker.Committed(core.CommitResult{Applied: true, Version: 10}, at(0))
		if _, allowed := tracker.StartOrder(at(0.1)); allowed != clear {
			t.Errorf("orders clear %v: an order is allowed %v", clear, allowed)
		}
		if written := action.Commit.Writes[0].Record.(core.LeaseRecord); written.OrdersClear != clear {
			t.Errorf("orders clear %v: the next process of the VM is told %v", clear, written.OrdersClear)
		}
	}
}

// TestRenewalsTellWhenOrdersAreClear takes a lease that lapsed and renews it
// before and after the last order of the holder before has ended.
func TestRenewalsTellWhenOrdersAreClear(t *testing.T) {
	tracker := newTracker()
	leaseRow, fenceRow := taken(8, false)
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
		t.Errorf("%d commits, want an acquisition and renewals", version-10)
	}
}

// TestAReclaimingProcessTakesNoOtherLease restarts all processes at a time: one
// that only looks for its VM's lease must leave free and foreign leases to the
// candidates, as it may run on a VM that is too weak for the work.
func TestAReclaimingProcessTakesNoOtherLease(t *testing.T) {
	own, ownFence := taken(5, false)
	own.Record = core.LeaseRecord{Holder: "vm1", Incarnation: 2, Term: timing.Term}
	foreign, foreignFence := taken(5, false)
	released, releasedFence := taken(5, true)
	missing, missingFence := absent()
	for _, c := range []struct {
		name         string
		lease, fence core.Row
		want         bool
	}{
		{"its VM's", own, ownFence, true},
		{"of another VM that is gone", foreign, foreignFence, false},
		{"released", released, releasedFence, false},
		{"never held", missing, missingFence, false},
	} {
		tracker := newTracker()
		tracker.ReclaimOnly()
		tracker.Observe(c.lease, c.fence, at(0))
		tracker.Observe(c.lease, c.fence, at(60))
		if got := tracker.Decide(at(60), "a").Kind == ActionAcquire; got != c.want {
			t.Errorf("%s: taken = %v, want %v", c.name, got, c.want)
		}
		tracker.Compete()
		if got := tracker.Decide(at(60), "b").Kind; got != ActionAcquire {
			t.Errorf("%s: a candidate wants to %v", c.name, got)
		}
	}
}
