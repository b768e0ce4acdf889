package job

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// weakFactor is the ratio to the median time between events above which an engine
	// counts as weak. An engine with a full batch takes up to 1.15 times the median.
	weakFactor = 1.2
	// lastingSmoothing is the weight of the newest interval. It is small, so that a
	// pause of one stream does not make an engine weak.
	lastingSmoothing = 0.05
	// lastingMemory is the age at which a measurement that is kept while an engine is
	// idle expires.
	lastingMemory = 5 * time.Minute
	// longFactor is the ratio to a job's median length above which an item counts as
	// long. Estimates are often wrong by a factor of two.
	longFactor = 1.5
	// longRunEvents is the number of events after which a run counts as long whatever
	// its estimate. Six in seven texts are shorter. Each move opens a connection.
	longRunEvents = 40
)

// observeLasting records an interval in the measurement that is kept while an engine is
// idle.
func (t *IntervalTracker) observeLasting(engine core.ServerID, interval time.Duration, now time.Time) {
	known := t.lasting[engine]
	if known == nil {
		known = &enginePace{meanInterval: interval}
		t.lasting[engine] = known
	}
	known.meanInterval += time.Duration(lastingSmoothing * float64(interval-known.meanInterval))
	known.intervals++
	known.updatedAt = now
}

// Weak returns the engines that are slower than most, by less than slow engines may be.
// Work on them is sound, but a step ends with its longest text.
//
// The load is a step whose longest text takes as long as the step may on a fast
// engine, and a third longer on one of the others.
func (t *IntervalTracker) Weak(now time.Time) []core.ServerID {
	return slowerThanMedian(t.lasting, weakFactor, lastingMemory, now)
}

// MoveRule says which runs may be moved to other engines.
type MoveRule struct {
	Engines   []core.ServerID // engines that runs are moved off
	MinEvents int             // events that a run must have sent
	MaxMoves  int             // moves of an item after which it stays
}

// SlowEngineMoves moves every run off slow engines.
func SlowEngineMoves(slow []core.ServerID) MoveRule {
	return MoveRule{Engines: slow, MaxMoves: maxMoves}
}

// WeakEngineMoves moves long runs off weak engines, each item once: how fast an engine is
// depends on its load too, so that a second move may lead back.
func WeakEngineMoves(weak []core.ServerID) MoveRule {
	return MoveRule{Engines: weak, MinEvents: longRunEvents, MaxMoves: 1}
}

// longItemTokens returns the expected length above which an item of a job counts as
// long.
func longItemTokens(job *core.Job) float64 {
	if len(job.Items) == 0 {
		return 0
	}
	lengths := make([]float64, len(job.Items))
	for i := range job.Items {
		lengths[i] = expectedTokens(&job.Items[i])
	}
	slices.Sort(lengths)
	return longFactor * lengths[len(lengths)/2]
}

// isLong reports whether an item of a job is expected to be long.
func (row *openJob) isLong(index int) bool {
	return len(row.items[index].text) >= longRunEvents || expectedTokens(&row.job.Items[index]) > row.longTokens
}
