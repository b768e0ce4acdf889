package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestWeakEngines measures eight engines, two of which take a third longer for an
// event, and lets all be idle for longer than current measurements last.
func TestWeakEngines(t *testing.T) {
	tracker := NewIntervalTracker()
	now := time.Unix(1000, 0)
	for range 200 {
		for engine := range 8 {
			interval := time.Duration(48+engine%3) * time.Millisecond
			if engine >= 6 {
				interval = 64 * time.Millisecond
			}
			tracker.Observe(core.ServerID(fmt.Sprint("e", engine)), interval, now)
		}
	}
	now = now.Add(2 * measurementTTL)
	weak := tracker.Weak(now)
	slices.Sort(weak)
	if want := []core.ServerID{"e6", "e7"}; !slices.Equal(weak, want) {
		t.Errorf("weak engines %v, want %v", weak, want)
	}
	if weak := tracker.Weak(now.Add(2 * lastingMemory)); len(weak) != 0 {
		t.Errorf("weak engines %v after their measurements expired, want none", weak)
	}
}

// TestEqualEnginesAreNotWeak covers engines that differ by a few percent, and an engine
// with one long pause.
func TestEqualEnginesAreNotWeak(t *testing.T) {
	tracker := NewIntervalTracker()
	now := time.Unix(1000, 0)
	for range 200 {
		for engine := range 8 {
			tracker.Observe(core.ServerID(fmt.Sprint("e", engine)), time.Duration(48+engine%4)*time.Millisecond, now)
		}
	}
	tracker.Observe("e1", 150*time.Millisecond, now)
	if weak := tracker.Weak(now); len(weak) != 0 {
		t.Errorf("weak engines %v, want none", weak)
	}
}

// TestEnginesUnderUnequalLoadAreNotWeak has equal engines whose intervals depend on how
// full their batches are, as measured on abi-adopt.
func TestEnginesUnderUnequalLoadAreNotWeak(t *testing.T) {
	tracker := NewIntervalTracker()
	now := time.Unix(1000, 0)
	for range 200 {
		for engine, ms := range []int{34, 36, 38, 42, 42, 43, 44, 46, 49} {
			tracker.Observe(core.ServerID(fmt.Sprint("e", engine)), time.Duration(ms)*time.Millisecond, now)
		}
	}
	if weak := tracker.Weak(now); len(weak) != 0 {
		t.Errorf("weak engines %v, want none", weak)
	}
}

// TestLongRunsMoveOffWeakEnginesOnce lets every engine that a run is moved to become
// weak: the run must stay after its first move.
func TestLongRunsMoveOffWeakEnginesOnce(t *testing.T) {
	s := NewScheduler()
	now := time.Unix(1000, 0)
	s.Open(core.Job{ID: "j", Items: []core.JobItem{{ID: "i"}}}, nil, Policy{}, now)
	events, moved := 0, 0
	for attempt := range 5 {
		start := s.NextRuns(1, now)[0]
		engine := core.ServerID(fmt.Sprint("e", attempt))
		s.RunPlaced(start.Work, engine, "v1")
		for range longRunEvents {
			events++
			s.AddEvent(start.Work, core.Event{ID: events})
		}
		moves := s.SelectMoves(WeakEngineMoves([]core.ServerID{engine}), func(Move) bool { return true })
		moved += len(moves)
		if len(moves) == 0 {
			break
		}
		s.RunEnded(start.Work, engine, Interrupted, now)
	}
	if moved != 1 {
		t.Errorf("moved %d times, want once", moved)
	}
}

// TestLongItemsPreferFastEngines replays one step on two fast engines and two weak ones,
// of which a run's event takes 48 and 64 ms: the item with the longest estimate, and one
// whose estimate was wrong by a factor of ten, must end within the step's 7.5 s.
func TestLongItemsPreferFastEngines(t *testing.T) {
	const step, slots = time.Millisecond, 2
	events := []int{149, 140, 12, 12, 12, 12, 9, 5}
	hints := []int{149, 14, 12, 12, 12, 12, 9, 5}
	pace := map[core.ServerID]time.Duration{"weak-1": 64 * step, "weak-2": 64 * step, "fast-1": 48 * step, "fast-2": 48 * step}
	engines := []core.ServerID{"weak-1", "weak-2", "fast-1", "fast-2"} // the lower median is a fast one
	s, tracker := NewScheduler(), NewIntervalTracker()
	begin := time.Unix(1000, 0)
	for range 100 { // measured in the step before
		for _, engine := range engines {
			tracker.Observe(engine, pace[engine], begin)
		}
	}
	job := core.Job{ID: "j", Model: "m"}
	for i := range events {
		job.Items = append(job.Items, core.JobItem{ID: core.ItemID(fmt.Sprint("i", i)), Length: hints[i]})
	}
	s.Open(job, nil, Policy{}, begin)
	type active struct {
		start  RunStart
		engine core.ServerID
		sent   int
		next   time.Time
	}
	var running []*active
	count := func(engine core.ServerID) (n int) {
		for _, run := range running {
			if run.engine == engine {
				n++
			}
		}
		return n
	}
	ended := make(map[int]time.Duration)
	for now := begin; len(ended) < len(events); now = now.Add(step) {
		if now.Sub(begin) > time.Minute {
			t.Fatalf("ended items %v after a minute", ended)
		}
		avoided := AvoidedEngines{Weak: tracker.Weak(now)}
		for _, start := range s.NextRuns(len(events), now) {
			without := avoided.EnginesFor(&start)
			at := slices.IndexFunc(engines, func(e core.ServerID) bool { return count(e) < slots && !slices.Contains(without, e) })
			if at < 0 {
				s.RunNotPlaced(start.Work, now)
				continue
			}
			s.RunPlaced(start.Work, engines[at], "v1")
			running = append(running, &active{start, engines[at], start.EventsReceived, now.Add(pace[engines[at]])})
		}
		free := map[core.ServerID]int{"fast-1": slots - count("fast-1"), "fast-2": slots - count("fast-2")}
		moves := s.SelectMoves(WeakEngineMoves(avoided.Weak), func(Move) bool {
			for engine := range free {
				if free[engine] > 0 {
					free[engine]--
					return true
				}
			}
			return false
		})
		running = slices.DeleteFunc(running, func(run *active) bool {
			if slices.Contains(moves, run.start.Work) {
				s.RunEnded(run.start.Work, run.engine, Interrupted, now)
				return true
			}
			if now.Before(run.next) {
				return false
			}
			run.sent++
			run.next = now.Add(pace[run.engine])
			s.AddEvent(run.start.Work, core.Event{ID: run.sent})
			if run.sent < events[run.start.Work.Index] {
				return false
			}
			s.RunEnded(run.start.Work, run.engine, Completed, now)
			ended[run.start.Work.Index] = now.Sub(begin)
			return true
		})
	}
	for index, took := range ended {
		if took > 7500*step {
			t.Errorf("item %d with %d events ended after %v, want at most 7.5 s", index, events[index], took)
		}
	}
}
