package job

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// AvoidedEngines holds the engines on which new runs should not be placed.
type AvoidedEngines struct {
	Slow    []core.ServerID
	Weak    []core.ServerID                    // for long texts only
	Loading map[core.ModelName][]core.ServerID // engines that are loading weights, by model
}

// slowEngineWait is how long an item waits for a slot on an engine that is not
// slow before a slow one is accepted. Most runs end within this time.
const slowEngineWait = time.Second

// weakEngineWait is how long a long item waits for a slot on an engine that is not
// weak before a weak one is accepted. A run loses as much there until it is moved.
const weakEngineWait = 500 * time.Millisecond

// KeepsPace reports whether the run waits rather than start on a cold or returning engine
// beyond that engine's pace.
func (s *RunStart) KeepsPace() bool { return s.Waited < slowEngineWait }

// EnginesFor returns the engines on which the run must not be placed.
func (a AvoidedEngines) EnginesFor(start *RunStart) []core.ServerID {
	avoided := slices.Clone(a.Loading[start.Model])
	if start.Waited < slowEngineWait {
		avoided = append(avoided, a.Slow...)
	}
	if start.IsLong && start.Waited < weakEngineWait {
		avoided = append(avoided, a.Weak...)
	}
	if start.AvoidServer != "" {
		avoided = append(avoided, start.AvoidServer)
	}
	return avoided
}
