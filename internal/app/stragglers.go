package app

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rollout"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// reviewSamples looks at a deployment's running samples from time to time,
// moves stragglers and cancels what can no longer be fresh.
func (s *Service) reviewSamples(deployment *core.Deployment, fence core.Fence) {
	now := s.ports.Clock.Now()
	running, due := s.rollouts.BeginReview(deployment.Name, fence, now)
	if !due {
		return
	}
	progress := make([]rollout.Progress, len(running))
	for i, answer := range s.answers.Progress(sampleKeys(deployment.Name, running)) {
		progress[i] = rollout.Progress{Tokens: answer.Tokens, Oldest: answer.Oldest}
	}
	orders := s.rollouts.EndReview(deployment.Name, fence, rolloutPolicy(deployment.Rollout), running, progress, now)
	if s.servers.Short(deployment.Kind, deployment.Service) {
		orders.Move = orders.Move[:min(len(orders.Move), s.limits.Affordable(deployment.Name, core.ClassRollout, now))]
	}
	s.metrics.SamplesTooOld.Inc(int64(orders.TooOld))
	s.metrics.SamplesMoved.Inc(int64(len(orders.Move)))
	s.moveRuns(deployment.Name, orders.Move)
	s.cancelRuns(deployment.Name, orders.Cancel)
}

func sampleKeys(name core.DeploymentName, runs []rollout.Work) []tables.AnswerKey {
	keys := make([]tables.AnswerKey, 0, len(runs))
	for _, work := range runs {
		keys = append(keys, sampleKey(name, work))
	}
	return keys
}

// moveRuns has runs go on at other engines after the tokens that they have.
func (s *Service) moveRuns(name core.DeploymentName, runs []rollout.Work) {
	for _, key := range sampleKeys(name, runs) {
		s.answers.Leave(key)
	}
	s.cancelStreams(name, runs)
}

// cancelStreams ends the runs' streams at their engines. A run whose answer is
// still in progress goes on.
func (s *Service) cancelStreams(name core.DeploymentName, runs []rollout.Work) {
	keys := sampleKeys(name, runs)
	for i, answer := range s.answers.Progress(keys) {
		server, ok := s.servers.Server(answer.Source.Server)
		if !ok {
			continue
		}
		c := completion{key: keys[i]}
		stream := c.streamID(answer.Source)
		s.onLane(s.lanes.control, func(ctx context.Context) {
			_ = s.ports.Engine.Cancel(ctx, server, stream)
		})
	}
}

// cancelRuns ends runs that are no longer wanted.
func (s *Service) cancelRuns(name core.DeploymentName, runs []rollout.Work) {
	if len(runs) == 0 {
		return
	}
	s.metrics.SamplesCanceled.Inc(int64(len(runs)))
	s.cancelStreams(name, runs)
	now := s.ports.Clock.Now()
	for _, key := range sampleKeys(name, runs) {
		s.answers.Fail(key, errkind.New(errkind.Canceled, "the sample is no longer wanted"), now)
	}
}
