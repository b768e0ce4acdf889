package job

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestReplayItemThatNeverProgresses guards against an item whose every run ends at once,
// which was started again without a pause: it took the time of the coordinator and filled
// the log. The load is one item whose runs all end within a millisecond, for a minute.
func TestReplayItemThatNeverProgresses(t *testing.T) {
	const replayed = time.Minute
	s := NewScheduler()
	begin := time.Unix(1000, 0)
	s.Open(core.Job{ID: "j", Items: []core.JobItem{{ID: "i"}}}, nil, Policy{Attempts: 3}, begin)
	runs := 0
	for now := begin; now.Before(begin.Add(replayed)); now = now.Add(time.Millisecond) {
		for _, start := range s.NextRuns(1, now) {
			runs++
			s.RunPlaced(start.Work, "e", "v1")
			s.RunEnded(start.Work, "e", Interrupted, now)
		}
	}
	// One each maxIdleRetryDelay, and the first ones in shorter pauses.
	if most := int(replayed/maxIdleRetryDelay) + 10; runs > most {
		t.Errorf("%d runs in %v, want at most %d", runs, replayed, most)
	}
}

// TestProgressEndsTheRetryDelay checks that an item is started again at once after its
// first interruption, and after each one that follows new events.
func TestProgressEndsTheRetryDelay(t *testing.T) {
	s := NewScheduler()
	now := time.Unix(1000, 0)
	s.Open(core.Job{ID: "j", Items: []core.JobItem{{ID: "i"}}}, nil, Policy{Attempts: 3}, now)
	interrupt := func(events int) {
		t.Helper()
		starts := s.NextRuns(1, now)
		if len(starts) != 1 {
			t.Fatal("the item is not started at once")
		}
		s.RunPlaced(starts[0].Work, "e", "v1")
		for n := range events {
			if !s.AddEvent(starts[0].Work, core.Event{ID: starts[0].EventsReceived + n + 1}) {
				t.Fatal("event rejected")
			}
		}
		s.RunEnded(starts[0].Work, "e", Interrupted, now)
	}
	interrupt(0)
	for range 20 {
		interrupt(1)
		interrupt(0)
		interrupt(1)
	}
	interrupt(0)
	interrupt(0)
	if len(s.NextRuns(1, now)) != 0 {
		t.Error("the item is started without a pause after two interruptions without progress")
	}
}
