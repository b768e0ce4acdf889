package main

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/core/rollout"
)

// serviceScheduler adapts the service's own decisions of package rollout.
type serviceScheduler struct {
	*rollout.Scheduler
	policy rollout.Policy
}

func newServiceScheduler(settings *core.Rollout) sampleScheduler {
	s := serviceScheduler{rollout.NewScheduler(0), rollout.Policy{
		GroupsPerStep: settings.GroupsPerStep, GroupSize: settings.GroupSize, MaxTokens: settings.MaxTokens,
		StalenessBound: settings.StalenessBound, IdleWeight: settings.IdleWeight,
	}}
	s.Load(core.DeliveryRecord{}, []string{"prompt"})
	return s
}

func (s serviceScheduler) startRuns(limit int, now time.Time) []rollout.SampleRun {
	return s.Start(s.policy, limit, now)
}

func (s serviceScheduler) completeRun(done rollout.SampleRun, sample core.Sample, now time.Time) {
	if s.SampleGenerated(done, sample.Spans[0].To, now) {
		s.FinishSample(done, sample, now)
	}
}

func (s serviceScheduler) retryRun(failed rollout.SampleRun)         { s.RetrySample(failed) }
func (s serviceScheduler) requestStep(step core.Step, now time.Time) { s.StepRequested(step, now) }
func (s serviceScheduler) publishVersion(version core.WeightVersion, now time.Time) {
	s.VersionPublished(version, now)
}
func (s serviceScheduler) finishedGroups() []delivery.FinishedGroup { return s.CompleteGroups() }
func (s serviceScheduler) pendingCount() int                        { return s.PendingCount() }
func (s serviceScheduler) undeliveredCount() int                    { return s.Summary().Done }
func (s serviceScheduler) discardStale(ids []core.GroupID, trainer core.WeightVersion) {
	s.ResetStaleGroups(ids, trainer, s.policy.StalenessBound)
}

func (s serviceScheduler) recordDelivery(record core.DeliveryRecord, now time.Time) []rollout.SampleRun {
	return s.BatchDelivered(record, now)
}

func (s serviceScheduler) reviewRuns(observe func(rollout.SampleRun) (int, core.WeightVersion), now time.Time) (move, cancel []rollout.SampleRun) {
	if !s.ReviewDue(now) {
		return nil, nil
	}
	for _, running := range s.Running() {
		tokens, oldest := observe(running)
		s.Observe(running, rollout.Progress{Tokens: tokens, Oldest: oldest}, now)
	}
	orders := s.Review(s.policy, now)
	return orders.Move, orders.Cancel
}
