package rollout

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
)

// reviewEvery is the shortest time between two reviews of running samples.
const reviewEvery = time.Second

// ReviewDue reports whether running samples should be observed and reviewed.
func (b *Book) ReviewDue(now time.Time) bool { return now.Sub(b.reviewed) >= reviewEvery }

// Orders says which runs are moved and which are ended; TooOld counts the
// samples that are run again because they were, or were bound to become, too
// old.
type Orders struct {
	Move   []Work
	Cancel []Work
	TooOld int
}

// Review decides about the running samples and makes those pending that can no
// longer be fresh.
func (b *Book) Review(policy Policy, now time.Time) Orders {
	b.reviewed = now
	orders := Orders{TooOld: b.dropStale(b.pace.Newest(), policy.Bound)}
	for _, step := range Review(b.snapshot(now), &b.history, &b.pace, policy.Bound, policy.MaxTokens, now) {
		group := b.groups[step.ID.Group]
		row := &group.samples[step.ID.Index]
		work := Work{ID: step.ID, Run: row.run}
		if step.Action == Move {
			row.moves++
			row.grewAt = now // it may stall anew where it goes
			orders.Move = append(orders.Move, work)
			continue
		}
		b.skew.Ended(row.tokens)
		b.margin.TooOld(1)
		row.reruns++
		b.reset(row, group)
		orders.Cancel = append(orders.Cancel, work)
		orders.TooOld++
	}
	return orders
}

func (b *Book) snapshot(now time.Time) []Running {
	running := make([]Running, 0, b.running)
	median := b.history.Tokens.Quantile(0.5)
	for id, group := range b.groups {
		scale := Scale(median, group.lengths())
		for index := range group.samples {
			row := &group.samples[index]
			if row.state != sampleRunning {
				continue
			}
			running = append(running, Running{
				ID: core.SampleID{Group: id, Index: index}, Elapsed: now.Sub(row.startedAt), Tokens: row.tokens,
				Rate: row.rate, Oldest: row.oldest, Moves: row.moves, Reruns: row.reruns, Scale: scale,
				Still: row.still(now),
			})
		}
	}
	return running
}

// still returns for how long a running sample that has tokens has got no more.
func (r *sampleRow) still(now time.Time) time.Duration {
	if r.tokens == 0 {
		return 0
	}
	return now.Sub(r.grewAt)
}

// dropStale makes finished samples pending that are too old for a trainer.
func (b *Book) dropStale(trainer core.WeightVersion, bound uint64) int {
	count := 0
	for _, group := range b.groups {
		count += b.dropStaleOf(group, trainer, bound)
	}
	return count
}

func (b *Book) dropStaleOf(group *groupRow, trainer core.WeightVersion, bound uint64) int {
	count := 0
	for index := range group.samples {
		row := &group.samples[index]
		if row.state == sampleDone && !delivery.Fresh(row.oldest, trainer, bound) {
			b.reset(row, group)
			count++
		}
	}
	b.margin.TooOld(count)
	return count
}

// Asked notes that the trainer asks for a step.
func (b *Book) Asked(step core.Step, now time.Time) {
	if step == b.record.LastStep+1 {
		b.pace.Asked(step, now)
	}
}

// Finished returns the whole groups.
func (b *Book) Finished() []delivery.Finished {
	var finished []delivery.Finished
	for id, group := range b.groups {
		if group.done == len(group.samples) {
			finished = append(finished, delivery.Finished{ID: id, Oldest: group.oldest()})
		}
	}
	return finished
}

// oldest returns the oldest weights of a whole group, zero when unknown.
func (g *groupRow) oldest() core.WeightVersion {
	oldest := g.samples[0].oldest
	for i := range g.samples {
		oldest = min(oldest, g.samples[i].oldest)
	}
	return oldest
}

func (g *groupRow) whole(id core.GroupID) core.Group {
	group := core.Group{ID: id, Samples: make([]core.Sample, 0, len(g.samples))}
	for i := range g.samples {
		group.Samples = append(group.Samples, g.samples[i].sample)
	}
	return group
}

// Groups returns whole groups; one that is no longer whole is left out.
func (b *Book) Groups(ids []core.GroupID) []core.Group {
	var groups []core.Group
	for _, id := range ids {
		if group := b.groups[id]; group != nil && group.done == len(group.samples) {
			groups = append(groups, group.whole(id))
		}
	}
	return groups
}

// TooOld makes the samples of finished groups pending that are too old for a
// trainer's weights. It returns their number.
func (b *Book) TooOld(ids []core.GroupID, trainer core.WeightVersion, bound uint64) int {
	count := 0
	for _, id := range ids {
		if group := b.groups[id]; group != nil {
			count += b.dropStaleOf(group, trainer, bound)
		}
	}
	return count
}

// Delivered takes the record that a batch's commit wrote, for a trainer at the
// given weights. It returns the runs of groups that are now closed.
func (b *Book) Delivered(record core.DeliveryRecord, now time.Time) (closed []Work) {
	b.record = record
	b.pace.Fixed(record.LastVersion, now)
	b.planned = nil
	return b.dropDelivered()
}

// dropDelivered drops the groups that are delivered or closed and returns the
// runs that this ends.
func (b *Book) dropDelivered() (closed []Work) {
	for id, group := range b.groups {
		if !delivery.Delivered(b.record, id) {
			continue
		}
		whole := group.done == len(group.samples)
		for index := range group.samples {
			row := &group.samples[index]
			if whole {
				b.skew.Delivered(row.tokens)
			} else if row.state == sampleRunning {
				closed = append(closed, Work{ID: core.SampleID{Group: id, Index: index}, Run: row.run})
				b.skew.Ended(row.tokens)
				b.running--
			}
		}
		delete(b.groups, id)
	}
	return closed
}

// Summary is a book's part of the state dump.
type Summary struct {
	LastStep    core.Step     `json:"last_step"`
	Groups      int           `json:"groups"`
	Open        int           `json:"groups_open"`
	Running     int           `json:"samples_running"`
	Done        int           `json:"samples_done"`
	IdleShare   float64       `json:"trainer_idle_share"`
	Asked       core.Step     `json:"asked_step"`           // step that the trainer asked for last
	WaitsSince  time.Time     `json:"waits_since,omitzero"` // when it asked for a step that is not yet fixed
	Work        time.Duration `json:"trainer_work"`         // usual, on one step
	LengthRatio float64       `json:"length_ratio"`         // mean tokens delivered / mean tokens started
}

// Summary counts the book's work.
func (b *Book) Summary() Summary {
	summary := Summary{
		LastStep: b.record.LastStep, Groups: len(b.groups), Open: b.plan.Groups, Running: b.running,
		IdleShare: b.pace.IdleShare(), LengthRatio: b.skew.Ratio(),
		Asked: b.pace.asked, Work: b.pace.Work,
	}
	if b.pace.asked > b.record.LastStep {
		summary.WaitsSince = b.pace.askedAt
	}
	for _, group := range b.groups {
		summary.Done += group.done
	}
	return summary
}
