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

// TestNoServerErrorRequiresVMList acquires a server before the first VM list,
// when servers may exist that are not known yet, and after an empty list.
func TestNoServerErrorRequiresVMList(t *testing.T) {
	servers := NewServers(rand.New(rand.NewPCG(1, 1)))
	query := routing.Query{Kind: core.KindEngine, Service: "model"}
	if _, err := servers.Acquire(query, tableNow); !errkind.Is(err, errkind.Starting) {
		t.Errorf("before the first VM list: %v, want kind %s", err, errkind.Starting)
	}
	servers.ApplyVMs(nil)
	if _, err := servers.Acquire(query, tableNow); !errkind.Is(err, errkind.NoServer) {
		t.Errorf("after a VM list without servers: %v, want kind %s", err, errkind.NoServer)
	}
}

// TestSweepReportsEjectionOnce fails all requests of one of four servers until it
// is ejected, and then waits until its ejection is over.
func TestSweepReportsEjectionOnce(t *testing.T) {
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
	if ejected, readmitted := servers.Sweep(tableNow); len(ejected) != 1 || ejected[0].Server != "a" || ejected[0].Why != "fails" || len(readmitted) != 0 {
		t.Errorf("ejected %v, readmitted %v, want a ejected", ejected, readmitted)
	}
	if ejected, readmitted := servers.Sweep(tableNow); len(ejected)+len(readmitted) != 0 {
		t.Errorf("second sweep: ejected %v, readmitted %v, want none", ejected, readmitted)
	}
	later := tableNow.Add(time.Minute)
	if ejected, readmitted := servers.Sweep(later); len(ejected) != 0 || len(readmitted) != 1 || readmitted[0] != "a" {
		t.Errorf("a minute later: ejected %v, readmitted %v, want a readmitted", ejected, readmitted)
	}
}
