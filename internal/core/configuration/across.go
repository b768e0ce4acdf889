package configuration

import (
	"fmt"
	"strconv"

	"fescuespar/internal/core"
)

// across checks what only several deployments together can get wrong.
func (v *validation) across() {
	v.uniqueNames()
	v.roles()
	v.concurrentSum()
	v.trainedWeights()
	v.fencingOfService()
}

func (v *validation) uniqueNames() {
	first := map[core.DeploymentName]int{}
	for i := range v.deployments {
		name := v.deployments[i].Name
		if earlier, taken := first[name]; taken && name != "" {
			v.report(i, FieldName, quote(string(name))+" again", "a name that no other deployment has",
				v.place(earlier, FieldName))
			continue
		}
		first[name] = i
	}
}

// roles refuses a name that is a trainer's in one place and a caller's in
// another: a token has one role.
func (v *validation) roles() {
	trainers := map[core.CallerName]int{}
	for i := range v.deployments {
		if r := v.deployments[i].Rollout; r != nil {
			trainers[r.Trainer] = i
		}
	}
	for i := range v.deployments {
		for j, caller := range v.deployments[i].Callers {
			if at, taken := trainers[caller]; taken && caller != "" {
				v.report(i, FieldCallers.Item(j), fmt.Sprintf("%q, the trainer of %q", caller, v.deployments[at].Name),
					"names of callers: a token is a trainer's or a caller's", v.place(at, FieldTrainer))
			}
		}
	}
}

// concurrentSum bounds the requests in flight of all deployments together.
func (v *validation) concurrentSum() {
	sum := 0
	for i := range v.deployments {
		concurrent := v.deployments[i].Limits.Concurrent
		if concurrent < 1 || concurrent > MaxConcurrent {
			continue
		}
		sum += concurrent
		if sum > MaxConcurrent {
			v.report(i, FieldConcurrent, fmt.Sprintf("%d, which takes the sum of all deployments to %d", concurrent, sum),
				"a sum of at most "+strconv.Itoa(MaxConcurrent))
			return
		}
	}
}

// weights names what a trainer's new weights, or pinned ones, replace on the
// engines.
type weights struct {
	service string
	adapter core.AdapterName
}

// trainedWeights refuses deployments that would replace each other's weights:
// two rollouts, a rollout and a pin, or two pins at different versions.
func (v *validation) trainedWeights() {
	first := map[weights]int{}
	for i := range v.deployments {
		d := &v.deployments[i]
		if !d.Coordinated() || d.Kind != core.KindEngine {
			continue
		}
		key := weights{d.Service, d.Adapter}
		earlier, taken := first[key]
		if !taken {
			first[key] = i
			continue
		}
		other := &v.deployments[earlier]
		if d.Rollout != nil && other.Rollout != nil {
			v.report(i, FieldService, fmt.Sprintf("model %q with adapter %q, which %q trains already", d.Service, d.Adapter, other.Name),
				"one rollout for each model and adapter: each would replace the other's weights",
				v.place(earlier, FieldService), v.place(i, FieldAdapter), v.place(earlier, FieldAdapter))
		} else if d.Versions != other.Versions {
			v.pinnedTwice(i, earlier)
		}
	}
}

// pinnedTwice reports deployments of which at least one pins the weights that
// the other replaces.
func (v *validation) pinnedTwice(i, earlier int) {
	d, other := &v.deployments[i], &v.deployments[earlier]
	set := func(d *core.Deployment) string {
		if d.Rollout != nil {
			return "trained"
		}
		return "pinned to " + formatUint(d.Versions.Pinned)
	}
	v.report(i, FieldService, fmt.Sprintf("model %q with adapter %q %s, which is %s in %q", d.Service, d.Adapter, set(d), set(other), other.Name),
		"one trainer or one pinned_version for each model and adapter: each would replace the other's weights",
		v.place(earlier, FieldService), v.place(i, FieldAdapter), v.place(earlier, FieldAdapter))
}

// fencingOfService requires that all deployments agree on whether a model's
// engines check fencing numbers.
func (v *validation) fencingOfService() {
	first := map[string]int{}
	for i := range v.deployments {
		d := &v.deployments[i]
		if d.Kind != core.KindEngine {
			continue
		}
		earlier, seen := first[d.Service]
		if !seen {
			first[d.Service] = i
			continue
		}
		other := &v.deployments[earlier]
		if other.Fencing != d.Fencing {
			v.report(i, FieldFencing, strconv.FormatBool(d.Fencing),
				fmt.Sprintf("%t as in %q: the same engines of %q serve both", other.Fencing, other.Name, d.Service),
				v.place(earlier, FieldFencing))
		}
	}
}
