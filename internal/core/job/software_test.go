package job

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestTextKeepsItsSoftware guards against a text that goes on at servers of other software
// than those that began it, over a checkpoint too, and against one of unknown software that
// goes on at all.
func TestTextKeepsItsSoftware(t *testing.T) {
	scheduler := NewScheduler()
	scheduler.Open(newTestJob("j", 1, 100), nil, policy, at(0))
	first := scheduler.NextRuns(1, at(0))[0]
	scheduler.RunPlaced(first.Work, "e", "v1")
	for i := range 20 {
		scheduler.AddEvent(first.Work, event(i+1, 1))
	}
	scheduler.RunEnded(first.Work, "e", Interrupted, at(0))
	second := scheduler.NextRuns(1, at(0))[0]
	if second.Software != "v1" || second.EventsReceived != 20 {
		t.Errorf("second run %+v, want one after 20 events of v1", second)
	}
	scheduler.RunPlaced(second.Work, "f", "v2")
	if scheduler.AddEvent(second.Work, event(21, 1)) {
		t.Error("an event of v2 was appended to a text of v1")
	}
	checkpoint := scheduler.Checkpoint(1, 1<<20)
	for _, c := range []struct {
		software core.SoftwareVersion
		events   int
	}{{"v1", 20}, {"", 0}} {
		checkpoint.Texts[0].Software = c.software
		next := NewScheduler()
		next.Restore(checkpoint)
		next.Open(newTestJob("j", 1, 100), nil, policy, at(1))
		if start := next.NextRuns(1, at(1))[0]; start.EventsReceived != c.events || start.Software != c.software {
			t.Errorf("restored text of software %q: run after %d events of %q", c.software, start.EventsReceived, start.Software)
		}
	}
}

// TestTextStartsAnewWhenItsSoftwareIsGone guards against an item that waits for ever for a
// server of its text's software, and against one that gives its text up too soon.
func TestTextStartsAnewWhenItsSoftwareIsGone(t *testing.T) {
	start := RunStart{EventsReceived: 20, Software: "v1", OldestVersion: 4, ExactVersion: true, oldestAnew: 2}
	for _, c := range []struct {
		waited   time.Duration
		isServed bool
		want     bool
	}{{0, true, false}, {0, false, true}, {20*eventTime - 1, true, false}, {20 * eventTime, true, true}} {
		start.Waited = c.waited
		if got := start.MayStartAnew(c.isServed); got != c.want {
			t.Errorf("waited %v, served %v: may start anew %v", c.waited, c.isServed, got)
		}
	}
	if anew := start.Anew(); anew.EventsReceived != 0 || anew.OldestVersion != 2 || anew.ExactVersion || anew.MayStartAnew(false) {
		t.Errorf("new run %+v", anew)
	}
}
