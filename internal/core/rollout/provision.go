package rollout

import (
	"math"
	"time"
)

const (
	// MaxStepsAhead is the largest number of steps for which groups are
	// planned after the last fixed one.
	MaxStepsAhead = 4
	// firstStepsAhead holds until enough groups were observed.
	firstStepsAhead = 2
	// enoughGroups is how many observed groups a decision needs.
	enoughGroups = 16
	// spare is how many standard deviations of unfinished groups are covered.
	spare = 2.0
	// candidateCounts is how many window sizes a step's groups are divided into.
	candidateCounts = 8
	// intervalGrowth is the factor between intervals tried.
	intervalGrowth = 1.05
	// intervalTries bounds the intervals tried.
	intervalTries = 120
)

// Demand is what the number of groups in progress is decided from.
type Demand struct {
	GroupsPerStep   int
	Bound           uint64  // versions a sample may lag behind its trainer
	Margin          float64 // versions of the bound that are not planned with
	IdleWeight      float64 // weight of trainer idle time against staleness, 0 to 1
	Work            time.Duration
	VersionsPerStep float64
	Durations       *Sketch // seconds from a group's start to its last sample
}

// Plan says how many groups are kept open: in progress, or finished and not
// yet delivered.
type Plan struct {
	Groups   int
	Interval time.Duration // predicted time between steps
}

// Provision chooses the number of open groups with the least cost. The cost of
// a number K is the idle weight times the share of time for which the trainer
// is predicted to wait, plus the rest of the weight times the samples' mean age
// at delivery against the age that the staleness bound allows a trainer that
// never waits. By Little's law that age is K / GroupsPerStep intervals.
func Provision(d Demand) Plan {
	if d.Durations.Count() < enoughGroups || d.Work <= 0 {
		return Plan{Groups: mostGroups(d, firstStepsAhead)}
	}
	most := mostGroups(d, MaxStepsAhead)
	stride := max(1, d.GroupsPerStep/candidateCounts)
	best, least := Plan{}, math.Inf(1)
	for groups := d.GroupsPerStep; groups <= most; groups += stride {
		interval := intervalFor(d, groups)
		if cost := costOf(d, groups, interval); cost < least {
			best = Plan{Groups: groups, Interval: time.Duration(interval * float64(time.Second))}
			least = cost
		}
	}
	return best
}

// mostGroups returns how many groups may be open, so that a group that waits
// for its turn is still within the staleness bound.
func mostGroups(d Demand, steps int) int {
	most := d.GroupsPerStep * steps
	if d.VersionsPerStep > 0 {
		most = min(most, int(float64(d.GroupsPerStep)*(float64(d.Bound)-d.Margin)/d.VersionsPerStep))
	}
	return max(most, d.GroupsPerStep)
}

// costOf rates a number of open groups at an interval in seconds.
func costOf(d Demand, groups int, interval float64) float64 {
	work := d.Work.Seconds()
	idle := 1 - work/interval
	age := float64(groups) / float64(d.GroupsPerStep) * interval
	allowed := float64(max(d.Bound, 1)) * work
	return d.IdleWeight*idle + (1-d.IdleWeight)*age/allowed
}

// intervalFor predicts the seconds between steps, at least the trainer's work,
// at which the open groups contain a whole step of finished ones.
func intervalFor(d Demand, groups int) float64 {
	interval := d.Work.Seconds()
	for range intervalTries {
		if needed(d, interval) <= float64(groups) {
			return interval
		}
		interval *= intervalGrowth
	}
	return interval
}

// needed returns the open groups needed for an interval: those of one step and
// those of earlier ones that are still unfinished when the step is due.
func needed(d Demand, interval float64) float64 {
	perStep := float64(d.GroupsPerStep)
	unfinished, variance := 0.0, 0.0
	for age := interval; ; age += interval {
		survival := d.Durations.Survival(age)
		if survival < 1e-6 {
			break
		}
		unfinished += perStep * survival
		variance += perStep * survival * (1 - survival)
	}
	if unfinished < 0.05 {
		return perStep
	}
	return perStep + unfinished + spare*math.Sqrt(variance)
}
