package rollout

import (
	"math"
	"time"

	"fescuespar/internal/core"
)

// smoothingFactor is the weight of the newest observation in a moving average.
const smoothingFactor = 0.25

// maxSwapLagFactor is the longest wait for the newest weights, as a multiple of
// the mean swap lag.
const maxSwapLagFactor = 2

// TrainerTimings measures how long a trainer works on a step, how long it waits
// for a batch, and how often it publishes weights. The zero value has no
// observations.
type TrainerTimings struct {
	StepWork        time.Duration // moving average of the trainer's work on a step
	VersionInterval time.Duration // moving average of the time between published versions
	VersionsPerStep float64       // moving average of the versions published per step
	SwapLag         time.Duration // moving average of the time from a version's publication to its first use
	IdleTotal       time.Duration // total time spent waiting for a batch
	BusyTotal       time.Duration // total time spent working on steps

	newest        core.WeightVersion
	publishedAt   time.Time
	newestInUse   bool // the newest version is in use, or was the first one known
	fixedAt       time.Time
	fixedVersion  core.WeightVersion
	requestedStep core.Step
	requestedAt   time.Time
}

// StepRequested records that the trainer requested a step. Repeated requests
// count once.
func (t *TrainerTimings) StepRequested(step core.Step, now time.Time) {
	if step <= t.requestedStep {
		return
	}
	t.requestedStep = step
	t.requestedAt = now
	if t.fixedAt.IsZero() {
		return
	}
	work := now.Sub(t.fixedAt)
	t.BusyTotal += work
	t.StepWork = movingAverage(t.StepWork, work)
}

// StepFixed records that the batch of the last requested step was fixed, and
// the trainer's weights at that step.
func (t *TrainerTimings) StepFixed(version core.WeightVersion, now time.Time) {
	if !t.requestedAt.IsZero() {
		t.IdleTotal += now.Sub(t.requestedAt)
	}
	if !t.fixedAt.IsZero() {
		t.VersionsPerStep += smoothingFactor * (float64(version-t.fixedVersion) - t.VersionsPerStep)
	} else {
		t.VersionsPerStep = 1
	}
	t.fixedAt = now
	t.fixedVersion = version
}

// VersionPublished records the newest version known.
func (t *TrainerTimings) VersionPublished(version core.WeightVersion, now time.Time) {
	if version <= t.newest {
		return
	}
	if t.newest != 0 {
		interval := now.Sub(t.publishedAt) / time.Duration(version-t.newest)
		t.VersionInterval = movingAverage(t.VersionInterval, interval)
	}
	t.newestInUse = t.newest == 0
	t.newest = version
	t.publishedAt = now
}

// VersionInUse records that a sample runs on a version.
func (t *TrainerTimings) VersionInUse(version core.WeightVersion, now time.Time) {
	if t.newestInUse || version < t.newest {
		return
	}
	t.newestInUse = true
	t.SwapLag = movingAverage(t.SwapLag, now.Sub(t.publishedAt))
}

// ShouldAwaitNewest reports whether samples should wait until the newest
// weights are in use instead of starting on older ones. They wait if delaying
// the step by the mean swap lag costs less than the staleness of one version,
// weighted as in Provision, and at most for maxSwapLagFactor times that lag.
func (t *TrainerTimings) ShouldAwaitNewest(bound uint64, idleWeight float64, now time.Time) bool {
	if t.newestInUse || t.SwapLag == 0 || t.StepWork <= 0 || now.Sub(t.publishedAt) > maxSwapLagFactor*t.SwapLag {
		return false
	}
	idle := t.SwapLag.Seconds() / t.StepWork.Seconds()
	return idleWeight*idle < (1-idleWeight)/float64(max(bound, 1))
}

// Newest returns the newest version known.
func (t *TrainerTimings) Newest() core.WeightVersion { return t.newest }

// OldestUseful returns the oldest weights with which a new sample is expected
// to be fresh when it is delivered after stepsBefore other steps. While the
// trainer waits for a batch, samples of the next step may be as old as the
// bound allows.
func (t *TrainerTimings) OldestUseful(stepsBefore int, bound uint64) core.WeightVersion {
	steps := float64(stepsBefore)
	if t.isWorking() {
		steps++
	}
	slack := core.WeightVersion(bound)
	slack -= min(slack, core.WeightVersion(math.Ceil(t.VersionsPerStep*steps)))
	return max(t.newest, slack+1) - slack
}

// isWorking reports whether the trainer has its batch and has not requested the
// next one.
func (t *TrainerTimings) isWorking() bool { return t.fixedAt.After(t.requestedAt) }

// IdleShare returns the share of time that the trainer spent waiting for
// batches.
func (t *TrainerTimings) IdleShare() float64 {
	if t.IdleTotal+t.BusyTotal == 0 {
		return 0
	}
	return float64(t.IdleTotal) / float64(t.IdleTotal+t.BusyTotal)
}

// TimeUntilTooOld predicts how long a sample with the given oldest weights
// remains fresh. It returns false if the time between versions or the sample's
// weights are unknown.
func (t *TrainerTimings) TimeUntilTooOld(oldest core.WeightVersion, bound uint64, now time.Time) (time.Duration, bool) {
	if t.VersionInterval == 0 || oldest == 0 {
		return 0, false
	}
	lag := uint64(0)
	if t.newest > oldest {
		lag = uint64(t.newest - oldest)
	}
	if lag > bound {
		return 0, true
	}
	left := time.Duration(bound-lag+1)*t.VersionInterval - now.Sub(t.publishedAt)
	return max(left, 0), true
}

func movingAverage(old, newest time.Duration) time.Duration {
	if old == 0 {
		return newest
	}
	return old + time.Duration(smoothingFactor*float64(newest-old))
}
