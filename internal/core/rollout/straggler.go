package rollout

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
)

const (
	// MaxMoves is how often one sample is moved.
	MaxMoves = 2
	// maxReruns is how often a sample is run again because it is predicted,
	// not known, to become too old.
	maxReruns = 1
	// enoughSamples is how many finished samples predictions need.
	enoughSamples = 16
	// settleTime is the shortest run after which a sample's rate counts.
	settleTime = 2 * time.Second
	// stallTime is how long a sample that has tokens may get no more before it
	// moves whatever is known of others: longer than a swap of weights pauses it.
	stallTime = 10 * time.Second
	// moveGain is how many times faster a sample must be predicted to finish
	// elsewhere.
	moveGain = 2.0
	// moveCost is the time to cancel a stream and start it elsewhere.
	moveCost = 500 * time.Millisecond
	// replayRate is at how many tokens a second an engine reads in a prefix.
	replayRate = 2000.0
	// moveShare bounds the share of running samples moved at one time, so that
	// engines that are all slow at once are not given more work.
	moveShare = 0.05
	// optimism is the quantile of the remaining tokens by which a sample is
	// given up: it must be too long even if it is among the shorter ones.
	optimism = 0.1
)

// Running is a sample being generated.
type Running struct {
	ID      core.SampleID
	Elapsed time.Duration // since its attempt started
	Tokens  int
	Rate    float64            // tokens a second lately
	Oldest  core.WeightVersion // zero while it has no token
	Moves   int
	Reruns  int
	Scale   float64       // of its group
	Still   time.Duration // since its last token
}

// Action says what to do with a running sample.
type Action int

// The actions. Nothing is done with a sample that is not listed.
const (
	Move  Action = iota + 1 // go on elsewhere, keeping its tokens
	Rerun                   // cancel it and run it again without its tokens
)

// Step is one action on one sample.
type Step struct {
	ID     core.SampleID
	Action Action
}

// History is what a deployment has seen of its finished samples.
type History struct {
	Tokens Sketch // lengths
	Rates  Sketch // tokens a second, queues included
}

// Review chooses what to do with running samples. Those too old, or predicted
// to be even if they turn out short, are run again; those that would finish
// much sooner elsewhere are moved, the earliest planned first.
func Review(running []Running, history *History, pace *Pace, bound uint64, maxTokens int, now time.Time) []Step {
	var steps []Step
	var slow []core.SampleID
	usual := history.Rates.Quantile(0.5)
	for i := range running {
		r := &running[i]
		switch {
		case tooOld(r, history, pace, bound, maxTokens, now):
			steps = append(steps, Step{r.ID, Rerun})
		case fasterElsewhere(r, history, usual, maxTokens):
			slow = append(slow, r.ID)
		}
	}
	slices.SortFunc(slow, func(a, b core.SampleID) int {
		return cmp.Or(cmp.Compare(a.Group.Step, b.Group.Step), cmp.Compare(a.Group.Index, b.Group.Index), cmp.Compare(a.Index, b.Index))
	})
	most := max(1, int(moveShare*float64(len(running))))
	for _, id := range slow[:min(most, len(slow))] {
		steps = append(steps, Step{id, Move})
	}
	return steps
}

func tooOld(r *Running, history *History, pace *Pace, bound uint64, maxTokens int, now time.Time) bool {
	if r.Oldest == 0 {
		return false
	}
	if !delivery.Fresh(r.Oldest, pace.Newest(), bound) {
		return true
	}
	left, known := pace.TooOldIn(r.Oldest, bound, now)
	if !known || r.Reruns >= maxReruns || history.Tokens.Count() < enoughSamples || r.Rate <= 0 {
		return false
	}
	tokens := RemainingTokens(&history.Tokens, r.Scale, r.Tokens, maxTokens, optimism)
	return tokens/r.Rate > left.Seconds()
}

// fasterElsewhere compares the predicted rest of a sample where it runs with
// its rest at the usual rate in tokens a second, after its prefix was read in again.
// A stalled sample needs no such history.
func fasterElsewhere(r *Running, history *History, usual float64, maxTokens int) bool {
	if r.Moves >= MaxMoves || r.Elapsed < settleTime {
		return false
	}
	if r.Still >= stallTime {
		return true
	}
	if history.Rates.Count() < enoughSamples {
		return false
	}
	tokens := RemainingTokens(&history.Tokens, r.Scale, r.Tokens, maxTokens, 0.5)
	rate := max(r.Rate, 0.5/r.Elapsed.Seconds())
	here := tokens / rate
	elsewhere := moveCost.Seconds() + float64(r.Tokens)/replayRate + tokens/usual
	return here > moveGain*elsewhere
}
