package tables

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestLoadsAreTrackedPerModel ends the load of one model while the engine still
// loads another.
func TestLoadsAreTrackedPerModel(t *testing.T) {
	speeds := NewEngineSpeeds()
	now := time.Unix(1000, 0)
	speeds.BeginLoad("e", "a", now.Add(time.Second))
	speeds.BeginLoad("e", "b", now.Add(time.Second))
	speeds.EndLoad("e", "b", now)
	loads := speeds.LoadingEngines(now)
	if len(loads["a"]) != 1 || len(loads["b"]) != 0 {
		t.Errorf("loading engines %v, want one for model a only", loads)
	}
	if loads := speeds.LoadingEngines(now.Add(2 * time.Second)); len(loads) != 0 {
		t.Errorf("loading engines %v after the load's deadline, want none", loads)
	}
}

// TestIntervalsDuringLoadAreIgnored guards against an engine being taken for slow
// because its streams pause while it loads weights.
func TestIntervalsDuringLoadAreIgnored(t *testing.T) {
	speeds := NewEngineSpeeds()
	now := time.Unix(1000, 0)
	speeds.BeginLoad("e0", "m", now.Add(2*time.Second))
	for _, engine := range []core.ServerID{"e0", "e1", "e2", "e3"} {
		interval := 36 * time.Millisecond
		if engine == "e0" {
			interval = 900 * time.Millisecond
		}
		for range 5 {
			speeds.Observe("s", engine, interval, now)
		}
	}
	if slow := speeds.SlowEngines("s", now); len(slow) != 0 {
		t.Errorf("slow engines %v while e0 loads weights, want none", slow)
	}
}
