package main

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/core/rollout"
)

// serviceScheduler adapts the service's own decisions of package rollout.
type serviceScheduler struct {
	*rollout.Book
	policy rollout.Policy
}

func newServiceScheduler(settings *core.Rollout) sampleScheduler {
	s := serviceScheduler{rollout.NewBook(0), rollout.Policy{
		GroupsPerStep: settings.GroupsPerStep, GroupSize: settings.GroupSize, MaxTokens: settings.MaxTokens,
		Bound: settings.StalenessBound, IdleWeight: settings.IdleWeight,
	}}
	s.Load(core.DeliveryRecord{}, []string{"prompt"})
	return s
}

func (s serviceScheduler) startRuns(limit int, now time.Time) []rollout.Work {
	return s.Start(s.policy, limit, now)
}

func (s serviceScheduler) completeRun(done rollout.Work, sample core.Sample, now time.Time) {
	if s.Generated(done, sample.Spans[0].To, now) {
		s.Finish(done, sample, now)
	}
}

func (s serviceScheduler) retryRun(failed rollout.Work)              { s.Retry(failed) }
func (s serviceScheduler) requestStep(step core.Step, now time.Time) { s.Asked(step, now) }
func (s serviceScheduler) publishVersion(version core.WeightVersion, now time.Time) {
	s.Published(version, now)
}
func (s serviceScheduler) finishedGroups() []delivery.Finished { return s.Finished() }
func (s serviceScheduler) pendingCount() int                   { return s.Pending() }
func (s serviceScheduler) undeliveredCount() int               { return s.Summary().Done }
func (s serviceScheduler) discardStale(ids []core.GroupID, trainer core.WeightVersion) {
	s.TooOld(ids, trainer, s.policy.Bound)
}

func (s serviceScheduler) recordDelivery(record core.DeliveryRecord, now time.Time) []rollout.Work {
	return s.Delivered(record, now)
}

func (s serviceScheduler) reviewRuns(observe func(rollout.Work) (int, core.WeightVersion), now time.Time) (move, cancel []rollout.Work) {
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
