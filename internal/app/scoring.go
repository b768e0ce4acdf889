package app

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rollout"
	"fescuespar/internal/core/routing"
)

// scoreSample has a sample scored; a failed call makes the sample pending
// again unless another try succeeds.
func (s *Service) scoreSample(deployment *core.Deployment, fence core.Fence, work rollout.Work, sample core.Sample) {
	if deployment.Rollout.Scorer == "" {
		s.finishSample(fence, work, sample)
		return
	}
	s.tryScore(deployment, fence, work, sample, 1)
}

// scoreAttempts bounds the calls to the scoring service for one sample before
// it is generated again.
const scoreAttempts = 5

func (s *Service) tryScore(deployment *core.Deployment, fence core.Fence, work rollout.Work, sample core.Sample, number int) {
	begun, err := s.servers.Acquire(routing.Query{
		Kind: core.KindScorer, Service: deployment.Rollout.Scorer, Class: core.ClassRollout, Tokens: 1,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region,
	}, s.ports.Clock.Now())
	if err != nil {
		s.scoreAgain(deployment, fence, work, sample, number)
		return
	}
	err = s.lanes.scoring.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, deployment.Limits.RequestTimeout)
		defer cancel()
		score, err := s.ports.Scorer.Score(ctx, begun.VM, sample)
		s.pool.MustEnqueue(core.ClassRollout, func() {
			s.release(begun, 0, err)
			if err != nil {
				s.scoreAgain(deployment, fence, work, sample, number)
				return
			}
			sample.Score = score
			s.finishSample(fence, work, sample)
		})
	})
	if err != nil {
		s.release(begun, 0, err)
		s.scoreAgain(deployment, fence, work, sample, number)
	}
}

func (s *Service) scoreAgain(deployment *core.Deployment, fence core.Fence, work rollout.Work, sample core.Sample, number int) {
	if number >= scoreAttempts {
		s.rollouts.Retry(deployment.Name, fence, work)
		return
	}
	delay := s.random.Duration(retryBaseDelay << number)
	s.timers.After(delay, core.ClassRollout, func() { s.tryScore(deployment, fence, work, sample, number+1) })
}

func (s *Service) finishSample(fence core.Fence, work rollout.Work, sample core.Sample) {
	s.metrics.SamplesFinished.Inc(1)
	s.rollouts.Finish(fence, work, sample, s.ports.Clock.Now())
}
