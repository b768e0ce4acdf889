package announce

import (
	"fmt"
	"math"
	"testing"

	"fescuespar/internal/core"
)

func TestRateSharesFollowDemandAndSumToOne(t *testing.T) {
	found := make(map[core.VMID]core.MemberRecord)
	for i := range 10 {
		record := core.MemberRecord{Beat: 1, Every: every, Demand: []core.ServiceDemand{{Service: "desk", PerSecond: 0.5}}}
		if i == 0 {
			record.Demand[0].PerSecond = 95.5
		}
		found[core.VMID(fmt.Sprint("vm-", i))] = record
	}
	view := NewView()
	view.Observe(found, at(0))
	sum := 0.0
	for id := range found {
		shares, _ := view.RateShares(id)
		sum += shares["desk"]
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("shares sum to %v, want 1", sum)
	}
	busy, others := view.RateShares("vm-0")
	quiet, _ := view.RateShares("vm-1")
	if busy["desk"] < 0.7 || quiet["desk"] < (reserveRateShare+activeRateShare)/10 || others != 0.1 {
		t.Errorf("shares %v of the busy process, %v of a quiet one, %v of other services", busy, quiet, others)
	}
	if shares, others := NewView().RateShares("vm-0"); len(shares) != 0 || others != 1 {
		t.Errorf("without members: %v, %v", shares, others)
	}
}

// TestOnlySenderGetsAlmostAllOfALimit has one process that runs items on the engines.
func TestOnlySenderGetsAlmostAllOfALimit(t *testing.T) {
	found := rows(map[core.VMID]uint64{"a": 1, "b": 1, "c": 1})
	record := found["a"]
	record.Demand = []core.ServiceDemand{{Service: "engines", PerSecond: 45}}
	found["a"] = record
	view := NewView()
	view.Observe(found, at(0))
	sender, _ := view.RateShares("a")
	other, _ := view.RateShares("b")
	if sender["engines"] < 1-reserveRateShare || other["engines"] <= 0 {
		t.Errorf("shares %v of the sender, %v of another process", sender, other)
	}
}

func TestHasDemandGrown(t *testing.T) {
	record := core.MemberRecord{Beat: 1, Every: every, Demand: []core.ServiceDemand{{Service: "desk", PerSecond: 2}}}
	view := NewView()
	view.Observe(map[core.VMID]core.MemberRecord{"a": record}, at(0))
	cases := []struct {
		name string
		vm   core.VMID
		now  []core.ServiceDemand
		want bool
	}{
		{"no demand", "a", nil, false},
		{"a little more", "a", []core.ServiceDemand{{Service: "desk", PerSecond: 4.9}}, false},
		{"much more", "a", []core.ServiceDemand{{Service: "desk", PerSecond: 5.1}}, true},
		{"another service", "a", []core.ServiceDemand{{Service: "engines", PerSecond: 1.1}}, true},
		{"row not read yet", "b", []core.ServiceDemand{{Service: "engines", PerSecond: 9}}, false},
	}
	for _, c := range cases {
		if got := view.HasDemandGrown(c.vm, c.now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
