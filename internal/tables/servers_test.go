package tables

import (
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
)

// TestNoServerIsSaidOnlyAfterAList asks for a server before the first VM list
// and after one that names none.
func TestNoServerIsSaidOnlyAfterAList(t *testing.T) {
	servers := NewServers(rand.New(rand.NewPCG(1, 1)))
	query := routing.Query{Kind: core.KindEngine, Service: "model"}
	if _, err := servers.Acquire(query, tableNow); !errkind.Is(err, errkind.Starting) {
		t.Errorf("before the first list: %v, want kind %s", err, errkind.Starting)
	}
	servers.ApplyVMs(nil)
	if _, err := servers.Acquire(query, tableNow); !errkind.Is(err, errkind.NoServer) {
		t.Errorf("after a list without servers: %v, want kind %s", err, errkind.NoServer)
	}
}

// TestSweepTellsEjectionsOnce fails all requests of one server of four, until it
// is ejected, and then waits until its ejection is over.
func TestSweepTellsEjectionsOnce(t *testing.T) {
	servers := NewServers(rand.New(rand.NewPCG(1, 1)))
	var vms []core.VM
	for _, id := range []core.ServerID{"a", "b", "c", "d"} {
		vms = append(vms, core.VM{ID: id, Kind: core.KindPlain, Service: "desk", State: core.VMLive})
	}
	servers.ApplyVMs(vms)
	query := routing.Query{Kind: core.KindPlain, Service: "desk", Exclude: []core.ServerID{"b", "c", "d"}}
	for range 3 {
		begun, err := servers.Acquire(query, tableNow)
		if err != nil {
			t.Fatal(err)
		}
		servers.Release(begun, routing.Result{Outcome: outlier.Failed}, tableNow)
	}
	if out, back := servers.Sweep(tableNow); len(out) != 1 || out[0].Server != "a" || out[0].Why != "fails" || len(back) != 0 {
		t.Errorf("ejected %v, back %v, want a ejected", out, back)
	}
	if out, back := servers.Sweep(tableNow); len(out)+len(back) != 0 {
		t.Errorf("ejected %v, back %v a second time", out, back)
	}
	later := tableNow.Add(time.Minute)
	if out, back := servers.Sweep(later); len(out) != 0 || len(back) != 1 || back[0] != "a" {
		t.Errorf("ejected %v, back %v, want a back", out, back)
	}
}
