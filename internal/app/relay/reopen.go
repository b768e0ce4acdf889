package relay

import (
	"context"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/core/account"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

const (
	// jobReadTimeout bounds one attempt to read what opening a job needs: five calls of the
	// store, which take 4 to 25 ms each, or fifty times that when the store is slow.
	jobReadTimeout = 5 * time.Second
	// jobReadRetryDelay is the time until the next attempt. It is shorter than the
	// outages of the store, so that a job runs again soon after one.
	jobReadRetryDelay = 500 * time.Millisecond
)

// jobRead is the progress of reading what opening a job needs. It is kept over attempts.
type jobRead struct {
	id       core.JobID
	found    *core.Job     // nil until it is read
	listed   []core.ItemID // items whose results are listed, as far as known
	hasIndex bool          // the record of settled items is read
	isEnded  bool          // the job ended meanwhile

	countsLoss bool // the opening counts as a loss until it has settled, and is not counted yet
}

// openJob reads a job and which of its items are settled, and starts the remaining items.
// What it reads does not grow with the number or size of the listed results.
func (s *Service) openJob(service string, read *jobRead) {
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, jobReadTimeout)
		defer cancel()
		err := s.continueJobRead(ctx, read)
		s.pool.MustEnqueue(core.ClassRollout, func() { s.finishJobRead(service, read, err) })
	})
	if err != nil {
		s.abandonJobRead(read.id)
	}
}

// abandonJobRead ends the read of a job that is not opened.
func (s *Service) abandonJobRead(id core.JobID) {
	s.jobStorage.ReleaseMemory(id)
	s.jobStorage.EndJobRead(id)
}

// finishJobRead starts a job that was read. After an error the read goes on later, where
// it stopped.
func (s *Service) finishJobRead(service string, read *jobRead, err error) {
	_, held := s.leases.Holding(coordinatorLease(service), s.ports.Clock.Now())
	if err != nil && held {
		s.log.Warn().Err(err).Str("job", string(read.id)).Int("listed", len(read.listed)).Msg("job read failed; it goes on where it stopped")
		s.timers.After(jobReadRetryDelay, core.ClassRollout, func() { s.openJob(service, read) })
		return
	}
	if err != nil || !held || read.isEnded {
		s.abandonJobRead(read.id)
		return
	}
	s.jobStorage.EndJobRead(read.id)
	s.jobStorage.ResizeMemory(read.id, job.Memory(read.found))
	s.startJob(service, *read.found, read.listed)
}

// continueJobRead reads what is missing of a job. It blocks and runs on a lane.
func (s *Service) continueJobRead(ctx context.Context, read *jobRead) error {
	if read.countsLoss { // before anything of the job is read
		if err := s.changeLosses(ctx, read.id, func(losses int) int { return losses + 1 }); err != nil {
			return err
		}
		read.countsLoss = false
	}
	if read.found == nil {
		found, err := s.loadJob(ctx, read.id, core.Caller{})
		if err != nil {
			return err
		}
		read.found = &found
	}
	if !read.hasIndex {
		rows, err := s.committer.Read(ctx, settledKey(read.id))
		if err != nil {
			return err
		}
		record, _ := rows[0].Record.(core.SettledRecord) // none before the first result
		read.listed, read.hasIndex = job.SettledItems(read.found, record), true
	}
	if err := s.readUnsettled(ctx, read); err != nil {
		return err
	}
	// Last, so that no item of a job starts that ended during a long read.
	_, record, err := s.readJobRow(ctx, read.id, core.Caller{})
	read.isEnded = record.Ended
	return err
}

// changeLosses changes the number of losses in a job's row.
func (s *Service) changeLosses(ctx context.Context, id core.JobID, change func(int) int) error {
	row, record, err := s.readJobRow(ctx, id, core.Caller{})
	if err != nil || record.Ended {
		return err
	}
	record.Losses = change(record.Losses)
	result, err := s.committer.Commit(ctx, core.Commit{
		Attempt:    s.newAttemptID(),
		Conditions: []core.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []core.Write{{Key: row.Key, Record: record}},
	})
	if err == nil && !result.Applied {
		err = errkind.New(errkind.StoreUnavailable, "the row of job %s changed meanwhile", id)
	}
	return err
}

// clearLosses records that this process has had a job open for a while.
func (s *Service) clearLosses(id core.JobID) {
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, jobReadTimeout)
		defer cancel()
		for {
			err := s.changeLosses(ctx, id, func(int) int { return 0 })
			if err == nil {
				return
			}
			s.log.Info().Err(err).Str("job", string(id)).Msg("losses of a job not cleared")
			if !commits.Sleep(ctx, jobReadRetryDelay) {
				return
			}
		}
	})
	if err != nil {
		s.log.Info().Err(err).Str("job", string(id)).Msg("losses of a job not cleared")
	}
}

// readUnsettled reads the results that the record of settled items does not contain.
// There are none unless another release of the program has listed them.
func (s *Service) readUnsettled(ctx context.Context, read *jobRead) error {
	for {
		rows, err := s.scanResults(ctx, read.id, len(read.listed))
		if err != nil {
			return err
		}
		for _, row := range rows {
			item, err := s.itemOfResult(ctx, row)
			if err != nil {
				return err
			}
			read.listed = append(read.listed, item)
		}
		if len(rows) < maxPageResults {
			return nil
		}
	}
}

// itemOfResult returns the item of a result's row. It reads an object only if the row does
// not name the item.
func (s *Service) itemOfResult(ctx context.Context, row core.Row) (core.ItemID, error) {
	if record, ok := row.Record.(core.ResultRecord); ok && record.Result.Item != "" {
		return record.Result.Item, nil
	}
	result, err := s.loadResult(ctx, row)
	return result.Item, err
}

func (s *Service) startJob(service string, found core.Job, finished []core.ItemID) {
	policy := job.Policy{Attempts: 1}
	if matched, err := s.RouteOf(found.Host, found.Path); err == nil {
		policy = job.Policy{
			Attempts: max(1, matched.Attempts), ItemLifetime: matched.ItemLife,
			SingleVersion: matched.SingleVersion, Priority: account.Priority(s.routes.Current(), &matched, found.Account), Account: found.Account,
		}
	}
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { scheduler.Open(found, finished, policy, s.ports.Clock.Now()) })
	s.log.Info().Str("job", string(found.ID)).Str("service", service).Int("items", len(found.Items)).
		Int("listed", len(finished)).Uint64("oldest_version", uint64(found.Oldest)).Msg(logs.JobOpened)
	s.startDueWork(service)
}
