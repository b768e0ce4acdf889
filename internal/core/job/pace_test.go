package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// run feeds events at an interval to a number of engines.
func run(paces *Paces, now time.Time, intervals ...time.Duration) {
	for i, interval := range intervals {
		for range 5 {
			paces.Observe(core.ServerID(fmt.Sprint("e", i)), interval, now)
		}
	}
}

// TestSlowEngines replays engines that turn slow while a step runs: two of nine
// at two and a half times the usual time, a full batch, and a sag of all.
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
		{"a sag of all", []time.Duration{slow, slow, slow, slow}, nil},
		{"more than half", []time.Duration{usual, slow, slow, slow}, nil},
		{"too few to compare", []time.Duration{usual, slow}, nil},
	}
	for _, c := range cases {
		paces := NewPaces()
		run(paces, at(0), c.intervals...)
		got := paces.Slow(at(0.1))
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: slow %v, want %v", c.name, got, c.want)
		}
	}
}

func TestASlowEngineIsTriedAgain(t *testing.T) {
	paces := NewPaces()
	run(paces, at(0), 36*time.Millisecond, 36*time.Millisecond, 36*time.Millisecond, 90*time.Millisecond)
	run(paces, at(2.5), 36*time.Millisecond, 36*time.Millisecond, 36*time.Millisecond)
	if got := paces.Slow(at(2.5)); len(got) != 0 {
		t.Errorf("slow %v, 2.5 s after the last event", got)
	}
}

// TestRunsOnSlowEnginesMoveOnce reviews the same run several times before it
// has ended.
func TestRunsOnSlowEnginesMoveOnce(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("j", 1, 30, 20, 10), nil, policy, at(0))
	for i, start := range book.Next(3, at(0)) {
		book.Placed(start.Work, core.ServerID(fmt.Sprint("e", i)))
	}
	slow := []core.ServerID{"e0", "e2"}
	if got := book.Moves(slow, roomFor(1)); len(got) != 1 || got[0].Index != 0 {
		t.Errorf("moves %+v with room for one, want the longest", got)
	}
	if got := book.Moves(slow, roomFor(10)); len(got) != 1 || got[0].Index != 2 {
		t.Errorf("moves %+v, want the one not moved yet", got)
	}
	if got := book.Moves(slow, roomFor(10)); len(got) != 0 {
		t.Errorf("moves %+v after all were moved", got)
	}
}

// roomFor returns free slots for any job.
func roomFor(slots int) func(core.ModelName, core.WeightVersion) bool {
	return func(core.ModelName, core.WeightVersion) bool {
		slots--
		return slots >= 0
	}
}

// TestRunsMoveOnlyWhereTheirJobMayRun leaves free slots on engines with older
// weights than one of two jobs allows: its runs stay where they are.
func TestRunsMoveOnlyWhereTheirJobMayRun(t *testing.T) {
	book := NewBook()
	book.Open(jobOf("older", 1, 10), nil, policy, at(0))
	book.Open(jobOf("newer", 2, 10), nil, policy, at(0))
	for _, start := range book.Next(2, at(0)) {
		book.Placed(start.Work, "slow")
	}
	onlyOld := func(_ core.ModelName, oldest core.WeightVersion) bool { return oldest <= 1 }
	got := book.Moves([]core.ServerID{"slow"}, onlyOld)
	if len(got) != 1 || got[0].Job != "older" {
		t.Errorf("moves %+v, want the older job's run alone", got)
	}
}
