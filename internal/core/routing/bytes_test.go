package routing

import (
	"math/rand/v2"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// TestLargeBodiesAreSpread guards against large requests that together exceed what a
// server bears, and against small ones that are refused beside them.
func TestLargeBodiesAreSpread(t *testing.T) {
	const perSlot, slots, size = 1 << 20, 4, 3 << 20
	policy := DefaultPolicy()
	policy.BytesPerSlot = perSlot
	state := NewState(policy)
	var vms []core.VM
	for _, id := range []core.ServerID{"a", "b", "c"} {
		vms = append(vms, core.VM{ID: id, Kind: core.KindPlain, Service: "desk", Region: "r", State: core.VMLive, Slots: slots})
	}
	state.ApplyVMs(vms)
	random := rand.New(rand.NewPCG(1, 1))
	send := func(bytes int) (Dispatch, error) {
		query := Query{Kind: core.KindPlain, Service: "desk", Class: core.ClassInteractive, ExpectedTokens: 1, Region: "r", BodyBytes: bytes}
		vm, err := state.Pick(query, testStart, random)
		if err != nil {
			return Dispatch{}, err
		}
		return state.Begin(vm.ID, query, testStart), nil
	}
	used := make(map[core.ServerID]int)
	var last Dispatch
	for range vms {
		dispatch, err := send(size)
		if err != nil {
			t.Fatal(err)
		}
		last = dispatch
		used[dispatch.VM.ID]++
	}
	if len(used) != len(vms) {
		t.Errorf("large requests went to %v, want one to each server", used)
	}
	if _, err := send(size); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("large request beside one at each server: %v, want %s", err, errkind.Overloaded)
	}
	if _, err := send(smallBody); err != nil {
		t.Errorf("small request beside large ones: %v", err)
	}
	state.End(last, Result{}, testStart, random)
	if dispatch, err := send(perSlot * slots * 2); err != nil || dispatch.VM.ID != last.VM.ID {
		t.Errorf("request above what a server bears went to %q, error %v, want %q, which holds none", dispatch.VM.ID, err, last.VM.ID)
	}
}
