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
		server("excluded", "v1", core.VMLive), server("leaving", "v1", core.VMLeaving),
		server("other", "v2", core.VMLive), server("another", "v3", core.VMLive),
		{ID: "ejected", Kind: core.KindPlain, Service: "portal", Zone: "z", Region: "r", State: core.VMLive, Slots: 4},
		{ID: "tried-1", Kind: core.KindPlain, Service: "portal", Zone: "z", Region: "r", State: core.VMLive, Slots: 4},
		{ID: "tried-2", Kind: core.KindPlain, Service: "portal", Zone: "z", Region: "r", State: core.VMLive, Slots: 4},
	})
	stream := Query{Kind: core.KindPlain, Service: "desk", Zone: "z", Region: "r", Software: "v1", ExactSoftware: true, Exclude: []core.ServerID{"excluded"}}
	lookup := Query{Kind: core.KindPlain, Service: "portal", Zone: "z", Region: "r", Exclude: []core.ServerID{"tried-1", "tried-2"}}
	for range 50 {
		state.End(state.Begin("ejected", lookup, now), Result{Outcome: outlier.Failed}, now, random)
	}
	var all Rejections
	for _, c := range []struct {
		query Query
		want  Rejections
	}{
		{stream, Rejections{NotLive: 1, OtherSoftware: 2, Excluded: 1}},
		{lookup, Rejections{Unhealthy: 1, Excluded: 2}},
	} {
		if _, err := state.Pick(c.query, now, random); err == nil {
			t.Fatal("a server was found")
		}
		counts, explained := state.ExplainLast(&c.query, now)
		if !explained || counts != c.want {
			t.Errorf("%s, want %s", counts, c.want)
		}
		if _, explained := state.ExplainLast(&c.query, now.Add(explainInterval/2)); explained {
			t.Error("a second decision is explained at once")
		}
		for reason, count := range counts {
			all[reason] += count
		}
		now = now.Add(explainInterval)
	}
	if state.Rejections() != all {
		t.Errorf("%s in all, want %s", state.Rejections(), all)
	}
}

// TestEjectedServerTakesWhatOnlyItMay guards against streams that are refused although a
// server of their software is live: the only one, which is ejected.
func TestEjectedServerTakesWhatOnlyItMay(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 1))
	state := NewState(DefaultPolicy())
	state.ApplyVMs([]core.VM{
		{ID: "only", Kind: core.KindPlain, Service: "desk", Zone: "z", Region: "r", State: core.VMLive, Slots: 4, Software: "v1"},
		{ID: "a", Kind: core.KindPlain, Service: "desk", Zone: "z", Region: "r", State: core.VMLive, Slots: 4, Software: "v2"},
		{ID: "b", Kind: core.KindPlain, Service: "desk", Zone: "z", Region: "r", State: core.VMLive, Slots: 4, Software: "v2"},
	})
	query := Query{Kind: core.KindPlain, Service: "desk", Zone: "z", Region: "r", Software: "v1", ExactSoftware: true}
	for range 50 {
		state.End(state.Begin("only", query, now), Result{Outcome: outlier.Failed}, now, random)
	}
	if vm, err := state.Pick(query, now, random); err != nil || vm.ID != "only" {
		t.Errorf("server %q, %v, want the only one of its software", vm.ID, err)
	}
	query.RequiresFreeSlot = true // an item can wait or start anew
	if vm, err := state.Pick(query, now, random); err == nil {
		t.Errorf("an item goes to the ejected server %s", vm.ID)
	}
	query.RequiresFreeSlot, query.Exclude = false, []core.ServerID{"only"}
	if vm, err := state.Pick(query, now, random); err == nil {
		t.Errorf("a stream goes to server %s, where it was", vm.ID)
	}
}
