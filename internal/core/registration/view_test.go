package registration

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

const back = 3 * time.Second

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func entry(id core.ServerID, address string) core.ServerEntry {
	return core.ServerEntry{VM: core.VM{ID: id, Address: address, State: core.VMLive}}
}

// settled returns a view that has seen two servers for longer than the time of
// return after an outage.
func settled() *View {
	view := NewView(back)
	both := []core.ServerEntry{entry("a", "1"), entry("b", "2")}
	view.Observe(both, at(0))
	view.Observe(both, at(4))
	return view
}

func TestAMissingServerIsGoneAtOnceInSteadyTimes(t *testing.T) {
	believed, gone := settled().Observe([]core.ServerEntry{entry("a", "1")}, at(5))
	if len(believed) != 1 || len(gone) != 1 || gone[0] != "b" {
		t.Errorf("believed %v, gone %v", believed, gone)
	}
}

// TestLapsedRegistrationsAreBridged lets registrations lapse in an outage: a
// server that returns late is believed all the while, and one that does not
// return is gone after the time of return.
func TestLapsedRegistrationsAreBridged(t *testing.T) {
	view := settled()
	view.Failed()
	if believed, gone := view.Observe([]core.ServerEntry{entry("a", "1")}, at(20)); len(believed) != 2 || len(gone) != 0 {
		t.Errorf("right after the outage: believed %v, gone %v", believed, gone)
	}
	if believed, _ := view.Observe([]core.ServerEntry{entry("a", "1"), entry("b", "2")}, at(22)); len(believed) != 2 {
		t.Errorf("after its return: believed %v", believed)
	}
	if _, gone := view.Observe([]core.ServerEntry{entry("a", "1")}, at(23.5)); len(gone) != 1 {
		t.Errorf("missing after the time of return: gone %v", gone)
	}
}

func TestAReusedAddressEndsTheBridge(t *testing.T) {
	view := settled()
	view.Failed()
	_, gone := view.Observe([]core.ServerEntry{entry("a", "1"), entry("c", "2")}, at(20))
	if len(gone) != 1 || gone[0] != "b" {
		t.Errorf("gone %v, want b, whose address c has", gone)
	}
}

func TestSinceTellsWhenAnEntryChanged(t *testing.T) {
	view := settled()
	changed := entry("a", "1")
	changed.Models = []core.ModelVersion{{Model: "m", Version: 2}}
	believed, _ := view.Observe([]core.ServerEntry{changed, entry("b", "2")}, at(5))
	for _, server := range believed {
		want := at(0)
		if server.VM.ID == "a" {
			want = at(5)
		}
		if server.Since != want {
			t.Errorf("%s is known as it is since %v, want %v", server.VM.ID, server.Since, want)
		}
	}
}

// TestReportedOrdersOutliveRegistrations reads a registration that has changed,
// a report that lags, and a registration of a later start.
func TestReportedOrdersOutliveRegistrations(t *testing.T) {
	view := settled()
	if _, known := view.Orders("a"); known {
		t.Error("the orders of a server that has not reported are known")
	}
	view.Ordered("a", 3)
	view.Ordered("a", 2)
	changed := entry("a", "1")
	changed.VM.State = core.VMLeaving
	view.Observe([]core.ServerEntry{changed, entry("b", "2")}, at(5))
	if orders, known := view.Orders("a"); orders != 3 || !known {
		t.Errorf("%d orders, known %v, want 3", orders, known)
	}
	restarted := entry("a", "1")
	restarted.Born = 7
	view.Observe([]core.ServerEntry{restarted, entry("b", "2")}, at(6))
	if _, known := view.Orders("a"); known {
		t.Error("the orders before a restart count after it")
	}
}
