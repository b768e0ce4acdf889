package configuration

import (
	"fmt"
	"strconv"

	"fescuespar/internal/core"
)

// checkAcrossDeployments checks the constraints between several deployments.
func (v *validation) checkAcrossDeployments() {
	v.checkUniqueNames()
	v.checkRoles()
	v.checkTotalConcurrent()
	v.checkWeightConflicts()
	v.checkFencingPerService()
}

// checkUniqueNames requires that deployments have different names.
func (v *validation) checkUniqueNames() {
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

// checkRoles rejects a name that is both a trainer and a caller: a token has only one
// role.
func (v *validation) checkRoles() {
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

// checkTotalConcurrent limits the sum of the concurrent requests of all deployments.
func (v *validation) checkTotalConcurrent() {
	sum := 0
	for i := range v.deployments {
		concurrent := v.deployments[i].Limits.Concurrent
		if concurrent < 1 || concurrent > MaxConcurrent {
			continue
		}
		sum += concurrent
		if sum > MaxConcurrent {
			v.report(i, FieldConcurrent, fmt.Sprintf("%d, which raises the sum of all deployments to %d", concurrent, sum),
				"a sum of at most "+strconv.Itoa(MaxConcurrent))
			return
		}
	}
}

// weightsKey identifies the weights on the engines that a trainer or a pin replaces.
type weightsKey struct {
	service string
	adapter core.AdapterName
}

// checkWeightConflicts rejects deployments that would replace each other's weights:
// two rollouts, a rollout and a pin, or two pins of different versions.
func (v *validation) checkWeightConflicts() {
	first := map[weightsKey]int{}
	for i := range v.deployments {
		d := &v.deployments[i]
		if !d.Coordinated() || d.Kind != core.KindEngine {
			continue
		}
		key := weightsKey{d.Service, d.Adapter}
		earlier, taken := first[key]
		if !taken {
			first[key] = i
			continue
		}
		other := &v.deployments[earlier]
		if d.Rollout != nil && other.Rollout != nil {
			v.report(i, FieldService, fmt.Sprintf("model %q with adapter %q, which %q already trains", d.Service, d.Adapter, other.Name),
				"one rollout for each model and adapter: each would replace the other's weights",
				v.place(earlier, FieldService), v.place(i, FieldAdapter), v.place(earlier, FieldAdapter))
		} else if d.Versions != other.Versions {
			v.reportPinConflict(i, earlier)
		}
	}
}

// reportPinConflict reports two deployments of which one pins the weights that the
// other trains or pins at another version.
func (v *validation) reportPinConflict(i, earlier int) {
	d, other := &v.deployments[i], &v.deployments[earlier]
	describe := func(d *core.Deployment) string {
		if d.Rollout != nil {
			return "trained"
		}
		return "pinned to " + formatUint(d.Versions.Pinned)
	}
	v.report(i, FieldService, fmt.Sprintf("model %q with adapter %q %s, which is %s in %q", d.Service, d.Adapter, describe(d), describe(other), other.Name),
		"one trainer or one pinned_version for each model and adapter: each would replace the other's weights",
		v.place(earlier, FieldService), v.place(i, FieldAdapter), v.place(earlier, FieldAdapter))
}

// checkFencingPerService requires that all deployments of a model agree on whether its
// engines check fencing numbers.
func (v *validation) checkFencingPerService() {
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
