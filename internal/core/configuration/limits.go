package configuration

import (
	"fmt"
	"strconv"
	"time"

	"fescuespar/internal/core"
)

func (v *validation) limits(i int, d *core.Deployment) {
	l := &d.Limits
	v.integer(i, FieldConcurrent, l.Concurrent, 1, MaxConcurrent)
	v.integer(i, FieldQueueLength, l.QueueLength, 0, MaxQueueLength)
	v.duration(i, FieldRequestTimeout, l.RequestTimeout, MinTimeout)
	shortest := MinTimeout
	if l.QueueLength == 0 {
		shortest = 0
	}
	v.duration(i, FieldQueueTimeout, l.QueueTimeout, shortest)
	if l.QueueTimeout > l.RequestTimeout {
		v.report(i, FieldQueueTimeout, l.QueueTimeout.String(),
			fmt.Sprintf("at most limits.request_timeout, which is %s", l.RequestTimeout),
			v.place(i, FieldRequestTimeout))
	}
}

func (v *validation) rollout(i int, d *core.Deployment) {
	r := d.Rollout
	v.name(i, FieldTrainer, string(r.Trainer))
	v.text(i, FieldScorer, r.Scorer)
	v.text(i, FieldPrompts, string(r.Prompts))
	v.integer(i, FieldGroupSize, r.GroupSize, 1, MaxGroupSize)
	v.integer(i, FieldGroupsPerStep, r.GroupsPerStep, 1, MaxSamplesPerStep)
	v.integer(i, FieldMaxTokens, r.MaxTokens, 1, MaxTokens)
	if r.StalenessBound > MaxStalenessBound {
		v.report(i, FieldStalenessBound, formatUint(r.StalenessBound), "at most "+strconv.Itoa(MaxStalenessBound))
	}
	if !(r.IdleWeight >= MinIdleWeight && r.IdleWeight <= MaxIdleWeight) {
		v.report(i, FieldIdleWeight, fmt.Sprint(r.IdleWeight), "a number from 0 to 1")
	}
	v.stepSize(i, r)
	v.groupWork(i, d)
	v.pinnedRollout(i, d)
}

// stepSize bounds the samples of a step.
func (v *validation) stepSize(i int, r *core.Rollout) {
	if r.GroupSize < 1 || r.GroupsPerStep < 1 || r.GroupsPerStep > MaxSamplesPerStep {
		return
	}
	if samples := r.GroupSize * r.GroupsPerStep; samples > MaxSamplesPerStep {
		v.report(i, FieldGroupsPerStep, fmt.Sprintf("%d groups of %d, %d samples a step", r.GroupsPerStep, r.GroupSize, samples),
			fmt.Sprintf("at most %d samples a step", MaxSamplesPerStep), v.place(i, FieldGroupSize))
	}
}

// groupWork requires that the samples of one group can be in flight together;
// otherwise every group waits for its own stragglers.
func (v *validation) groupWork(i int, d *core.Deployment) {
	if d.Limits.Concurrent >= d.Rollout.GroupSize {
		return
	}
	v.report(i, FieldConcurrent, strconv.Itoa(d.Limits.Concurrent),
		fmt.Sprintf("at least rollout.group_size, which is %d", d.Rollout.GroupSize), v.place(i, FieldGroupSize))
}

// pinnedRollout refuses a rollout on pinned weights: the trainer's version
// grows with each step while the samples' version stays, so that any staleness
// bound is exceeded after a few steps.
func (v *validation) pinnedRollout(i int, d *core.Deployment) {
	if d.Versions.Pinned == 0 {
		return
	}
	v.report(i, FieldStalenessBound,
		fmt.Sprintf("%d with pinned_version %d", d.Rollout.StalenessBound, d.Versions.Pinned),
		"no pinned_version beside a rollout: new weights of the trainer make every sample older than the bound",
		v.place(i, FieldPinned))
}

func (v *validation) integer(i int, field Field, number, least, most int) {
	if number < least || number > most {
		v.report(i, field, strconv.Itoa(number), fmt.Sprintf("an integer from %d to %d", least, most))
	}
}

func (v *validation) duration(i int, field Field, duration, least time.Duration) {
	if duration < least || duration > MaxRequestTimeout {
		v.report(i, field, duration.String(), fmt.Sprintf("a duration from %s to %s", least, MaxRequestTimeout))
	}
}
