package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fescuespar/internal/core"
)

// ChangeKind is the kind of a change to a deployment.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations. Field, Old and New are set
// only if Kind is Changed.
type Change struct {
	Kind       ChangeKind
	Deployment core.DeploymentName
	Field      Field
	Old        string
	New        string
}

// String returns the change as one line of text.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s", c.Kind, c.Deployment)
	}
	return fmt.Sprintf("%s %s: %s from %s to %s", c.Kind, c.Deployment, c.Field, c.Old, c.New)
}

// Diff returns the changes from one set of deployments to another, sorted by
// deployment name.
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

// diffField is a field and the function that formats its value in a Change.
type diffField struct {
	field  Field
	format func(d *core.Deployment) string
}

// diffFields lists all fields except the name.
var diffFields = []diffField{
	{FieldKind, func(d *core.Deployment) string { return string(d.Kind) }},
	{FieldService, func(d *core.Deployment) string { return d.Service }},
	{FieldAdapter, func(d *core.Deployment) string { return string(d.Adapter) }},
	{FieldClass, func(d *core.Deployment) string { return d.Class.String() }},
	{FieldCallers, func(d *core.Deployment) string { return formatCallers(d.Callers) }},
	{FieldFencing, func(d *core.Deployment) string { return strconv.FormatBool(d.Fencing) }},
	{FieldPinned, func(d *core.Deployment) string { return formatUint(d.Versions.Pinned) }},
	{FieldConcurrent, func(d *core.Deployment) string { return strconv.Itoa(d.Limits.Concurrent) }},
	{FieldQueueLength, func(d *core.Deployment) string { return strconv.Itoa(d.Limits.QueueLength) }},
	{FieldQueueTimeout, func(d *core.Deployment) string { return d.Limits.QueueTimeout.String() }},
	{FieldRequestTimeout, func(d *core.Deployment) string { return d.Limits.RequestTimeout.String() }},
	{FieldOnce, func(d *core.Deployment) string { return formatOncePatterns(d.NonIdempotent) }},
	{FieldTrainer, rolloutFormatter(func(r *core.Rollout) string { return string(r.Trainer) })},
	{FieldScorer, rolloutFormatter(func(r *core.Rollout) string { return r.Scorer })},
	{FieldPrompts, rolloutFormatter(func(r *core.Rollout) string { return string(r.Prompts) })},
	{FieldGroupSize, rolloutFormatter(func(r *core.Rollout) string { return strconv.Itoa(r.GroupSize) })},
	{FieldGroupsPerStep, rolloutFormatter(func(r *core.Rollout) string { return strconv.Itoa(r.GroupsPerStep) })},
	{FieldMaxTokens, rolloutFormatter(func(r *core.Rollout) string { return strconv.Itoa(r.MaxTokens) })},
	{FieldStalenessBound, rolloutFormatter(func(r *core.Rollout) string { return formatUint(r.StalenessBound) })},
	{FieldIdleWeight, rolloutFormatter(func(r *core.Rollout) string { return fmt.Sprint(r.IdleWeight) })},
}

// rolloutFormatter adapts a formatter of a rollout field to deployments without a
// rollout.
func rolloutFormatter(format func(r *core.Rollout) string) func(d *core.Deployment) string {
	return func(d *core.Deployment) string {
		if d.Rollout == nil {
			return "none"
		}
		return format(d.Rollout)
	}
}

func formatCallers(callers []core.CallerName) string {
	names := make([]string, len(callers))
	for i, caller := range callers {
		names[i] = string(caller)
	}
	return "[" + strings.Join(names, ", ") + "]"
}

func formatOncePatterns(patterns []core.CallPattern) string {
	formatted := make([]string, len(patterns))
	for i, pattern := range patterns {
		formatted[i] = pattern.Method + " " + pattern.PathPrefix
	}
	return "[" + strings.Join(formatted, ", ") + "]"
}

// changedFields returns one change for each field that differs.
func changedFields(old, new *core.Deployment) []Change {
	var changes []Change
	for _, f := range diffFields {
		before, after := f.format(old), f.format(new)
		if before != after {
			changes = append(changes, Change{Changed, new.Name, f.field, before, after})
		}
	}
	return changes
}
