package membership_test

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestPartitionHeals cuts the members into halves for so long that each
// suspects the other, and checks that all are alive to all afterwards.
func TestPartitionHeals(t *testing.T) {
	const members = 10
	n := newNetwork(t, members, 0, 3)
	n.run(30 * time.Second)
	n.cut = func(from, to int) bool { return (from < members/2) != (to < members/2) }
	n.run(3 * time.Minute)
	if got := n.inState(core.MemberSuspect); got != members*members/2 {
		t.Errorf("%d suspicions while cut, want %d", got, members*members/2)
	}
	n.cut = func(int, int) bool { return false }
	n.run(time.Minute)
	if got := n.inState(core.MemberAlive); got != members*members {
		t.Errorf("%d members alive to members after the cut, want %d", got, members*members)
	}
}

// TestLeavingIsKnownSoon checks that all hear of a leaving member.
func TestLeavingIsKnownSoon(t *testing.T) {
	n := newNetwork(t, 100, 0.05, 4)
	n.run(90 * time.Second)
	n.views[5].Leave()
	n.observe(5)
	n.run(8 * time.Second)
	if got := n.inState(core.MemberLeaving); got != len(n.views) {
		t.Errorf("%d of %d members know", got, len(n.views))
	}
}

// inState counts the members in a state over all views.
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
