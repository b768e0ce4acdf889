package drain

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testGrace    = 8 * time.Second
	closeReserve = 500 * time.Millisecond // time that the process takes to close its connections
)

func testPlan(begun time.Time) Plan {
	return NewPlan(begun, testGrace, begun.Add(testGrace-closeReserve))
}

func TestPlanAccepts(t *testing.T) {
	begun := time.Unix(1000, 0)
	plan := testPlan(begun)
	cases := []struct {
		name                       string
		arrived, deadline, longest time.Duration // arrived since the signal, deadline since the arrival
		want                       bool
	}{
		{"deadline before the end", 4 * time.Second, 2 * time.Second, 0, true},
		{"deadline before the end, slow route", 4 * time.Second, 2 * time.Second, 20 * time.Second, true},
		{"closed", 4800 * time.Millisecond, 100 * time.Millisecond, time.Millisecond, false},
		{"short route, early", time.Second, 30 * time.Second, 100 * time.Millisecond, true},
		{"short route, late", 2 * time.Second, 30 * time.Second, 100 * time.Millisecond, false},
		{"slow route, early", time.Second, 12 * time.Second, 4500 * time.Millisecond, false},
		{"unknown route, early", 0, 12 * time.Second, 0, false},
		{"deadline at the end, without time to write the answer", 0, testGrace - closeReserve, 0, false},
	}
	for _, c := range cases {
		arrived := begun.Add(c.arrived)
		if got := plan.Accepts(Request{Arrived: arrived, Deadline: arrived.Add(c.deadline), Longest: c.longest}); got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.want)
		}
	}
}

// TestShortGracePeriod has a grace period that closing the connections uses up.
func TestShortGracePeriod(t *testing.T) {
	begun := time.Unix(1000, 0)
	plan := NewPlan(begun, closeReserve, begun)
	if plan.Accepts(Request{Arrived: begun, Deadline: begun.Add(time.Millisecond), Longest: time.Millisecond}) {
		t.Error("accepted a request without time to answer it")
	}
}

// TestReplayOfShutdown replays the requests of callers that keep the address for 5 to
// 15 s: short ones, slow ones and streams with long deadlines, and slow ones with short
// deadlines. No request may be accepted and cut, and those that surely end in time must
// not be refused before the process closes.
func TestReplayOfShutdown(t *testing.T) {
	kinds := []struct {
		name              string
		shortest, longest time.Duration
		deadline          time.Duration
	}{
		{"lookup", 20 * time.Millisecond, 200 * time.Millisecond, 1200 * time.Millisecond},
		{"patient lookup", 20 * time.Millisecond, 200 * time.Millisecond, 30 * time.Second},
		{"short stream", 300 * time.Millisecond, 3 * time.Second, 12 * time.Second},
		{"stream", 500 * time.Millisecond, 6 * time.Second, 12 * time.Second},
		{"slow with short deadline", 2 * time.Second, 4 * time.Second, 2 * time.Second},
	}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		begun := time.Unix(1000, 0)
		plan, killed := testPlan(begun), begun.Add(testGrace-closeReserve)
		for _, kind := range kinds {
			duration := func() time.Duration {
				return min(kind.deadline, kind.shortest+time.Duration(random.Int64N(int64(kind.longest-kind.shortest))))
			}
			var recent Recent
			for at := -20 * time.Second; at < 0; at += 200 * time.Millisecond {
				recent.Observe(duration(), begun.Add(at))
			}
			accepted := 0
			for at := time.Duration(0); at < testGrace; at += time.Duration(1+random.IntN(100)) * time.Millisecond {
				arrived := begun.Add(at)
				request := Request{Arrived: arrived, Deadline: arrived.Add(kind.deadline), Longest: recent.Longest(arrived)}
				took := duration()
				if !plan.Accepts(request) {
					if !request.Deadline.After(plan.end) && arrived.Before(plan.Closed()) {
						t.Errorf("seed %d: %s at %v refused, though it ends in time", seed, kind.name, at)
					}
					continue
				}
				accepted++
				if arrived.Add(took).After(killed) {
					t.Errorf("seed %d: %s at %v accepted and cut", seed, kind.name, at)
				}
			}
			if accepted == 0 && kind.name != "stream" {
				t.Errorf("seed %d: no %s accepted", seed, kind.name)
			}
		}
	}
}

func TestRecent(t *testing.T) {
	var recent Recent
	now := time.Unix(1000, 0)
	if got := recent.Longest(now); got != 0 {
		t.Errorf("longest %v without durations, want 0", got)
	}
	recent.Observe(3*time.Second, now)
	recent.Observe(time.Second, now.Add(recentWindow+time.Second))
	if got := recent.Longest(now.Add(recentWindow + time.Second)); got != 3*time.Second {
		t.Errorf("longest %v, want that of the previous window", got)
	}
	if got := recent.Longest(now.Add(2*recentWindow + time.Second)); got != time.Second {
		t.Errorf("longest %v, want that of the last two windows", got)
	}
	if got := recent.Longest(now.Add(5 * recentWindow)); got != 0 {
		t.Errorf("longest %v long after the last request, want 0", got)
	}
}
