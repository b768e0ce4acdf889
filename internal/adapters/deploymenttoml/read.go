// Package deploymenttoml reads operators' files: one short TOML file for each
// deployment, stored with the code of its service. All mistakes of all files are
// reported in one run, with file, line, key, the value found and the values
// allowed.
package deploymenttoml

import (
	"time"

	"fescuespar/internal/adapters/stricttoml"
	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
)

// maxVersion is the largest weight version that a TOML integer can represent.
const maxVersion = core.WeightVersion(1<<63 - 1)

// ReadFile reads one operators' file. Mistakes are reported in the returned File.
func ReadFile(name string, body []byte) (core.Deployment, *stricttoml.File) {
	file := stricttoml.Parse(name, body)
	r := file.Root()
	var d core.Deployment
	stricttoml.String(r, "name", &d.Name, stricttoml.Required)
	stricttoml.OneOf(r, "kind", &d.Kind, stricttoml.Required, core.KindEngine, core.KindPlain)
	stricttoml.String(r, "service", &d.Service, stricttoml.Required)
	stricttoml.String(r, "adapter", &d.Adapter, stricttoml.Optional)
	d.Class = readClass(r)
	stricttoml.Strings(r, "callers", &d.Callers, stricttoml.Optional)
	stricttoml.Bool(r, "checks_fencing", &d.Fencing, stricttoml.Optional)
	stricttoml.Integer(r, "pinned_version", &d.Versions.Pinned, stricttoml.Optional,
		stricttoml.Range[core.WeightVersion]{Min: 1, Max: maxVersion})
	readLimits(r.Table("limits", stricttoml.Required), &d.Limits)
	d.NonIdempotent = readOnce(r)
	d.Rollout = readRollout(r.Table("rollout", stricttoml.Optional))
	r.Finish()
	return d, file
}

func readClass(r *stricttoml.Reader) core.Class {
	name := ""
	stricttoml.OneOf(r, "class", &name, stricttoml.Required, core.ClassInteractive.String(), core.ClassRollout.String())
	if name == core.ClassRollout.String() {
		return core.ClassRollout
	}
	return core.ClassInteractive
}

func readLimits(r *stricttoml.Reader, l *core.Limits) {
	timeouts := stricttoml.Range[time.Duration]{Min: configuration.MinTimeout, Max: configuration.MaxRequestTimeout}
	stricttoml.Integer(r, "concurrent", &l.Concurrent, stricttoml.Required,
		stricttoml.Range[int]{Min: 1, Max: configuration.MaxConcurrent})
	stricttoml.Integer(r, "queue_length", &l.QueueLength, stricttoml.Required,
		stricttoml.Range[int]{Min: 0, Max: configuration.MaxQueueLength})
	stricttoml.Duration(r, "queue_timeout", &l.QueueTimeout, stricttoml.Required, timeouts)
	stricttoml.Duration(r, "request_timeout", &l.RequestTimeout, stricttoml.Required, timeouts)
	r.Finish()
}

func readOnce(r *stricttoml.Reader) []core.CallPattern {
	var patterns []core.CallPattern
	for _, reader := range r.Tables("once", stricttoml.Optional) {
		var pattern core.CallPattern
		stricttoml.String(reader, "method", &pattern.Method, stricttoml.Required)
		stricttoml.String(reader, "path_prefix", &pattern.PathPrefix, stricttoml.Required)
		reader.Finish()
		patterns = append(patterns, pattern)
	}
	return patterns
}

// readRollout returns nil when the file has no rollout table.
func readRollout(r *stricttoml.Reader) *core.Rollout {
	if r == nil {
		return nil
	}
	var rollout core.Rollout
	stricttoml.String(r, "trainer", &rollout.Trainer, stricttoml.Required)
	stricttoml.String(r, "scorer", &rollout.Scorer, stricttoml.Required)
	stricttoml.String(r, "prompts", &rollout.Prompts, stricttoml.Required)
	stricttoml.Integer(r, "group_size", &rollout.GroupSize, stricttoml.Required,
		stricttoml.Range[int]{Min: 1, Max: configuration.MaxGroupSize})
	stricttoml.Integer(r, "groups_per_step", &rollout.GroupsPerStep, stricttoml.Required,
		stricttoml.Range[int]{Min: 1, Max: configuration.MaxSamplesPerStep})
	stricttoml.Integer(r, "max_tokens", &rollout.MaxTokens, stricttoml.Required,
		stricttoml.Range[int]{Min: 1, Max: configuration.MaxTokens})
	stricttoml.Integer(r, "staleness_bound", &rollout.StalenessBound, stricttoml.Required,
		stricttoml.Range[uint64]{Min: 0, Max: configuration.MaxStalenessBound})
	stricttoml.Float(r, "idle_weight", &rollout.IdleWeight, stricttoml.Required,
		stricttoml.Range[float64]{Min: configuration.MinIdleWeight, Max: configuration.MaxIdleWeight})
	r.Finish()
	return &rollout
}
