package routing

import (
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

func TestWorkCrossesOnlyWhenWaitingIsDearer(t *testing.T) {
	cases := []struct {
		name    string
		streams int // in flight on each local server
		bytes   int
		crosses bool
	}{
		{"idle at home", 0, 1000, false},
		{"waiting cheaper than the link", 5, 100_000, false},
		{"waiting dearer than the link", 200, 1000, true},
		{"waiting dearer than a large volume", 200, 1_000_000, true},
		{"volume dearer than long waiting", 200, 50_000_000, false},
	}
	for _, c := range cases {
		state, random := stateOf([]core.VM{engineVM(0, "east"), engineVM(1, "east"), engineVM(2, "west")})
		query := coachQuery()
		query.Bytes = c.bytes
		for range c.streams {
			state.Begin("engine-0000", coachQuery(), epoch)
			state.Begin("engine-0001", coachQuery(), epoch)
		}
		if got := picks(state, query, epoch, random)["engine-0002"] > 0; got != c.crosses {
			t.Errorf("%s: crossed %v, want %v", c.name, got, c.crosses)
		}
	}
}

// Ten processes that all want to cross send no more than the link's share.
func TestLinkShareHoldsOverAllProcesses(t *testing.T) {
	const processes, seconds, bytes = 10, 30, 1 << 20
	sent := 0.0
	for i := range processes {
		state, random := stateOf([]core.VM{engineVM(i, "west")})
		state.SetProcesses(processes, processes)
		query := coachQuery()
		query.Bytes = bytes
		for tick := range seconds * 100 {
			now := epoch.Add(time.Duration(tick) * 10 * time.Millisecond)
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
	limit := policy.Capacity * policy.Share * (seconds + policy.Burst.Seconds())
	if sent > limit+processes*bytes || sent < limit*0.9 {
		t.Errorf("%.0f bytes crossed in %d s, want close to %.0f", sent, seconds, limit)
	}
}

func TestRolloutsLeaveTheReserveToPeople(t *testing.T) {
	l := newLink(DefaultPolicy().Link)
	for l.open(core.ClassRollout, 1000, epoch) {
		l.take(1000)
	}
	if !l.open(core.ClassPeople, 1000, epoch) {
		t.Error("rollouts used up the part of the link that is kept for people")
	}
}
