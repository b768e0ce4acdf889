package lease_test

import (
	"fmt"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
)

// TestCandidatesAreIndependentOfNames counts the leases whose candidates all have
// neighbouring names, as VMs in one rack may have. If candidates are independent of
// names, that is the case for 4/12 x 3/11 x 2/10 of the leases.
func TestCandidatesAreIndependentOfNames(t *testing.T) {
	const members, neighbours, leases = 12, 4, 1100
	const expected = leases * 4 * 3 * 2 / (12 * 11 * 10)
	live := make([]core.Member, members)
	for i := range live {
		live[i].VM = core.VMID(fmt.Sprint("entry-", i+1))
	}
	together := 0
	for number := range leases {
		name := fmt.Sprint("deployment/coach-", number)
		near, all := 0, 0
		for i, member := range live {
			if !lease.IsCandidate(name, member.VM, live) {
				continue
			}
			all++
			if i < neighbours {
				near++
			}
		}
		if all != lease.CandidatesPerLease {
			t.Fatalf("lease %s has %d candidates", name, all)
		}
		if near == all {
			together++
		}
	}
	if together > 2*expected {
		t.Errorf("%d of %d leases have only neighbours as candidates, want about %d", together, leases, expected)
	}
}
