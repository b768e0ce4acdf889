package registration

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

const testRecovery = 3 * time.Second

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func entry(id core.ServerID, address string) core.ServerEntry {
	return core.ServerEntry{VM: core.VM{ID: id, Address: address, State: core.VMLive}}
}

// newSettledView returns a view in which two servers have been registered for
// longer than the recovery time.
func newSettledView() *View {
	view := NewView(testRecovery)
	both := []core.ServerEntry{entry("a", "1"), entry("b", "2")}
	view.Observe(both, at(0))
	view.Observe(both, at(4))
	return view
}

func TestMissingServerIsRemovedWithoutOutage(t *testing.T) {
	registered, removed := newSettledView().Observe([]core.ServerEntry{entry("a", "1")}, at(5))
	if len(registered) != 1 || len(removed) != 1 || removed[0] != "b" {
		t.Errorf("registered %v, removed %v; want a registered and b removed", registered, removed)
	}
}

// TestLapsedRegistrationsAreKeptAfterOutage lets registrations expire during an
// outage: a server that registers again late counts as registered throughout,
// and one that does not is removed after the recovery time.
func TestLapsedRegistrationsAreKeptAfterOutage(t *testing.T) {
	view := newSettledView()
	view.RecordReadFailure()
	if registered, removed := view.Observe([]core.ServerEntry{entry("a", "1")}, at(20)); len(registered) != 2 || len(removed) != 0 {
		t.Errorf("right after the outage: registered %v, removed %v; want 2 registered", registered, removed)
	}
	if registered, _ := view.Observe([]core.ServerEntry{entry("a", "1"), entry("b", "2")}, at(22)); len(registered) != 2 {
		t.Errorf("after b registered again: registered %v, want 2", registered)
	}
	if _, removed := view.Observe([]core.ServerEntry{entry("a", "1")}, at(23.5)); len(removed) != 1 {
		t.Errorf("missing after the recovery time: removed %v, want b", removed)
	}
}

func TestReusedAddressRemovesMissingServer(t *testing.T) {
	view := newSettledView()
	view.RecordReadFailure()
	_, removed := view.Observe([]core.ServerEntry{entry("a", "1"), entry("c", "2")}, at(20))
	if len(removed) != 1 || removed[0] != "b" {
		t.Errorf("removed %v, want b, whose address c uses", removed)
	}
}

func TestSinceIsTimeOfLastChange(t *testing.T) {
	view := newSettledView()
	changed := entry("a", "1")
	changed.Models = []core.ModelVersion{{Model: "m", Version: 2}}
	registered, _ := view.Observe([]core.ServerEntry{changed, entry("b", "2")}, at(5))
	for _, server := range registered {
		want := at(0)
		if server.VM.ID == "a" {
			want = at(5)
		}
		if server.Since != want {
			t.Errorf("%s: Since = %v, want %v", server.VM.ID, server.Since, want)
		}
	}
}

// TestReportedOrdersSurviveRegistrationChanges checks that a delayed report and
// a changed registration leave the number of accepted orders, and that a restart
// of the server clears it.
func TestReportedOrdersSurviveRegistrationChanges(t *testing.T) {
	view := newSettledView()
	if _, known := view.AcceptedOrders("a"); known {
		t.Error("orders known for a server that has not reported")
	}
	view.RecordAcceptedOrders("a", 3)
	view.RecordAcceptedOrders("a", 2)
	changed := entry("a", "1")
	changed.VM.State = core.VMLeaving
	view.Observe([]core.ServerEntry{changed, entry("b", "2")}, at(5))
	if orders, known := view.AcceptedOrders("a"); orders != 3 || !known {
		t.Errorf("Orders = %d, %v, want 3, true", orders, known)
	}
	restarted := entry("a", "1")
	restarted.StartedUnixMs = 7
	view.Observe([]core.ServerEntry{restarted, entry("b", "2")}, at(6))
	if _, known := view.AcceptedOrders("a"); known {
		t.Error("orders known after a restart, want those of the previous start cleared")
	}
}

// TestLeavingInstanceStaysLeaving checks that a server which announced its shutdown
// stays leaving while its registration lapses, is read from an old list and returns,
// and that a new instance under its id is not shut out.
func TestLeavingInstanceStaysLeaving(t *testing.T) {
	view := newSettledView()
	both := []core.ServerEntry{entry("a", "1"), entry("b", "2")}
	if !view.MarkLeaving("b", at(4.5)) || view.MarkLeaving("b", at(4.6)) {
		t.Error("want the first of two announcements to change the view")
	}
	stateOf := func(registered []Server, id core.ServerID) core.VMState {
		for _, server := range registered {
			if server.VM.ID == id {
				return server.VM.State
			}
		}
		return ""
	}
	if state := stateOf(view.Registered(), "b"); state != core.VMLeaving {
		t.Errorf("after the announcement: state %q", state)
	}
	view.Observe(both[:1], at(5)) // the registration lapses
	registered, _ := view.Observe(both, at(6))
	if b, a := stateOf(registered, "b"), stateOf(registered, "a"); b != core.VMLeaving || a != core.VMLive {
		t.Errorf("after the registration returned: b is %q, a is %q", b, a)
	}
	restarted := entry("b", "2")
	restarted.StartedUnixMs = 7
	registered, _ = view.Observe([]core.ServerEntry{both[0], restarted}, at(8))
	if state := stateOf(registered, "b"); state != core.VMLive {
		t.Errorf("new instance: state %q, want %q", state, core.VMLive)
	}
	if view.MarkLeaving("b", at(7)) {
		t.Error("a response to a request sent before the new instance was known marked it as leaving")
	}
}

// TestColdTimeBeginsWithTheInstance guards against a cold time that begins anew with each
// read of a registration that still tells it.
func TestColdTimeBeginsWithTheInstance(t *testing.T) {
	view := NewView(time.Second)
	cold := entry("a", "1")
	cold.ColdFor = 3 * time.Second
	view.Observe([]core.ServerEntry{cold}, at(1))
	cold.VM.Slots = 7 // a change, so that the entry is taken in again
	for number, want := range []time.Time{at(4), at(8)} {
		cold.StartedUnixMs = int64(7 * number)
		registered, _ := view.Observe([]core.ServerEntry{cold}, at(float64(2+3*number)))
		if got := registered[0].ColdUntil; !got.Equal(want) {
			t.Errorf("instance %d is cold until %v, want %v", number, got, want)
		}
	}
}

func TestGoneInstancesAreForgotten(t *testing.T) {
	view := newSettledView()
	for i := range 100 {
		view.Observe([]core.ServerEntry{entry(core.ServerID(string(rune('A'+i))), "9")}, at(float64(10+i)))
	}
	view.Observe(nil, at(200+instanceMemory.Seconds()))
	if len(view.instances) != 0 {
		t.Errorf("%d instances remembered, want none", len(view.instances))
	}
}

func TestForgottenOrdersAreReportedAnew(t *testing.T) {
	view := newSettledView()
	view.RecordAcceptedOrders("a", 3)
	view.ForgetAcceptedOrders("a")
	if _, known := view.AcceptedOrders("a"); known {
		t.Error("orders known after they were forgotten")
	}
	view.RecordAcceptedOrders("a", 2)
	if orders, known := view.AcceptedOrders("a"); orders != 2 || !known {
		t.Errorf("orders %d, %v after a report of 2", orders, known)
	}
}
