package rollout

import (
	"math"
	"time"
)

const (
	// MaxStepsAhead is the maximum number of steps after the last fixed one for
	// which groups are planned.
	MaxStepsAhead = 4
	// initialStepsAhead is the number of planned steps until minObservedGroups
	// groups were observed.
	initialStepsAhead = 2
	// minObservedGroups is the number of observed groups needed for a
	// prediction.
	minObservedGroups = 16
	// safetyDeviations is the safety margin for unfinished groups, in standard
	// deviations.
	safetyDeviations = 2.0
	// candidatesPerStep is the number of plan sizes evaluated per step's worth
	// of groups.
	candidatesPerStep = 8
	// intervalGrowth is the factor between successive candidate intervals.
	intervalGrowth = 1.05
	// maxIntervalTries limits the number of candidate intervals.
	maxIntervalTries = 120
)

// ProvisionInput is the input of Provision.
type ProvisionInput struct {
	GroupsPerStep   int
	Bound           uint64  // versions by which a sample may lag behind its trainer
	Margin          float64 // versions of the bound that planning leaves unused
	IdleWeight      float64 // weight of trainer idle time against staleness, from 0 to 1
	StepWork        time.Duration
	VersionsPerStep float64
	Durations       *Sketch // seconds from a group's start to the end of its last sample
}

// Plan is the number of groups to keep open: in progress, or complete and not
// yet delivered.
type Plan struct {
	Groups   int
	Interval time.Duration // predicted time between steps
}

// Provision returns the number of open groups with the lowest cost. The cost of
// K groups is IdleWeight times the predicted share of time for which the
// trainer waits, plus 1 - IdleWeight times the samples' mean age at delivery
// relative to the age that the staleness bound allows a trainer that never
// waits. By Little's law the mean age is K / GroupsPerStep intervals.
func Provision(in ProvisionInput) Plan {
	if in.Durations.Count() < minObservedGroups || in.StepWork <= 0 {
		return Plan{Groups: maxOpenGroups(in, initialStepsAhead)}
	}
	maxGroups := maxOpenGroups(in, MaxStepsAhead)
	stride := max(1, in.GroupsPerStep/candidatesPerStep)
	best, leastCost := Plan{}, math.Inf(1)
	for groups := in.GroupsPerStep; groups <= maxGroups; groups += stride {
		interval := predictInterval(in, groups)
		if cost := planCost(in, groups, interval); cost < leastCost {
			best = Plan{Groups: groups, Interval: time.Duration(interval * float64(time.Second))}
			leastCost = cost
		}
	}
	return best
}

// maxOpenGroups returns the maximum number of open groups with which a group
// that waits for its step is still within the staleness bound.
func maxOpenGroups(in ProvisionInput, steps int) int {
	maxGroups := in.GroupsPerStep * steps
	if in.VersionsPerStep > 0 {
		maxGroups = min(maxGroups, int(float64(in.GroupsPerStep)*(float64(in.Bound)-in.Margin)/in.VersionsPerStep))
	}
	return max(maxGroups, in.GroupsPerStep)
}

// planCost returns the cost of a number of open groups at an interval in
// seconds.
func planCost(in ProvisionInput, groups int, interval float64) float64 {
	work := in.StepWork.Seconds()
	idle := 1 - work/interval
	age := float64(groups) / float64(in.GroupsPerStep) * interval
	allowed := float64(max(in.Bound, 1)) * work
	return in.IdleWeight*idle + (1-in.IdleWeight)*age/allowed
}

// predictInterval predicts the number of seconds between steps: the shortest
// interval, not below the trainer's work, after which the open groups include
// enough complete ones for a step.
func predictInterval(in ProvisionInput, groups int) float64 {
	interval := in.StepWork.Seconds()
	for range maxIntervalTries {
		if requiredGroups(in, interval) <= float64(groups) {
			return interval
		}
		interval *= intervalGrowth
	}
	return interval
}

// requiredGroups returns the number of open groups required for an interval:
// those of one step plus the groups of earlier steps that are still unfinished
// when the step is due.
func requiredGroups(in ProvisionInput, interval float64) float64 {
	perStep := float64(in.GroupsPerStep)
	unfinished, variance := 0.0, 0.0
	for age := interval; ; age += interval {
		survival := in.Durations.Survival(age)
		if survival < 1e-6 {
			break
		}
		unfinished += perStep * survival
		variance += perStep * survival * (1 - survival)
	}
	if unfinished < 0.05 {
		return perStep
	}
	return perStep + unfinished + safetyDeviations*math.Sqrt(variance)
}
