package rollout

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
)

// minReviewInterval is the minimum interval between two reviews of running
// samples.
const minReviewInterval = time.Second

// ReviewDue reports whether running samples should be observed and reviewed
// now.
func (s *Scheduler) ReviewDue(now time.Time) bool { return now.Sub(s.reviewedAt) >= minReviewInterval }

// ReviewActions lists the runs to move and the runs to cancel. TooOld is the
// number of samples that are restarted because they are, or are predicted to
// become, too old.
type ReviewActions struct {
	Move   []SampleRun
	Cancel []SampleRun
	TooOld int
}

// Review returns the actions on running samples. Samples that are too old, or
// are predicted to become so, are made pending.
func (s *Scheduler) Review(policy Policy, now time.Time) ReviewActions {
	s.reviewedAt = now
	actions := ReviewActions{TooOld: s.resetStaleSamples(s.timings.Newest(), policy.StalenessBound)}
	for _, action := range ReviewSamples(s.runningSamples(now), &s.history, &s.timings, policy.StalenessBound, policy.MaxTokens, now) {
		group := s.groups[action.ID.Group]
		row := &group.samples[action.ID.Index]
		work := SampleRun{ID: action.ID, Run: row.run}
		if action.Action == Move {
			row.moves++
			row.lastTokenAt = now // restarts the stall timer on the new engine
			actions.Move = append(actions.Move, work)
			continue
		}
		s.skew.AddEnded(row.tokens)
		s.margin.AddTooOld(1)
		row.restarts++
		s.resetSample(row, group)
		actions.Cancel = append(actions.Cancel, work)
		actions.TooOld++
	}
	return actions
}

func (s *Scheduler) runningSamples(now time.Time) []RunningSample {
	running := make([]RunningSample, 0, s.runningCount)
	median := s.history.Tokens.Quantile(0.5)
	for id, group := range s.groups {
		scale := Scale(median, group.lengths())
		for index := range group.samples {
			row := &group.samples[index]
			if row.state != sampleRunning {
				continue
			}
			running = append(running, RunningSample{
				ID: core.SampleID{Group: id, Index: index}, Elapsed: now.Sub(row.startedAt), Tokens: row.tokens,
				Rate: row.rate, Oldest: row.oldest, Moves: row.moves, Restarts: row.restarts, Scale: scale,
				StalledFor: row.stalledFor(now),
			})
		}
	}
	return running
}

// stalledFor returns how long a running sample has generated no token since its
// latest one, or zero before the first token.
func (r *sampleRow) stalledFor(now time.Time) time.Duration {
	if r.tokens == 0 {
		return 0
	}
	return now.Sub(r.lastTokenAt)
}

// resetStaleSamples makes finished samples pending that are too old for the
// trainer's weights. It returns their number.
func (s *Scheduler) resetStaleSamples(trainer core.WeightVersion, bound uint64) int {
	count := 0
	for _, group := range s.groups {
		count += s.resetStaleSamplesOf(group, trainer, bound)
	}
	return count
}

func (s *Scheduler) resetStaleSamplesOf(group *groupRow, trainer core.WeightVersion, bound uint64) int {
	count := 0
	for index := range group.samples {
		row := &group.samples[index]
		if row.state == sampleDone && !delivery.IsFresh(row.oldest, trainer, bound) {
			s.resetSample(row, group)
			count++
		}
	}
	s.margin.AddTooOld(count)
	return count
}

// StepRequested records that the trainer requested a step.
func (s *Scheduler) StepRequested(step core.Step, now time.Time) {
	if step == s.record.LastStep+1 {
		s.timings.StepRequested(step, now)
	}
}

// CompleteGroups returns the complete groups.
func (s *Scheduler) CompleteGroups() []delivery.FinishedGroup {
	var finished []delivery.FinishedGroup
	for id, group := range s.groups {
		if group.done == len(group.samples) {
			finished = append(finished, delivery.FinishedGroup{ID: id, OldestVersion: group.oldestVersion()})
		}
	}
	return finished
}

