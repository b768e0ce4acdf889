package relay

import (
	"context"
	"fmt"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

const (
	// resultCommitTimeout is the timeout of one attempt to store results,
	// including the reads that follow a lost reply.
	resultCommitTimeout = 5 * time.Second
	// resultPutTimeout bounds the storing of the long results of one transaction, which
	// takes 25 ms each, or fifty times that when the store is slow. The rest of
	// resultCommitTimeout is for the transaction.
	resultPutTimeout = 3 * time.Second
	// maxResultsPerCommit is the number of results in one transaction. The store
	// accepts 100 entries, and each result may add a condition, its row and a row of
	// settled items.
	maxResultsPerCommit = 20
	// resultCommitInterval is the pause between two transactions, in which results
	// accumulate. One partition of the store accepts some hundred transactions a
	// second for all services.
	resultCommitInterval = 30 * time.Millisecond
)

// storeResults stores the results that are not stored yet, one transaction at a
// time per service. The condition on the lease's fence lets only the coordinator
// write, and the condition that the rows are absent prevents a position from
// being written twice.
func (s *Service) storeResults(service string) {
	holding, held := s.leases.Holding(coordinatorLease(service), s.ports.Clock.Now())
	if !held || !s.jobStorage.BeginResultWrite(service) {
		return
	}
	var results []job.PositionedResult
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) {
		results = job.FirstResults(scheduler.UnstoredResults(maxResultsPerCommit), job.MaxCommitResultBytes)
	})
	if len(results) == 0 {
		s.jobStorage.EndResultWrite(service)
		return
	}
	s.commitResults(service, results, core.Commit{Attempt: s.newAttemptID(), Conditions: []core.Condition{holding.Guard}})
}

// commitResults stores results and which items are settled by them. The same commit is repeated until its outcome is
// known, because another commit could assign the positions to other results.
func (s *Service) commitResults(service string, results []job.PositionedResult, commit core.Commit) {
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, resultCommitTimeout)
		defer cancel()
		var result core.CommitResult
		included, err := s.addResultWrites(ctx, service, results, &commit)
		results = results[:included]
		if err == nil {
			result, err = s.committer.Commit(ctx, commit)
		}
		s.recordStoreResult("results", err)
		s.pool.MustEnqueue(core.ClassRollout, func() { s.finishResultCommit(service, results, commit, result, err) })
	})
	if err != nil {
		s.timers.After(resultCommitInterval, core.ClassRollout, func() { s.commitResults(service, results, commit) })
	}
}

// addResultWrites adds the results' rows, the conditions that they are absent and the
// rows of the settled items to a commit, unless the commit has writes already. It returns
// the number of results that the commit includes: if a long result can't be stored now,
// those before it.
func (s *Service) addResultWrites(ctx context.Context, service string, results []job.PositionedResult, commit *core.Commit) (int, error) {
	if len(commit.Writes) > 0 {
		return len(results), nil
	}
	put, cancel := context.WithTimeout(ctx, resultPutTimeout)
	defer cancel()
	var writes []core.Write
	for _, result := range results {
		record, err := s.resultRecord(put, result)
		if err != nil && len(writes) == 0 {
			return 0, err
		}
		if err != nil {
			s.log.Debug().Err(err).Str("service", service).Int("results", len(results)).Int("included", len(writes)).Msg("long result not stored; committing those before it")
			break
		}
		writes = append(writes, core.Write{Key: resultKey(result.Job, result.Position), Record: record})
	}
	results = results[:len(writes)]
	for _, write := range writes {
		commit.Conditions = append(commit.Conditions, core.Condition{Key: write.Key})
	}
	var settled []job.SettledJob
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { settled = scheduler.SettledAfter(results) })
	for _, state := range settled {
		writes = append(writes, core.Write{Key: settledKey(state.Job), Record: state.Record})
	}
	commit.Writes = writes
	return len(results), nil
}

// resultRecord returns the record of a result's row. A result that is too long for
// a row is stored as an object to which the record refers.
func (s *Service) resultRecord(ctx context.Context, result job.PositionedResult) (core.ResultRecord, error) {
	if job.ResultBytes(&result.Result) <= s.options.MaxResultBytes {
		return core.ResultRecord{Result: result.Result}, nil
	}
	body, err := s.ports.Bodies.EncodeResult(result.Result)
	if err != nil {
		return core.ResultRecord{}, err
	}
	// The attempt ID makes the key unique: another coordinator may store another
	// result at the same position.
	key := core.ObjectKey(fmt.Sprintf("result-%s-%08d-%s", result.Job, result.Position, s.newAttemptID()))
	if err := s.ports.Objects.Put(ctx, key, body); err != nil {
		return core.ResultRecord{}, errkind.Wrap(errkind.StoreUnavailable, err, "store result of item %s", result.Result.Item)
	}
	return core.ResultRecord{Result: core.ItemResult{Item: result.Result.Item, State: result.Result.State}, Overflow: key}, nil
}

func (s *Service) finishResultCommit(service string, results []job.PositionedResult, commit core.Commit, result core.CommitResult, err error) {
	if errkind.Is(err, errkind.OutcomeUnknown) {
		s.timers.After(resultCommitInterval, core.ClassRollout, func() { s.commitResults(service, results, commit) })
		return
	}
	switch {
	case err != nil:
		s.log.Debug().Err(err).Str("service", service).Int("results", len(results)).Msg("results not stored; retrying")
	case !result.Applied:
		// If this process still holds the lease, the next read of jobs opens them again.
		s.log.Warn().Str("service", service).Int("results", len(results)).Msg("results refused: lease or positions have changed")
		s.dropJobs(service)
	default:
		s.metrics.ResultsStored.Inc(int64(len(results)))
		s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { scheduler.MarkStored(results) })
		for _, stored := range results {
			s.log.Info().Str("job", string(stored.Job)).Str("item", string(stored.Result.Item)).
				Int("position", stored.Position).Str("state", string(stored.Result.State)).
				Any("versions", stored.Result.Versions).Msg(logs.ResultListed)
		}
	}
	// Last, so that the next transaction does not include results stored by this one.
	s.jobStorage.EndResultWrite(service)
	s.timers.After(resultCommitInterval, core.ClassRollout, func() { s.storeResults(service) })
}
