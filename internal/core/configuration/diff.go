package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fescuespar/internal/core"
)

// ChangeKind says what happened to a deployment.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations. Field, Old and New are
// set when Kind is Changed.
type Change struct {
	Kind       ChangeKind
	Deployment core.DeploymentName
	Field      Field
	Old        string
	New        string
}

// String returns the change on one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s", c.Kind, c.Deployment)
	}
	return fmt.Sprintf("%s %s: %s from %s to %s", c.Kind, c.Deployment, c.Field, c.Old, c.New)
}

// Diff returns what leads from one set of deployments to another, ordered by
// the deployments' names.
func Diff(old, new []core.Deployment) []Change {
	before, after := byName(old), byName(new)
	var changes []Change
	for name, d := range after {
		if before[name] == nil {
			changes = append(changes, Change{Kind: Added, Deployment: name})
			continue
		}
		changes = append(changes, changedFields(before[name], d)...)
	}
	for name := range before {
		if after[name] == nil {
			changes = append(changes, Change{Kind: Removed, Deployment: name})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Deployment, b.Deployment) })
	return changes
}

func byName(deployments []core.Deployment) map[core.DeploymentName]*core.Deployment {
	named := make(map[core.DeploymentName]*core.Deployment, len(deployments))
	for i := range deployments {
		named[deployments[i].Name] = &deployments[i]
	}
	return named
}

// shownField is a field with the way in which a difference shows it.
type shownField struct {
	field Field
	show  func(d *core.Deployment) string
}

// shownFields lists every field but the name.
var shownFields = []shownField{
	{FieldKind, func(d *core.Deployment) string { return string(d.Kind) }},
	{FieldService, func(d *core.Deployment) string { return d.Service }},
	{FieldAdapter, func(d *core.Deployment) string { return string(d.Adapter) }},
	{FieldClass, func(d *core.Deployment) string { return d.Class.String() }},
	{FieldCallers, func(d *core.Deployment) string { return showCallers(d.Callers) }},
	{FieldFencing, func(d *core.Deployment) string { return strconv.FormatBool(d.Fencing) }},
	{FieldPinned, func(d *core.Deployment) string { return formatUint(d.Versions.Pinned) }},
	{FieldConcurrent, func(d *core.Deployment) string { return strconv.Itoa(d.Limits.Concurrent) }},
	{FieldQueueLength, func(d *core.Deployment) string { return strconv.Itoa(d.Limits.QueueLength) }},
	{FieldQueueTimeout, func(d *core.Deployment) string { return d.Limits.QueueTimeout.String() }},
	{FieldRequestTimeout, func(d *core.Deployment) string { return d.Limits.RequestTimeout.String() }},
	{FieldOnce, func(d *core.Deployment) string { return showOnce(d.Once) }},
	{FieldTrainer, ofRollout(func(r *core.Rollout) string { return string(r.Trainer) })},
	{FieldScorer, ofRollout(func(r *core.Rollout) string { return r.Scorer })},
	{FieldPrompts, ofRollout(func(r *core.Rollout) string { return string(r.Prompts) })},
	{FieldGroupSize, ofRollout(func(r *core.Rollout) string { return strconv.Itoa(r.GroupSize) })},
	{FieldGroupsPerStep, ofRollout(func(r *core.Rollout) string { return strconv.Itoa(r.GroupsPerStep) })},
	{FieldMaxTokens, ofRollout(func(r *core.Rollout) string { return strconv.Itoa(r.MaxTokens) })},
	{FieldStalenessBound, ofRollout(func(r *core.Rollout) string { return formatUint(r.StalenessBound) })},
	{FieldIdleWeight, ofRollout(func(r *core.Rollout) string { return fmt.Sprint(r.IdleWeight) })},
}

func ofRollout(show func(r *core.Rollout) string) func(d *core.Deployment) string {
	return func(d *core.Deployment) string {
		if d.Rollout == nil {
			return "none"
		}
		return show(d.Rollout)
	}
}

func showCallers(callers []core.CallerName) string {
	names := make([]string, len(callers))
	for i, caller := range callers {
		names[i] = string(caller)
	}
	return "[" + strings.Join(names, ", ") + "]"
}

func showOnce(patterns []core.OncePattern) string {
	shown := make([]string, len(patterns))
	for i, pattern := range patterns {
		shown[i] = pattern.Method + " " + pattern.PathPrefix
	}
	return "[" + strings.Join(shown, ", ") + "]"
}

func changedFields(old, new *core.Deployment) []Change {
	var changes []Change
	for _, f := range shownFields {
		before, after := f.show(old), f.show(new)
		if before != after {
			changes = append(changes, Change{Changed, new.Name, f.field, before, after})
		}
	}
	return changes
}
