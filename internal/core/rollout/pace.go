package rollout

import (
	"math"
	"time"

	"fescuespar/internal/core"
)

// paceGain is the weight of the newest observation in a moving average.
const paceGain = 0.25

// swapPatience is for how many times the usual lag of a swap samples wait for
// the newest weights.
const swapPatience = 2

// Pace observes a trainer: how long it works on a step, how long it waits for
// a batch, and how often it publishes weights. The zero value has seen nothing.
type Pace struct {
	Work         time.Duration // moving average of the work on one step
	VersionEvery time.Duration // moving average between published versions
	PerStep      float64       // moving average of the versions published in a step
	SwapLag      time.Duration // moving average from a version's publication to its first use
	Idle         time.Duration // sum of the waits for a batch
	Busy         time.Duration // sum of the work on steps

	newest      core.WeightVersion
	publishedAt time.Time
	served      bool // the newest version is in use, or was when first heard of
	fixedAt     time.Time
	fixed       core.WeightVersion
	asked       core.Step
	askedAt     time.Time
}

// Asked notes that the trainer asks for a step. Repeats count once.
func (p *Pace) Asked(step core.Step, now time.Time) {
	if step <= p.asked {
		return
	}
	p.asked = step
	p.askedAt = now
	if p.fixedAt.IsZero() {
		return
	}
	work := now.Sub(p.fixedAt)
	p.Busy += work
	p.Work = average(p.Work, work)
}

// Fixed notes that the batch of the step last asked for was fixed at the
// trainer's weights.
func (p *Pace) Fixed(version core.WeightVersion, now time.Time) {
	if !p.askedAt.IsZero() {
		p.Idle += now.Sub(p.askedAt)
	}
	if !p.fixedAt.IsZero() {
		p.PerStep += paceGain * (float64(version-p.fixed) - p.PerStep)
	} else {
		p.PerStep = 1
	}
	p.fixedAt = now
	p.fixed = version
}

// Published notes the newest version known.
func (p *Pace) Published(version core.WeightVersion, now time.Time) {
	if version <= p.newest {
		return
	}
	if p.newest != 0 {
		each := now.Sub(p.publishedAt) / time.Duration(version-p.newest)
		p.VersionEvery = average(p.VersionEvery, each)
	}
	p.served = p.newest == 0
	p.newest = version
	p.publishedAt = now
}

// Served notes that a sample runs on a version.
func (p *Pace) Served(version core.WeightVersion, now time.Time) {
	if p.served || version < p.newest {
		return
	}
	p.served = true
	p.SwapLag = average(p.SwapLag, now.Sub(p.publishedAt))
}

// AwaitsNewest reports whether samples shall wait until the newest weights are
// in use, rather than start on older ones. They wait if the step that this may
// delay by the usual lag costs less than the version that it saves, by the same
// weights as in Provision, and for a bounded time.
func (p *Pace) AwaitsNewest(bound uint64, idleWeight float64, now time.Time) bool {
	if p.served || p.SwapLag == 0 || p.Work <= 0 || now.Sub(p.publishedAt) > swapPatience*p.SwapLag {
		return false
	}
	idle := p.SwapLag.Seconds() / p.Work.Seconds()
	return idleWeight*idle < (1-idleWeight)/float64(max(bound, 1))
}

// Newest returns the newest version known.
func (p *Pace) Newest() core.WeightVersion { return p.newest }

// OldestUseful returns the oldest weights with which a sample can be expected
// to be fresh when it is delivered, after the given number of other steps. For
// a trainer that waits, the next step's samples may be as old as the bound.
func (p *Pace) OldestUseful(stepsBefore int, bound uint64) core.WeightVersion {
	steps := float64(stepsBefore)
	if p.working() {
		steps++
	}
	slack := core.WeightVersion(bound)
	slack -= min(slack, core.WeightVersion(math.Ceil(p.PerStep*steps)))
	return max(p.newest, slack+1) - slack
}

// working reports whether the trainer has its batch and has not yet asked for
// the next one.
func (p *Pace) working() bool { return p.fixedAt.After(p.askedAt) }

// IdleShare returns the share of its time that the trainer has waited.
func (p *Pace) IdleShare() float64 {
	if p.Idle+p.Busy == 0 {
		return 0
	}
	return float64(p.Idle) / float64(p.Idle+p.Busy)
}

// TooOldIn predicts how long a sample with the given oldest weights stays
// fresh. It returns false when nothing is known of the versions' pace.
func (p *Pace) TooOldIn(oldest core.WeightVersion, bound uint64, now time.Time) (time.Duration, bool) {
	if p.VersionEvery == 0 || oldest == 0 {
		return 0, false
	}
	lag := uint64(0)
	if p.newest > oldest {
		lag = uint64(p.newest - oldest)
	}
	if lag > bound {
		return 0, true
	}
	left := time.Duration(bound-lag+1)*p.VersionEvery - now.Sub(p.publishedAt)
	return max(left, 0), true
}

func average(old, newest time.Duration) time.Duration {
	if old == 0 {
		return newest
	}
	return old + time.Duration(paceGain*float64(newest-old))
}
