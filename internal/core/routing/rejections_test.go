package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
)

// TestRejectionsNameEachReason has a service of which no server is eligible for a query, each
// for another reason, and checks that all are counted.
func TestRejectionsNameEachReason(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	state := NewState(DefaultPolicy())
	server := func(id core.ServerID, software core.SoftwareVersion, vmState core.VMState) core.VM {
		return core.VM{ID: id, Kind: core.KindPlain, Service: "desk", Zone: "z", Region: "r", State: vmState, Slots: 4, Software: software}
	}
	state.ApplyVMs([]core.VM{
		server("excluded", "v1", core.VMLive), server("ejected", "v1", core.VMLive),
		server("leaving", "v1", core.VMLeaving), server("other", "v2", core.VMLive), server("another", "v3", core.VMLive),
	})
	ejected := Query{Kind: core.KindPlain, Service: "desk", Zone: "z", Region: "r", Software: "v1", ExactSoftware: true, Exclude: []core.ServerID{"excluded"}}
	for range 50 {
		state.End(state.Begin("ejected", ejected, now), Result{Outcome: outlier.Failed}, now, random)
	}
	if _, err := state.Pick(ejected, now, random); err == nil {
		t.Fatal("a server was found")
	}
	counts, explained := state.ExplainLast(&ejected, now)
	want := Rejections{NotLive: 1, Unhealthy: 1, OtherSoftware: 2, Excluded: 1}
	if !explained || counts != want || state.Rejections() != want {
		t.Errorf("%s (in all %s), want %s", counts, state.Rejections(), want)
	}
	if _, explained := state.ExplainLast(&ejected, now.Add(explainInterval/2)); explained {
		t.Error("a second decision is explained at once")
	}
}
