package app

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rollout"
	"fescuespar/internal/core/routing"
)

// scoreSample starts the scoring of a sample. If all attempts fail, the sample
// becomes pending again.
func (s *Service) scoreSample(deployment *core.Deployment, fence core.Fence, run rollout.SampleRun, sample core.Sample) {
	if deployment.Rollout.Scorer == "" {
		s.finishSample(fence, run, sample)
		return
	}
	s.startScoring(deployment, fence, run, sample, 1)
}

// maxScoreAttempts bounds the scoring calls for one sample before it is
// generated again.
const maxScoreAttempts = 5

func (s *Service) startScoring(deployment *core.Deployment, fence core.Fence, run rollout.SampleRun, sample core.Sample, attempt int) {
	dispatch, err := s.servers.Acquire(routing.Query{
		Kind: core.KindScorer, Service: deployment.Rollout.Scorer, Class: core.ClassRollout, ExpectedTokens: 1,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region,
	}, s.ports.Clock.Now())
	if err != nil {
		s.retryScoring(deployment, fence, run, sample, attempt)
		return
	}
	err = s.lanes.scoring.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, deployment.Limits.RequestTimeout)
		defer cancel()
		score, err := s.ports.Scorer.Score(ctx, dispatch.VM, sample)
		s.pool.MustEnqueue(core.ClassRollout, func() {
			s.releaseServer(dispatch, 0, err)
			if err != nil {
				s.retryScoring(deployment, fence, run, sample, attempt)
				return
			}
			sample.Score = score
			s.finishSample(fence, run, sample)
		})
	})
	if err != nil {
		s.releaseServer(dispatch, 0, err)
		s.retryScoring(deployment, fence, run, sample, attempt)
	}
}

func (s *Service) retryScoring(deployment *core.Deployment, fence core.Fence, run rollout.SampleRun, sample core.Sample, attempt int) {
	if attempt >= maxScoreAttempts {
		s.rollouts.Retry(deployment.Name, fence, run)
		return
	}
	delay := s.random.Duration(retryBaseDelay << attempt)
	s.timers.After(delay, core.ClassRollout, func() { s.startScoring(deployment, fence, run, sample, attempt+1) })
}

func (s *Service) finishSample(fence core.Fence, run rollout.SampleRun, sample core.Sample) {
	s.metrics.SamplesFinished.Inc(1)
	s.rollouts.Finish(fence, run, sample, s.ports.Clock.Now())
}
