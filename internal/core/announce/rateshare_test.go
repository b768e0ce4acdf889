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
	if busy["desk"] < 0.7 || quiet["desk"] < equalRateShare/10 || others != 0.1 {
		t.Errorf("shares %v of the busy process, %v of a quiet one, %v of other services", busy, quiet, others)
	}
	if shares, others := NewView().RateShares("vm-0"); len(shares) != 0 || others != 1 {
		t.Errorf("without members: %v, %v", shares, others)
	}
}
