package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// observeIntervals records five intervals for each engine.
func observeIntervals(tracker *IntervalTracker, now time.Time, intervals ...time.Duration) {
	for i, interval := range intervals {
		for range 5 {
			tracker.Observe(core.ServerID(fmt.Sprint("e", i)), interval, now)
		}
	}
}

// TestSlowEngines covers engines that become slow during a step: two of nine at
// two and a half times the usual time, full batches, and a slowdown of all.
func TestSlowEngines(t *testing.T) {
	const usual, full, slow = 36 * time.Millisecond, 43 * time.Millisecond, 90 * time.Millisecond
	const weak, weakFull, twice = 47 * time.Millisecond, 60 * time.Millisecond, 76 * time.Millisecond
	cases := []struct {
		name      string
		intervals []time.Duration
		want      []core.ServerID
	}{
		{"two of nine", []time.Duration{usual, usual, full, usual, slow, usual, full, usual, slow}, []core.ServerID{"e4", "e8"}},
		{"a full batch", []time.Duration{usual, full, usual}, nil},
		{"unequal engines, two with full batches", []time.Duration{usual, weak, usual, weakFull, usual, weakFull, usual, usual, weak}, nil},
		{"one at half its speed", []time.Duration{usual, weak, usual, twice, usual}, []core.ServerID{"e3"}},
		{"all engines slow", []time.Duration{slow, slow, slow, slow}, nil},
		{"more than half slow", []time.Duration{usual, slow, slow, slow}, nil},
		{"too few to compare", []time.Duration{usual, slow}, nil},
	}
	for _, c := range cases {
		tracker := NewIntervalTracker()
		observeIntervals(tracker, at(0), c.intervals...)
		got := tracker.Slow(at(0.1))
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: slow engines %v, want %v", c.name, got, c.want)
		}
	}
}

func TestSlowEngineIsRetriedAfterExpiry(t *testing.T) {
	tracker := NewIntervalTracker()
	observeIntervals(tracker, at(0), 36*time.Millisecond, 36*time.Millisecond, 36*time.Millisecond, 90*time.Millisecond)
	observeIntervals(tracker, at(2.5), 36*time.Millisecond, 36*time.Millisecond, 36*time.Millisecond)
	if got := tracker.Slow(at(2.5)); len(got) != 0 {
		t.Errorf("slow engines %v, want none 2.5 s after the last event of the slow one", got)
	}
}

// TestRunsOnSlowEnginesMoveOnce selects runs to move several times before they
// end. No run may be moved twice.
func TestRunsOnSlowEnginesMoveOnce(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 30, 20, 10), nil, policy, at(0))
	for i, start := range scheduler.NextRuns(3, at(0)) {
		scheduler.RunPlaced(start.Work, core.ServerID(fmt.Sprint("e", i)), "v1")
	}
	slow := []core.ServerID{"e0", "e2"}
	if got := scheduler.SelectMoves(SlowEngineMoves(slow), limitedRoom(1)); len(got) != 1 || got[0].Index != 0 {
		t.Errorf("with one free slot: moves %+v, want only the longest run", got)
	}
	if got := scheduler.SelectMoves(SlowEngineMoves(slow), limitedRoom(10)); len(got) != 1 || got[0].Index != 2 {
		t.Errorf("second review: moves %+v, want only the run not moved yet", got)
	}
	if got := scheduler.SelectMoves(SlowEngineMoves(slow), limitedRoom(10)); len(got) != 0 {
		t.Errorf("third review: moves %+v, want none", got)
	}
}

// limitedRoom returns a callback that reserves a limited number of slots, for
// any job.
func limitedRoom(slots int) func(Move) bool {
	return func(Move) bool {
		slots--
		return slots >= 0
	}
}

// TestRunsMoveOnlyToAllowedWeights has free slots only on engines with weights
// older than one of two jobs allows. That job's run must not be moved.
func TestRunsMoveOnlyToAllowedWeights(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("older", 1, 10), nil, policy, at(0))
	scheduler.Open(newTestJob("newer", 2, 10), nil, policy, at(0))
	for _, start := range scheduler.NextRuns(2, at(0)) {
		scheduler.RunPlaced(start.Work, "slow", "v1")
	}
	onlyOld := func(move Move) bool { return move.Oldest <= 1 }
	got := scheduler.SelectMoves(SlowEngineMoves([]core.ServerID{"slow"}), onlyOld)
	if len(got) != 1 || got[0].Job != "older" {
		t.Errorf("moves %+v, want only the run of the job that allows older weights", got)
	}
}

// TestLongestGapFollowsIntervals covers a service in normal operation, with all
// engines eight times slower, and with an engine that sends an event now and then.
func TestLongestGapFollowsIntervals(t *testing.T) {
	cases := []struct {
		name            string
		engine, peers   time.Duration // intervals between events
		atLeast, atMost time.Duration
	}{
		{"normal", 60 * time.Millisecond, 60 * time.Millisecond, minLongestGap, minLongestGap},
		{"slow engine", 480 * time.Millisecond, 60 * time.Millisecond, 8 * 480 * time.Millisecond, maxLongestGap},
		{"all slow", 480 * time.Millisecond, 480 * time.Millisecond, 8 * 480 * time.Millisecond, maxLongestGap},
		{"slow peers, engine not measured", 0, 480 * time.Millisecond, 8 * 480 * time.Millisecond, maxLongestGap},
		{"an event now and then", 5 * time.Second, 60 * time.Millisecond, 5 * time.Second, maxLongestGap},
	}
	for _, c := range cases {
		tracker := NewIntervalTracker()
		now := time.Unix(1000, 0)
		for _, engine := range []core.ServerID{"b", "c", "d"} {
			tracker.Observe(engine, c.peers, now)
		}
		if c.engine > 0 {
			tracker.Observe("a", c.engine, now)
		}
		if got := tracker.LongestGap("a", now); got < c.atLeast || got > c.atMost {
			t.Errorf("%s: longest gap %v, want %v to %v", c.name, got, c.atLeast, c.atMost)
		}
	}
}
