package configuration

import (
	"fmt"
	"strconv"

	"fescuespar/internal/core"
)

// Field is the path of a field of a deployment, such as "limits.concurrent" or
// "once[1].method".
type Field string

// The fields of a deployment.
const (
	FieldName           Field = "name"
	FieldKind           Field = "kind"
	FieldService        Field = "service"
	FieldAdapter        Field = "adapter"
	FieldClass          Field = "class"
	FieldCallers        Field = "callers"
	FieldFencing        Field = "checks_fencing"
	FieldPinned         Field = "pinned_version"
	FieldConcurrent     Field = "limits.concurrent"
	FieldQueueLength    Field = "limits.queue_length"
	FieldQueueTimeout   Field = "limits.queue_timeout"
	FieldRequestTimeout Field = "limits.request_timeout"
	FieldRollout        Field = "rollout"
	FieldTrainer        Field = "rollout.trainer"
	FieldScorer         Field = "rollout.scorer"
	FieldPrompts        Field = "rollout.prompts"
	FieldGroupSize      Field = "rollout.group_size"
	FieldGroupsPerStep  Field = "rollout.groups_per_step"
	FieldMaxTokens      Field = "rollout.max_tokens"
	FieldStalenessBound Field = "rollout.staleness_bound"
	FieldIdleWeight     Field = "rollout.idle_weight"
	FieldOnce           Field = "once"
)

// Item returns the path of an element of a list field.
func (f Field) Item(i int) Field { return f + Field("["+strconv.Itoa(i)+"]") }

// Place identifies a field of one deployment in a configuration.
type Place struct {
	Index      int // position of the deployment in the configuration
	Deployment core.DeploymentName
	Field      Field
}

// Problem is an error in a configuration.
type Problem struct {
	Place
	Found   string
	Allowed string
	Others  []Place // other fields that are involved in the error
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("deployment %q: %s: found %s; allowed: %s", p.Deployment, p.Field, p.Found, p.Allowed)
}
