package app

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rollout"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// reviewSamples reviews a deployment's running samples when a review is due: it
// moves stragglers to other engines and cancels runs that can no longer be
// fresh.
func (s *Service) reviewSamples(deployment *core.Deployment, fence core.Fence) {
	now := s.ports.Clock.Now()
	running, due := s.rollouts.BeginReview(deployment.Name, fence, now)
	if !due {
		return
	}
	progress := make([]rollout.Progress, len(running))
	for i, answer := range s.answers.Progress(sampleAnswerKeys(deployment.Name, running)) {
		progress[i] = rollout.Progress{Tokens: answer.Tokens, Oldest: answer.Oldest}
	}
	actions := s.rollouts.EndReview(deployment.Name, fence, rolloutPolicy(deployment.Rollout), running, progress, now)
	if s.servers.IsShortOfServers(deployment.Kind, deployment.Service) {
		actions.Move = actions.Move[:min(len(actions.Move), s.limits.AffordableRetries(deployment.Name, core.ClassRollout, now))]
	}
	s.metrics.SamplesTooOld.Inc(int64(actions.TooOld))
	s.metrics.SamplesMoved.Inc(int64(len(actions.Move)))
	s.migrateRuns(deployment.Name, actions.Move)
	s.cancelRuns(deployment.Name, actions.Cancel)
}

func sampleAnswerKeys(name core.DeploymentName, runs []rollout.SampleRun) []tables.AnswerKey {
	keys := make([]tables.AnswerKey, 0, len(runs))
	for _, run := range runs {
		keys = append(keys, sampleAnswerKey(name, run))
	}
	return keys
}

// migrateRuns continues runs on other engines after the tokens that they have.
func (s *Service) migrateRuns(name core.DeploymentName, runs []rollout.SampleRun) {
	for _, key := range sampleAnswerKeys(name, runs) {
		s.answers.MarkMigrating(key)
	}
	s.cancelStreams(name, runs)
}

// cancelStreams cancels the runs' streams at their engines. A run whose answer
// is still in progress continues on another engine.
func (s *Service) cancelStreams(name core.DeploymentName, runs []rollout.SampleRun) {
	keys := sampleAnswerKeys(name, runs)
	for i, answer := range s.answers.Progress(keys) {
		server, ok := s.servers.Server(answer.Source.Server)
		if !ok {
			continue
		}
		c := completion{key: keys[i]}
		stream := c.streamID(answer.Source)
		s.startOnLane(s.lanes.control, func(ctx context.Context) {
			_ = s.ports.Engine.Cancel(ctx, server, stream)
		})
	}
}

// cancelRuns cancels runs whose samples are no longer needed.
func (s *Service) cancelRuns(name core.DeploymentName, runs []rollout.SampleRun) {
	if len(runs) == 0 {
		return
	}
	s.metrics.SamplesCanceled.Inc(int64(len(runs)))
	s.cancelStreams(name, runs)
	now := s.ports.Clock.Now()
	for _, key := range sampleAnswerKeys(name, runs) {
		s.answers.Fail(key, errkind.New(errkind.Canceled, "the sample is no longer needed"), now)
	}
}
