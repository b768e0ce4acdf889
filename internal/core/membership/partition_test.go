package membership_test

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestPartitionHeals partitions the network into halves until each suspects the
// other, and checks that all members are alive in all views after it heals.
func TestPartitionHeals(t *testing.T) {
	const members = 10
	n := newNetwork(t, members, 0, 3)
	n.run(30 * time.Second)
	n.cut = func(from, to int) bool { return (from < members/2) != (to < members/2) }
	n.run(3 * time.Minute)
	if got := n.inState(core.MemberSuspect); got != members*members/2 {
		t.Errorf("%d suspicions during the partition, want %d", got, members*members/2)
	}
	n.cut = func(int, int) bool { return false }
	n.run(time.Minute)
	if got := n.inState(core.MemberAlive); got != members*members {
		t.Errorf("%d alive members over all views after the partition, want %d", got, members*members)
	}
}

// TestLeavingStateSpreadsQuickly checks that all members learn within 8 s that a
// member is leaving.
func TestLeavingStateSpreadsQuickly(t *testing.T) {
	n := newNetwork(t, 100, 0.05, 4)
	n.run(90 * time.Second)
	n.views[5].Leave()
	n.observe(5)
	n.run(8 * time.Second)
	if got := n.inState(core.MemberLeaving); got != len(n.views) {
		t.Errorf("%d of %d members know of the leaving member", got, len(n.views))
	}
}

// inState returns the number of members in a state, summed over all views.
func (n *network) inState(state core.MemberState) int {
	count := 0
	for _, v := range n.views {
		for _, m := range v.Members() {
			if m.State == state {
				count++
			}
		}
	}
	return count
}
