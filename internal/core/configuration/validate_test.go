package configuration

import (
	"math"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

func engineDeployment(name core.DeploymentName) core.Deployment {
	return core.Deployment{
		Name: name, Kind: core.KindEngine, Service: "model-" + string(name), Class: core.ClassInteractive,
		Callers: []core.CallerName{"portal"},
		Limits:  core.Limits{Concurrent: 8, QueueLength: 16, QueueTimeout: time.Second, RequestTimeout: time.Minute},
		Rollout: &core.Rollout{Trainer: "trainer", Scorer: "scorer", Prompts: "prompts", GroupSize: 8,
			GroupsPerStep: 4, MaxTokens: 64, StalenessBound: 2, IdleWeight: 0.5},
	}
}

func plainDeployment(name core.DeploymentName) core.Deployment {
	d := engineDeployment(name)
	d.Kind = core.KindPlain
	d.Rollout = nil
	d.NonIdempotent = []core.CallPattern{{Method: "POST", PathPrefix: "/sponsorships"}}
	return d
}

func TestValidateReportsEachProblem(t *testing.T) {
	tests := []struct {
		name   string
		change func(model, other, plain *core.Deployment)
		want   []Field
	}{
		{"none", func(_, _, _ *core.Deployment) {}, nil},
		{"empty name", func(m, _, _ *core.Deployment) { m.Name = "" }, []Field{FieldName}},
		{"name with a slash", func(m, _, _ *core.Deployment) { m.Name = "a/b" }, []Field{FieldName}},
		{"duplicate name", func(m, o, _ *core.Deployment) { o.Name = m.Name }, []Field{FieldName}},
		{"unknown kind", func(m, _, _ *core.Deployment) { m.Kind = core.KindScorer }, []Field{FieldKind}},
		{"control class", func(m, _, _ *core.Deployment) { m.Class = core.ClassControl }, []Field{FieldClass}},
		{"class out of range", func(m, _, _ *core.Deployment) { m.Class = core.ClassCount }, []Field{FieldClass}},
		{"no service", func(m, _, _ *core.Deployment) { m.Service = "" }, []Field{FieldService}},
		{"no callers", func(_, _, p *core.Deployment) { p.Callers = nil }, []Field{FieldCallers}},
		{"duplicate caller", func(m, _, _ *core.Deployment) { m.Callers = []core.CallerName{"a", "a"} }, []Field{"callers[1]"}},
		{"trainer as caller elsewhere", func(_, _, p *core.Deployment) { p.Callers = []core.CallerName{"trainer"} }, []Field{"callers[0]"}},
		{"no concurrent requests", func(_, _, p *core.Deployment) { p.Limits.Concurrent = 0 }, []Field{FieldConcurrent}},
		{"sum of concurrent requests", func(_, o, p *core.Deployment) {
			o.Limits.Concurrent = MaxConcurrent - 10
		}, []Field{FieldConcurrent}},
		{"queue without timeout", func(m, _, _ *core.Deployment) { m.Limits.QueueTimeout = 0 }, []Field{FieldQueueTimeout}},
		{"no queue", func(m, _, _ *core.Deployment) { m.Limits.QueueLength, m.Limits.QueueTimeout = 0, 0 }, nil},
		{"queue timeout longer than request timeout", func(m, _, _ *core.Deployment) { m.Limits.QueueTimeout = 2 * time.Minute }, []Field{FieldQueueTimeout}},
		{"unlimited request timeout", func(m, _, _ *core.Deployment) { m.Limits.RequestTimeout = math.MaxInt64 }, []Field{FieldRequestTimeout}},
		{"group larger than concurrency limit", func(m, _, _ *core.Deployment) { m.Limits.Concurrent = 7 }, []Field{FieldConcurrent}},
		{"empty group", func(m, _, _ *core.Deployment) { m.Rollout.GroupSize = 0 }, []Field{FieldGroupSize}},
		{"too many samples per step", func(m, _, _ *core.Deployment) { m.Rollout.GroupsPerStep = MaxSamplesPerStep }, []Field{FieldGroupsPerStep}},
		{"idle weight not a number", func(m, _, _ *core.Deployment) { m.Rollout.IdleWeight = math.NaN() }, []Field{FieldIdleWeight}},
		{"rollout on pinned weights", func(m, _, _ *core.Deployment) { m.Versions.Pinned = 3 }, []Field{FieldStalenessBound}},
		{"pinned weights alone", func(m, _, _ *core.Deployment) { m.Versions.Pinned, m.Rollout = 3, nil }, nil},
		{"once pattern of a model", func(m, _, p *core.Deployment) { m.NonIdempotent = p.NonIdempotent }, []Field{"once[0]"}},
		{"plain with rollout", func(m, _, p *core.Deployment) { p.Rollout = m.Rollout }, []Field{FieldRollout}},
		{"plain with pinned weights", func(_, _, p *core.Deployment) { p.Versions.Pinned = 3 }, []Field{FieldPinned}},
		{"duplicate once pattern", func(_, _, p *core.Deployment) { p.NonIdempotent = append(p.NonIdempotent, p.NonIdempotent[0]) }, []Field{"once[1]"}},
		{"lower-case method", func(_, _, p *core.Deployment) { p.NonIdempotent[0].Method = "post" }, []Field{"once[0].method"}},
		{"relative path", func(_, _, p *core.Deployment) { p.NonIdempotent[0].PathPrefix = "s" }, []Field{"once[0].path_prefix"}},
		{"two rollouts of one model", func(m, o, _ *core.Deployment) { o.Service = m.Service }, []Field{FieldService}},
		{"a rollout and a pin of one model", func(m, o, _ *core.Deployment) {
			o.Service, o.Versions.Pinned, o.Rollout = m.Service, 3, nil
		}, []Field{FieldService}},
		{"two pins of one model", func(m, o, _ *core.Deployment) {
			m.Versions.Pinned, m.Rollout = 2, nil
			o.Service, o.Versions.Pinned, o.Rollout = m.Service, 3, nil
		}, []Field{FieldService}},
		{"one pin in two deployments", func(m, o, _ *core.Deployment) {
			m.Versions.Pinned, m.Rollout = 3, nil
			o.Service, o.Versions.Pinned, o.Rollout = m.Service, 3, nil
		}, nil},
		{"a rollout and a deployment without a pin", func(m, o, _ *core.Deployment) {
			o.Service, o.Rollout = m.Service, nil
		}, nil},
		{"fencing differs", func(m, o, _ *core.Deployment) {
			o.Service, o.Adapter, o.Fencing = m.Service, "notes", true
		}, []Field{FieldFencing}},
		{"two problems", func(m, _, p *core.Deployment) { m.Service, p.NonIdempotent[0].Method = "", "" }, []Field{FieldService, "once[0].method"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			deployments := []core.Deployment{engineDeployment("model"), engineDeployment("other"), plainDeployment("plain")}
			test.change(&deployments[0], &deployments[1], &deployments[2])
			var got []Field
			for _, p := range Validate(deployments) {
				got = append(got, p.Field)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("problems with %q, want %q", got, test.want)
			}
		})
	}
}
