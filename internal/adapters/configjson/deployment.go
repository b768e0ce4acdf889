// Package configjson defines the JSON form of configurations and of the other
// bodies of the operators' interface. The operators' front end, their client and
// the object store use the same form.
package configjson

import (
	"fmt"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Deployment is the JSON form of core.Deployment. Durations are strings with
// a unit, such as "1m30s".
type Deployment struct {
	Name          string   `json:"name"`
	Kind          string   `json:"kind"`
	Service       string   `json:"service"`
	Adapter       string   `json:"adapter,omitempty"`
	Class         string   `json:"class"`
	Callers       []string `json:"callers,omitempty"`
	ChecksFencing bool     `json:"checks_fencing,omitempty"`
	PinnedVersion uint64   `json:"pinned_version,omitempty"`
	Limits        Limits   `json:"limits"`
	Once          []Once   `json:"once,omitempty"`
	Rollout       *Rollout `json:"rollout,omitempty"`
}

// Limits is the JSON form of core.Limits.
type Limits struct {
	Concurrent     int    `json:"concurrent"`
	QueueLength    int    `json:"queue_length"`
	QueueTimeout   string `json:"queue_timeout"`
	RequestTimeout string `json:"request_timeout"`
}

// Once is the JSON form of core.CallPattern.
type Once struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Rollout is the JSON form of core.Rollout.
type Rollout struct {
	Trainer        string  `json:"trainer"`
	Scorer         string  `json:"scorer"`
	Prompts        string  `json:"prompts"`
	GroupSize      int     `json:"group_size"`
	GroupsPerStep  int     `json:"groups_per_step"`
	MaxTokens      int     `json:"max_tokens"`
	StalenessBound uint64  `json:"staleness_bound"`
	IdleWeight     float64 `json:"idle_weight"`
}

// FromDeployments converts deployments to their JSON form.
func FromDeployments(deployments []core.Deployment) []Deployment {
	wire := make([]Deployment, len(deployments))
	for i := range deployments {
		wire[i] = fromDeployment(&deployments[i])
	}
	return wire
}

func fromDeployment(d *core.Deployment) Deployment {
	wire := Deployment{
		Name:          string(d.Name),
		Kind:          string(d.Kind),
		Service:       d.Service,
		Adapter:       string(d.Adapter),
		Class:         d.Class.String(),
		ChecksFencing: d.Fencing,
		PinnedVersion: uint64(d.Versions.Pinned),
		Limits: Limits{
			Concurrent:     d.Limits.Concurrent,
			QueueLength:    d.Limits.QueueLength,
			QueueTimeout:   d.Limits.QueueTimeout.String(),
			RequestTimeout: d.Limits.RequestTimeout.String(),
		},
	}
	for _, caller := range d.Callers {
		wire.Callers = append(wire.Callers, string(caller))
	}
	for _, pattern := range d.NonIdempotent {
		wire.Once = append(wire.Once, Once(pattern))
	}
	if d.Rollout != nil {
		wire.Rollout = fromRollout(d.Rollout)
	}
	return wire
}

func fromRollout(r *core.Rollout) *Rollout {
	return &Rollout{
		Trainer:        string(r.Trainer),
		Scorer:         r.Scorer,
		Prompts:        string(r.Prompts),
		GroupSize:      r.GroupSize,
		GroupsPerStep:  r.GroupsPerStep,
		MaxTokens:      r.MaxTokens,
		StalenessBound: r.StalenessBound,
		IdleWeight:     r.IdleWeight,
	}
}

// ToDeployments converts deployments from their JSON form. Errors: BadRequest for
// an unknown class or a duration without a unit.
func ToDeployments(wire []Deployment) ([]core.Deployment, error) {
	deployments := make([]core.Deployment, 0, len(wire))
	for i := range wire {
		d, err := toDeployment(&wire[i])
		if err != nil {
			return nil, errkind.Wrap(errkind.BadRequest, err, "deployment %q", wire[i].Name)
		}
		deployments = append(deployments, d)
	}
	return deployments, nil
}

func toDeployment(wire *Deployment) (core.Deployment, error) {
	class, err := toClass(wire.Class)
	if err != nil {
		return core.Deployment{}, err
	}
	limits, err := toLimits(&wire.Limits)
	if err != nil {
		return core.Deployment{}, err
	}
	d := core.Deployment{
		Name:     core.DeploymentName(wire.Name),
		Kind:     core.ServerKind(wire.Kind),
		Service:  wire.Service,
		Adapter:  core.AdapterName(wire.Adapter),
		Class:    class,
		Limits:   limits,
		Fencing:  wire.ChecksFencing,
		Versions: core.VersionPolicy{Pinned: core.WeightVersion(wire.PinnedVersion)},
	}
	for _, caller := range wire.Callers {
		d.Callers = append(d.Callers, core.CallerName(caller))
	}
	for _, pattern := range wire.Once {
		d.NonIdempotent = append(d.NonIdempotent, core.CallPattern(pattern))
	}
	if wire.Rollout != nil {
		d.Rollout = toRollout(wire.Rollout)
	}
	return d, nil
}

func toRollout(wire *Rollout) *core.Rollout {
	return &core.Rollout{
		Trainer:        core.CallerName(wire.Trainer),
		Scorer:         wire.Scorer,
		Prompts:        core.ObjectKey(wire.Prompts),
		GroupSize:      wire.GroupSize,
		GroupsPerStep:  wire.GroupsPerStep,
		MaxTokens:      wire.MaxTokens,
		StalenessBound: wire.StalenessBound,
		IdleWeight:     wire.IdleWeight,
	}
}

func toLimits(wire *Limits) (core.Limits, error) {
	queue, err := time.ParseDuration(wire.QueueTimeout)
	if err != nil {
		return core.Limits{}, fmt.Errorf("limits.queue_timeout: %w", err)
	}
	request, err := time.ParseDuration(wire.RequestTimeout)
	if err != nil {
		return core.Limits{}, fmt.Errorf("limits.request_timeout: %w", err)
	}
	return core.Limits{
		Concurrent:     wire.Concurrent,
		QueueLength:    wire.QueueLength,
		QueueTimeout:   queue,
		RequestTimeout: request,
	}, nil
}

func toClass(name string) (core.Class, error) {
	for class := range core.Class(core.ClassCount) {
		if class.String() == name {
			return class, nil
		}
	}
	return 0, fmt.Errorf("class: found %q; allowed: %q or %q", name, core.ClassInteractive, core.ClassRollout)
}
