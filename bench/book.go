package main

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/core/rollout"
)

// ownBook is the service's own decision about groups and stragglers.
type ownBook struct {
	*rollout.Book
	policy rollout.Policy
}

func newOwnBook(demand *core.Rollout) book {
	b := ownBook{rollout.NewBook(0), rollout.Policy{
		GroupsPerStep: demand.GroupsPerStep, GroupSize: demand.GroupSize, MaxTokens: demand.MaxTokens,
		Bound: demand.StalenessBound, IdleWeight: demand.IdleWeight,
	}}
	b.Load(core.DeliveryRecord{}, []string{"prompt"})
	return b
}

func (b ownBook) start(limit int, now time.Time) []rollout.Work {
	return b.Start(b.policy, limit, now)
}

func (b ownBook) generated(done rollout.Work, sample core.Sample, now time.Time) {
	if b.Generated(done, sample.Spans[0].To, now) {
		b.Finish(done, sample, now)
	}
}

func (b ownBook) retry(failed rollout.Work)                           { b.Retry(failed) }
func (b ownBook) asked(step core.Step, now time.Time)                 { b.Asked(step, now) }
func (b ownBook) published(version core.WeightVersion, now time.Time) { b.Published(version, now) }
func (b ownBook) finished() []delivery.Finished                       { return b.Finished() }
func (b ownBook) pending() int                                        { return b.Pending() }
func (b ownBook) held() int                                           { return b.Summary().Done }
func (b ownBook) tooOld(ids []core.GroupID, trainer core.WeightVersion) {
	b.TooOld(ids, trainer, b.policy.Bound)
}

func (b ownBook) delivered(record core.DeliveryRecord, now time.Time) []rollout.Work {
	return b.Delivered(record, now)
}

func (b ownBook) review(observe func(rollout.Work) (int, core.WeightVersion), now time.Time) (move, cancel []rollout.Work) {
	if !b.ReviewDue(now) {
		return nil, nil
	}
	for _, running := range b.Running() {
		tokens, oldest := observe(running)
		b.Observe(running, rollout.Progress{Tokens: tokens, Oldest: oldest}, now)
	}
	orders := b.Review(b.policy, now)
	return orders.Move, orders.Cancel
}