// oldestVersion returns the oldest weights of a complete group, or zero if they
// are unknown.
func (g *groupRow) oldestVersion() core.WeightVersion {
	oldest := g.samples[0].oldest
	for i := range g.samples {
		oldest = min(oldest, g.samples[i].oldest)
	}
	return oldest
}

func (g *groupRow) completeGroup(id core.GroupID) core.Group {
	group := core.Group{ID: id, Samples: make([]core.Sample, 0, len(g.samples))}
	for i := range g.samples {
		group.Samples = append(group.Samples, g.samples[i].sample)
	}
	return group
}

// Groups returns the given groups with their samples. Groups that are no longer
// complete are omitted.
func (s *Scheduler) Groups(ids []core.GroupID) []core.Group {
	var groups []core.Group
	for _, id := range ids {
		if group := s.groups[id]; group != nil && group.done == len(group.samples) {
			groups = append(groups, group.completeGroup(id))
		}
	}
	return groups
}

// ResetStaleGroups makes those samples of the given groups pending that are too
// old for the trainer's weights. It returns their number.
func (s *Scheduler) ResetStaleGroups(ids []core.GroupID, trainer core.WeightVersion, bound uint64) int {
	count := 0
	for _, id := range ids {
		if group := s.groups[id]; group != nil {
			count += s.resetStaleSamplesOf(group, trainer, bound)
		}
	}
	return count
}

// BatchDelivered updates the Scheduler with the record written by a batch's
// commit. It returns the runs, to be cancelled, of groups that are now closed.
func (s *Scheduler) BatchDelivered(record core.DeliveryRecord, now time.Time) (closed []SampleRun) {
	s.record = record
	s.timings.StepFixed(record.LastVersion, now)
	s.planPolicy = nil
	return s.dropDelivered()
}

// dropDelivered removes the groups that are delivered or closed. It returns the
// runs, to be cancelled, of their running samples.
func (s *Scheduler) dropDelivered() (closed []SampleRun) {
	for id, group := range s.groups {
		if !delivery.IsDelivered(s.record, id) {
			continue
		}
		complete := group.done == len(group.samples)
		for index := range group.samples {
			row := &group.samples[index]
			if complete {
				s.skew.AddDelivered(row.tokens)
			} else if row.state == sampleRunning {
				closed = append(closed, SampleRun{ID: core.SampleID{Group: id, Index: index}, Run: row.run})
				s.skew.AddEnded(row.tokens)
				s.runningCount--
			}
		}
		delete(s.groups, id)
	}
	return closed
}

// Summary is the Scheduler's part of the state dump.
type Summary struct {
	LastStep    core.Step     `json:"last_step"`
	Groups      int           `json:"groups"`
	Open        int           `json:"groups_open"`
	Running     int           `json:"samples_running"`
	Done        int           `json:"samples_done"`
	IdleShare   float64       `json:"trainer_idle_share"`
	Asked       core.Step     `json:"asked_step"`           // latest step requested by the trainer
	WaitsSince  time.Time     `json:"waits_since,omitzero"` // when the trainer requested a step that is not yet fixed
	Work        time.Duration `json:"trainer_work"`         // mean time per step
	LengthRatio float64       `json:"length_ratio"`         // mean tokens of delivered samples / mean tokens of started samples
}

// Summary returns counts and statistics of the Scheduler.
func (s *Scheduler) Summary() Summary {
	summary := Summary{
		LastStep: s.record.LastStep, Groups: len(s.groups), Open: s.plan.Groups, Running: s.runningCount,
		IdleShare: s.timings.IdleShare(), LengthRatio: s.skew.Ratio(),
		Asked: s.timings.requestedStep, Work: s.timings.StepWork,
	}
	if s.timings.requestedStep > s.record.LastStep {
		summary.WaitsSince = s.timings.requestedAt
	}
	for _, group := range s.groups {
		summary.Done += group.done
	}
	return summary
}
