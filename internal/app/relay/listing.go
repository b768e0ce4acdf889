package relay

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

const (
	// listTimeout bounds one try to store results, with the settling of a lost reply.
	listTimeout = 5 * time.Second
	// listAtOnce is how many results one transaction stores: the store takes 100
	// entries and 1 MB, and a long result is a third of a row's bound.
	listAtOnce = 20
	// listPause lets results gather between two transactions: one part of the
	// store takes some hundred a second for all services.
	listPause = 30 * time.Millisecond
)

// storeResults stores the results that wait, one transaction at a time for each
// service. The lease's guard lets only the coordinator list results, and the
// rows' absence keeps a position from being written twice.
func (s *Service) storeResults(service string) {
	holding, held := s.leases.Held(coordinatorLease(service), s.ports.Clock.Now())
	if !held || !s.stored.BeginList(service) {
		return
	}
	var listings []job.Listing
	s.jobs.With(service, func(b *job.Book) { listings = b.Results(listAtOnce) })
	if len(listings) == 0 {
		s.stored.EndList(service)
		return
	}
	s.list(service, listings, core.Commit{Attempt: s.newAttemptID(), Conditions: []core.Condition{holding.Guard}})
}

// list stores results. The same commit is sent until its outcome is known,
// since another one could give the positions to other results.
func (s *Service) list(service string, listings []job.Listing, commit core.Commit) {
	err := s.lanes.store.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		err := s.fill(ctx, listings, &commit)
		var result core.CommitResult
		if err == nil {
			result, err = s.committer.Commit(ctx, commit)
		}
		s.storeAnswered("results", err)
		s.pool.MustEnqueue(core.ClassRollout, func() { s.listed(service, listings, commit, result, err) })
	})
	if err != nil {
		s.timers.After(listPause, core.ClassRollout, func() { s.list(service, listings, commit) })
	}
}

// fill adds the writes of the results to a commit that has none yet.
func (s *Service) fill(ctx context.Context, listings []job.Listing, commit *core.Commit) error {
	if len(commit.Writes) > 0 {
		return nil
	}
	var writes []core.Write
	for _, listing := range listings {
		record, err := s.recordOf(ctx, listing)
		if err != nil {
			return err
		}
		writes = append(writes, core.Write{Key: resultKey(listing.Job, listing.Position), Record: record})
	}
	for _, write := range writes {
		commit.Conditions = append(commit.Conditions, core.Condition{Key: write.Key})
	}
	commit.Writes = writes
	return nil
}

// recordOf returns a result's row, with the result in an object of its own when
// it is too long for a row.
func (s *Service) recordOf(ctx context.Context, listing job.Listing) (core.ResultRecord, error) {
	if len(listing.Result.Text) <= s.options.ResultBytes {
		return core.ResultRecord{Result: listing.Result}, nil
	}
	body, err := s.ports.Bodies.EncodeResult(listing.Result)
	if err != nil {
		return core.ResultRecord{}, err
	}
	// The attempt's name makes the object this listing's own: another coordinator
	// may store another text for the same item.
	key := core.ObjectKey("result-" + string(listing.Job) + "-" + string(listing.Result.Item) + "-" + string(s.newAttemptID()))
	if err := s.ports.Objects.Put(ctx, key, body); err != nil {
		return core.ResultRecord{}, errkind.Wrap(errkind.StoreUnavailable, err, "result of item %s", listing.Result.Item)
	}
	return core.ResultRecord{Overflow: key}, nil
}

func (s *Service) listed(service string, listings []job.Listing, commit core.Commit, result core.CommitResult, err error) {
	if errkind.Is(err, errkind.OutcomeUnknown) {
		s.timers.After(listPause, core.ClassRollout, func() { s.list(service, listings, commit) })
		return
	}
	switch {
	case err != nil:
		s.log.Debug().Err(err).Str("service", service).Int("results", len(listings)).Msg("results not stored yet")
	case !result.Applied:
		s.log.Warn().Str("service", service).Int("results", len(listings)).Msg("results refused: lease or positions have changed")
		s.dropJobs(service)
	default:
		s.metrics.ResultsStored.Inc(int64(len(listings)))
		s.jobs.With(service, func(b *job.Book) { b.Stored(listings) })
		for _, listing := range listings {
			s.log.Info().Str("job", string(listing.Job)).Str("item", string(listing.Result.Item)).
				Int("position", listing.Position).Str("state", string(listing.Result.State)).
				Any("versions", listing.Result.Versions).Msg(logs.ResultListed)
		}
	}
	// Only now: the next transaction must see which results are stored.
	s.stored.EndList(service)
	s.timers.After(listPause, core.ClassRollout, func() { s.storeResults(service) })
}

// dropJobs forgets a service's jobs, whose rows another coordinator has changed.
// If this process holds the lease it opens them anew.
func (s *Service) dropJobs(service string) {
	var cancel []job.Work
	s.jobs.With(service, func(b *job.Book) { cancel = b.Clear() })
	s.runs.Cancel(cancel)
}
