package job

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// slowFactor is the ratio to the median time between events above which an
	// engine counts as slow. The weakest engine of a service (1.3 times the
	// others' time) with a full batch (1.28 times that of a small one) stays
	// below it.
	slowFactor = 1.8
	// smoothingFactor is the weight of the newest interval in the moving
	// average, which then reflects about the last five.
	smoothingFactor = 0.3
	// minIntervals is the number of intervals needed to judge an engine.
	minIntervals = 3
	// measurementTTL is the age at which a measurement expires, so that a slow
	// engine that gets no work is tried again.
	measurementTTL = 2 * time.Second
	// minEngines is the number of measured engines needed for a median.
	minEngines = 3
)

type enginePace struct {
	meanInterval time.Duration // moving average of the time between events
	intervals    int
	updatedAt    time.Time
}

// IntervalTracker compares the engines of a service by the time between the
// events of their running streams. It is not safe for concurrent use.
//
// The load is a step that waits for its running items while some engines are
// several times slower for seconds.
type IntervalTracker struct {
	engines map[core.ServerID]*enginePace
	lasting map[core.ServerID]*enginePace // kept while an engine is idle
}

// NewIntervalTracker returns a tracker without measurements.
func NewIntervalTracker() *IntervalTracker {
	return &IntervalTracker{engines: make(map[core.ServerID]*enginePace), lasting: make(map[core.ServerID]*enginePace)}
}

// Observe records the time between two events of a run.
func (t *IntervalTracker) Observe(engine core.ServerID, interval time.Duration, now time.Time) {
	t.observeLasting(engine, interval, now)
	current := t.engines[engine]
	if current == nil || now.Sub(current.updatedAt) > measurementTTL {
		current = &enginePace{meanInterval: interval}
		t.engines[engine] = current
	}
	current.meanInterval += time.Duration(smoothingFactor * float64(interval-current.meanInterval))
	current.intervals++
	current.updatedAt = now
}

// Slow returns the engines that are slow compared with the others. It returns
// at most half of the recently measured ones: if all engines slow down, moving
// work does not help.
func (t *IntervalTracker) Slow(now time.Time) []core.ServerID {
	return slowerThanMedian(t.engines, slowFactor, measurementTTL, now)
}

// slowerThanMedian returns the engines whose interval exceeds the median's by a factor,
// which are at most half of the measured ones. It removes measurements older than ttl.
func slowerThanMedian(paces map[core.ServerID]*enginePace, factor float64, ttl time.Duration, now time.Time) []core.ServerID {
	var measured []core.ServerID
	for engine, current := range paces {
		if now.Sub(current.updatedAt) > ttl {
			delete(paces, engine)
			continue
		}
		if current.intervals >= minIntervals {
			measured = append(measured, engine)
		}
	}
	if len(measured) < minEngines {
		return nil
	}
	slices.SortFunc(measured, func(a, b core.ServerID) int {
		return int(paces[a].meanInterval - paces[b].meanInterval)
	})
	limit := factor * float64(paces[measured[(len(measured)-1)/2]].meanInterval)
	first := slices.IndexFunc(measured, func(engine core.ServerID) bool { return float64(paces[engine].meanInterval) > limit })
	if first < 0 {
		return nil
	}
	return measured[first:]
}

const (
	// minLongestGap is the least silence after which a stream counts as stalled. An
	// engine that loads weights beside others pauses for about a second.
	minLongestGap = 1500 * time.Millisecond
	// maxLongestGap bounds the silence allowed on very slow engines.
	maxLongestGap = 6 * time.Second
	// gapIntervals is the number of usual intervals between events after which a
	// stream counts as stalled.
	gapIntervals = 10
)

// LongestGap returns how long a stream of an engine may pause before it counts as
// stalled: a multiple of the engine's recent intervals or, if longer, of the median of
// all engines'.
//
// The load is a service whose engines are all several times slower for a while.
func (t *IntervalTracker) LongestGap(engine core.ServerID, now time.Time) time.Duration {
	var means []time.Duration
	longest := time.Duration(0)
	for id, current := range t.engines {
		if now.Sub(current.updatedAt) > measurementTTL {
			continue
		}
		means = append(means, current.meanInterval)
		if id == engine {
			longest = current.meanInterval
		}
	}
	if len(means) >= minEngines {
		slices.Sort(means)
		longest = max(longest, means[(len(means)-1)/2])
	}
	return min(max(gapIntervals*longest, minLongestGap), maxLongestGap)
}
