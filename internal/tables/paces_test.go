package tables

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestLoadsAreCountedForEachModel refuses the order for one model while the
// engine loads another.
func TestLoadsAreCountedForEachModel(t *testing.T) {
	paces := NewPaces()
	now := time.Unix(1000, 0)
	paces.BeginLoad("e", "a", now.Add(time.Second))
	paces.BeginLoad("e", "b", now.Add(time.Second))
	paces.EndLoad("e", "b", now)
	loads := paces.Loads(now)
	if len(loads["a"]) != 1 || len(loads["b"]) != 0 {
		t.Errorf("loads %v, want the engine with model a", loads)
	}
	if loads := paces.Loads(now.Add(2 * time.Second)); len(loads) != 0 {
		t.Errorf("loads %v after the longest time of one", loads)
	}
}

// TestEventsDuringALoadTellNothing pauses the streams of one engine for a load.
func TestEventsDuringALoadTellNothing(t *testing.T) {
	paces := NewPaces()
	now := time.Unix(1000, 0)
	paces.BeginLoad("e0", "m", now.Add(2*time.Second))
	for _, engine := range []core.ServerID{"e0", "e1", "e2", "e3"} {
		interval := 36 * time.Millisecond
		if engine == "e0" {
			interval = 900 * time.Millisecond
		}
		for range 5 {
			paces.Observe("s", engine, interval, now)
		}
	}
	if slow := paces.Slow("s", now); len(slow) != 0 {
		t.Errorf("slow %v while it loads", slow)
	}
}
