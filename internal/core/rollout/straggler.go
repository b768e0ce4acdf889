package rollout

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
)

const (
	// MaxMoves is the maximum number of moves of one sample.
	MaxMoves = 2
	// maxRestarts is the maximum number of restarts of a sample that is predicted
	// to become too old but is not yet.
	maxRestarts = 1
	// minObservedSamples is the number of finished samples needed for a
	// prediction.
	minObservedSamples = 16
	// minRunTime is the shortest run time after which a sample's rate is
	// considered.
	minRunTime = 2 * time.Second
	// stallTimeout is how long a sample may generate no token after its first
	// one before it is moved, regardless of the statistics. It is longer than
	// the pause for a weight swap.
	stallTimeout = 10 * time.Second
	// minMoveSpeedup is the minimum predicted speedup that justifies a move.
	minMoveSpeedup = 2.0
	// moveCost is the time to cancel a stream and restart it on another engine.
	moveCost = 500 * time.Millisecond
	// prefillRate is the speed at which an engine prefills a prefix, in tokens
	// per second.
	prefillRate = 2000.0
	// maxMoveShare limits the share of running samples moved in one review, so
	// that engines that are all slow at the same time get no additional work.
	maxMoveShare = 0.05
	// tooOldQuantile is the quantile of the remaining tokens used to predict
	// that a sample becomes too old. A low quantile restarts only samples that
	// would become too old even if they turned out short.
	tooOldQuantile = 0.1
)

// RunningSample is the state of a sample that is being generated.
type RunningSample struct {
	ID         core.SampleID
	Elapsed    time.Duration // since the run started
	Tokens     int
	Rate       float64            // recent tokens per second
	Oldest     core.WeightVersion // zero before the first token
	Moves      int
	Restarts   int
	Scale      float64       // length of the group's samples relative to the median
	StalledFor time.Duration // time without a new token; zero before the first token
}

// Action is what to do with a running sample.
type Action int

// The actions. Samples without an action continue unchanged.
const (
	Move    Action = iota + 1 // continue on another engine, keeping the tokens
	Restart                   // cancel and restart without the tokens
)

// SampleAction is an action on a sample.
type SampleAction struct {
	ID     core.SampleID
	Action Action
}

// History holds statistics of a deployment's finished samples.
type History struct {
	Tokens Sketch // lengths in tokens
	Rates  Sketch // tokens per second, including queueing time
}

// ReviewSamples returns the actions on running samples. Samples that are too
// old, or are predicted to become so even if they turn out short, are
// restarted. Samples that would finish much sooner on another engine are moved,
// the earliest planned first.
func ReviewSamples(running []RunningSample, history *History, timings *TrainerTimings, bound uint64, maxTokens int, now time.Time) []SampleAction {
	var actions []SampleAction
	var slow []core.SampleID
	usualRate := history.Rates.Quantile(0.5)
	for i := range running {
		r := &running[i]
		switch {
		case isOrWillBeTooOld(r, history, timings, bound, maxTokens, now):
			actions = append(actions, SampleAction{r.ID, Restart})
		case shouldMove(r, history, usualRate, maxTokens):
			slow = append(slow, r.ID)
		}
	}
	slices.SortFunc(slow, func(a, b core.SampleID) int {
		return cmp.Or(cmp.Compare(a.Group.Step, b.Group.Step), cmp.Compare(a.Group.Index, b.Group.Index), cmp.Compare(a.Index, b.Index))
	})
	limit := max(1, int(maxMoveShare*float64(len(running))))
	for _, id := range slow[:min(limit, len(slow))] {
		actions = append(actions, SampleAction{id, Move})
	}
	return actions
}

func isOrWillBeTooOld(r *RunningSample, history *History, timings *TrainerTimings, bound uint64, maxTokens int, now time.Time) bool {
	if r.Oldest == 0 {
		return false
	}
	if !delivery.IsFresh(r.Oldest, timings.Newest(), bound) {
		return true
	}
	left, known := timings.TimeUntilTooOld(r.Oldest, bound, now)
	if !known || r.Restarts >= maxRestarts || history.Tokens.Count() < minObservedSamples || r.Rate <= 0 {
		return false
	}
	tokens := RemainingTokens(&history.Tokens, r.Scale, r.Tokens, maxTokens, tooOldQuantile)
	return tokens/r.Rate > left.Seconds()
}

// shouldMove compares the predicted remaining time of a sample where it
// runs with the time on an engine with the usual rate, in tokens per second,
// after prefilling its prefix there. A stalled sample is moved without such
// statistics.
func shouldMove(r *RunningSample, history *History, usualRate float64, maxTokens int) bool {
	if r.Moves >= MaxMoves || r.Elapsed < minRunTime {
		return false
	}
	if r.StalledFor >= stallTimeout {
		return true
	}
	if history.Rates.Count() < minObservedSamples {
		return false
	}
	tokens := RemainingTokens(&history.Tokens, r.Scale, r.Tokens, maxTokens, 0.5)
	rate := max(r.Rate, 0.5/r.Elapsed.Seconds())
	here := tokens / rate
	elsewhere := moveCost.Seconds() + float64(r.Tokens)/prefillRate + tokens/usualRate
	return here > minMoveSpeedup*elsewhere
}
