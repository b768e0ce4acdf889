package configuration

import (
	"fmt"
	"strconv"
	"time"

	"fescuespar/internal/core"
)

func (v *validation) checkLimits(i int, d *core.Deployment) {
	l := &d.Limits
	v.checkInteger(i, FieldConcurrent, l.Concurrent, 1, MaxConcurrent)
	v.checkInteger(i, FieldQueueLength, l.QueueLength, 0, MaxQueueLength)
	v.checkDuration(i, FieldRequestTimeout, l.RequestTimeout, MinTimeout)
	minQueueTimeout := MinTimeout
	if l.QueueLength == 0 {
		minQueueTimeout = 0
	}
	v.checkDuration(i, FieldQueueTimeout, l.QueueTimeout, minQueueTimeout)
	if l.QueueTimeout > l.RequestTimeout {
		v.report(i, FieldQueueTimeout, l.QueueTimeout.String(),
			fmt.Sprintf("at most limits.request_timeout, which is %s", l.RequestTimeout),
			v.place(i, FieldRequestTimeout))
	}
}

func (v *validation) checkRollout(i int, d *core.Deployment) {
	r := d.Rollout
	v.checkName(i, FieldTrainer, string(r.Trainer))
	v.checkText(i, FieldScorer, r.Scorer)
	v.checkText(i, FieldPrompts, string(r.Prompts))
	v.checkInteger(i, FieldGroupSize, r.GroupSize, 1, MaxGroupSize)
	v.checkInteger(i, FieldGroupsPerStep, r.GroupsPerStep, 1, MaxSamplesPerStep)
	v.checkInteger(i, FieldMaxTokens, r.MaxTokens, 1, MaxTokens)
	if r.StalenessBound > MaxStalenessBound {
		v.report(i, FieldStalenessBound, formatUint(r.StalenessBound), "at most "+strconv.Itoa(MaxStalenessBound))
	}
	if !(r.IdleWeight >= MinIdleWeight && r.IdleWeight <= MaxIdleWeight) {
		v.report(i, FieldIdleWeight, fmt.Sprint(r.IdleWeight), "a number from 0 to 1")
	}
	v.checkSamplesPerStep(i, r)
	v.checkGroupConcurrency(i, d)
	v.checkPinnedRollout(i, d)
}

// checkSamplesPerStep limits the number of samples per step.
func (v *validation) checkSamplesPerStep(i int, r *core.Rollout) {
	if r.GroupSize < 1 || r.GroupsPerStep < 1 || r.GroupsPerStep > MaxSamplesPerStep {
		return
	}
	if samples := r.GroupSize * r.GroupsPerStep; samples > MaxSamplesPerStep {
		v.report(i, FieldGroupsPerStep, fmt.Sprintf("%d groups of %d, %d samples per step", r.GroupsPerStep, r.GroupSize, samples),
			fmt.Sprintf("at most %d samples per step", MaxSamplesPerStep), v.place(i, FieldGroupSize))
	}
}

// checkGroupConcurrency requires that all samples of one group can be in flight at
// once; otherwise each group waits for its own slowest samples.
func (v *validation) checkGroupConcurrency(i int, d *core.Deployment) {
	if d.Limits.Concurrent >= d.Rollout.GroupSize {
		return
	}
	v.report(i, FieldConcurrent, strconv.Itoa(d.Limits.Concurrent),
		fmt.Sprintf("at least rollout.group_size, which is %d", d.Rollout.GroupSize), v.place(i, FieldGroupSize))
}

// checkPinnedRollout rejects a rollout with pinned weights: the trainer's version grows
// with each step while the version of the samples stays the same, so that any
// staleness bound is exceeded after a few steps.
func (v *validation) checkPinnedRollout(i int, d *core.Deployment) {
	if d.Versions.Pinned == 0 {
		return
	}
	v.report(i, FieldStalenessBound,
		fmt.Sprintf("%d with pinned_version %d", d.Rollout.StalenessBound, d.Versions.Pinned),
		"no pinned_version together with a rollout: new weights of the trainer make every sample older than the bound",
		v.place(i, FieldPinned))
}

func (v *validation) checkInteger(i int, field Field, number, minimum, maximum int) {
	if number < minimum || number > maximum {
		v.report(i, field, strconv.Itoa(number), fmt.Sprintf("an integer from %d to %d", minimum, maximum))
	}
}

func (v *validation) checkDuration(i int, field Field, duration, minimum time.Duration) {
	if duration < minimum || duration > MaxRequestTimeout {
		v.report(i, field, duration.String(), fmt.Sprintf("a duration from %s to %s", minimum, MaxRequestTimeout))
	}
}
