package routing

import (
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

func TestRequestsCrossRegionsOnlyWhenCheaper(t *testing.T) {
	cases := []struct {
		name    string
		streams int // in flight on each local server
		bytes   int
		crosses bool
	}{
		{"local servers idle", 0, 1000, false},
		{"short wait costs less than the link", 5, 100_000, false},
		{"long wait costs more than the link", 200, 1000, true},
		{"long wait costs more than 1 MB on the link", 200, 1_000_000, true},
		{"50 MB on the link cost more than a long wait", 200, 50_000_000, false},
	}
	for _, c := range cases {
		state, random := newTestState([]core.VM{engineVM(0, "east"), engineVM(1, "east"), engineVM(2, "west")})
		query := coachQuery()
		query.ExpectedBytes = c.bytes
		for range c.streams {
			state.Begin("engine-0000", coachQuery(), testStart)
			state.Begin("engine-0001", coachQuery(), testStart)
		}
		if got := countPicks(state, query, testStart, random)["engine-0002"] > 0; got != c.crosses {
			t.Errorf("%s: crossed %v, want %v", c.name, got, c.crosses)
		}
	}
}

// TestLinkShareBoundsAllProcesses checks that ten processes that send all
// requests to another region together stay within the usable share of the link.
func TestLinkShareBoundsAllProcesses(t *testing.T) {
	const processes, seconds, bytes = 10, 30, 1 << 20
	sent := 0.0
	for i := range processes {
		state, random := newTestState([]core.VM{engineVM(i, "west")})
		state.SetProcessCounts(processes, processes)
		query := coachQuery()
		query.ExpectedBytes = bytes
		for tick := range seconds * 100 {
			now := testStart.Add(time.Duration(tick) * 10 * time.Millisecond)
			vm, err := state.Pick(query, now, random)
			if errkind.Is(err, errkind.Overloaded) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			state.Begin(vm.ID, query, now)
			sent += bytes
		}
	}
	policy := DefaultPolicy().Link
	limit := policy.BytesPerSecond * policy.UsableShare * (seconds + policy.Burst.Seconds())
	if sent > limit+processes*bytes || sent < limit*0.9 {
		t.Errorf("%.0f bytes crossed the link in %d s, want close to %.0f", sent, seconds, limit)
	}
}

func TestRolloutsCannotUseLinkReserve(t *testing.T) {
	l := newLink(DefaultPolicy().Link)
	for l.hasCapacity(core.ClassRollout, 1000, testStart) {
		l.reserve(1000)
	}
	if !l.hasCapacity(core.ClassInteractive, 1000, testStart) {
		t.Error("rollouts used the share of the link that is reserved for interactive requests")
	}
}
