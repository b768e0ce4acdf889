package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/rendezvous"
	"fescuespar/internal/core/software"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

const (
	// settleInterval is the interval at which one process lets services settle on a new base
	// version.
	settleInterval = time.Minute
	// streamSweepInterval is the interval at which one process removes the rows of streams
	// whose process has not done so. It reads all rows.
	streamSweepInterval = 10 * time.Minute
)

// storeStream stores a row with the software of a stream, and removes it once the caller can
// no longer resume the stream.
func (s *Service) storeStream(st *eventStream, recorded chan<- error) {
	key := core.RowKey{Table: core.TableStream, ID: software.OwnPartition(s.options.Self.VM) + software.RowName(st.request.Account, st.request.ID)}
	s.enqueueStreamCommit(key, core.StreamRecord{Service: st.service, Software: st.software}, func(err error) { recorded <- err })
	lifetime := software.RowLifetime(st.callerDeadline, s.ports.Clock.Now(), s.streamHorizon())
	s.timers.After(lifetime, core.ClassControl, func() { s.enqueueStreamCommit(key, nil, func(error) {}) })
}

// enqueueStreamCommit adds a row of a stream, or its removal, to the next group commit and
// calls ended with the outcome.
func (s *Service) enqueueStreamCommit(key core.RowKey, record core.Record, ended func(error)) {
	commit := core.Commit{Attempt: s.newAttemptID(), Writes: []core.Write{{Key: key, Record: record}}}
	s.streamCommits.Enqueue(commit, func(outcome tables.CommitOutcome) { ended(outcome.Err) })
	s.flushStreamCommits()
}

// flushStreamCommits sends the next group commit of rows of streams, unless one is in
// flight or the last one was too recent.
func (s *Service) flushStreamCommits() {
	now := s.ports.Clock.Now()
	if delay := time.Duration(s.streamCommitNotBefore.Load() - now.UnixNano()); delay > 0 {
		if s.streamCommitScheduled.CompareAndSwap(false, true) {
			s.timers.After(delay, core.ClassControl, func() {
				s.streamCommitScheduled.Store(false)
				s.flushStreamCommits()
			})
		}
		return
	}
	batch, ok := s.streamCommits.BeginBatch(s.newAttemptID())
	if !ok {
		return
	}
	s.streamCommitNotBefore.Store(now.Add(announce.StreamWriteInterval(len(s.members.Live()), s.options.StoreWritesPerSecond)).UnixNano())
	end := func(result core.CommitResult, err error) {
		s.pool.MustEnqueue(core.ClassControl, func() {
			s.streamCommits.EndBatch(batch, result, err)
			s.flushStreamCommits()
		})
	}
	err := s.lanes.software.Go(func(lane context.Context) {
		ctx, cancel := context.WithTimeout(lane, softwareCallTimeout)
		defer cancel()
		result, err := s.committer.Commit(ctx, batch.Commit)
		s.recordStoreResult("software", err)
		end(result, err)
	})
	if err != nil {
		end(core.CommitResult{}, errkind.Wrap(errkind.StoreUnavailable, err, "rows of streams not stored"))
	}
}

// isSweeper reports whether this process is the one that settles base versions and removes
// rows that others have left.
func (s *Service) isSweeper() bool {
	live := s.members.Live()
	first := slices.MinFunc(append(live, core.Member{VM: s.options.Self.VM}), func(a, b core.Member) int {
		return cmp.Compare(rendezvous.Rank(softwarePrefix, string(a.VM)), rendezvous.Rank(softwarePrefix, string(b.VM)))
	})
	return len(live) > 0 && first.VM == s.options.Self.VM
}

// runAsSweeper runs work on a lane if this process is the one for it.
func (s *Service) runAsSweeper(what string, work func(context.Context) error) {
	if !s.isSweeper() {
		return
	}
	err := s.lanes.software.Go(func(lane context.Context) {
		ctx, cancel := context.WithTimeout(lane, settleInterval)
		defer cancel()
		if err := work(ctx); err != nil {
			s.log.Info().Err(err).Str("what", what).Msg("software versions not maintained")
		}
	})
	if err != nil {
		s.log.Info().Err(err).Str("what", what).Msg("software versions not maintained")
	}
}

// settleVersions lets services settle on a new base version.
func (s *Service) settleVersions() { s.runAsSweeper("base versions", s.settleSoftware) }

// sweepStreams removes rows of streams that nobody can resume any more.
func (s *Service) sweepStreams() { s.runAsSweeper("rows of streams", s.removeExpiredStreams) }

func (s *Service) settleSoftware(ctx context.Context) error {
	rows, err := s.ports.Tables.Scan(ctx, core.TableSoftware, softwarePrefix, "", tablePageRows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		record, ok := row.Record.(core.SoftwareRecord)
		service := row.Key.ID[len(softwarePrefix):]
		version, lasted := s.software.OnlyVersion(service)
		next, changed := software.Settle(record, version, lasted, s.streamHorizon())
		if !ok || !changed {
			continue
		}
		if _, err := s.commitSoftware(ctx, service, next, row.Version); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) removeExpiredStreams(ctx context.Context) error {
	var rows []core.Row
	for _, partition := range software.Partitions() {
		for after := ""; ; after = rows[len(rows)-1].Key.ID {
			page, err := s.ports.Tables.Scan(ctx, core.TableStream, partition, after, tablePageRows)
			if err != nil {
				return err
			}
			rows = append(rows, page...)
			if len(page) < tablePageRows {
				break
			}
		}
	}
	for _, row := range s.software.ExpiredStreams(rows, s.ports.Clock.Now(), s.streamHorizon()) {
		s.enqueueStreamCommit(row.Key, nil, func(error) {})
	}
	return nil
}

// streamHorizon returns the time after which no stream is resumed any more.
func (s *Service) streamHorizon() time.Duration {
	longest := time.Duration(0)
	if table := s.routes.Current(); table != nil {
		for i := range table.Routes {
			if table.Routes[i].Kind == core.RouteStream {
				longest = max(longest, table.Routes[i].Timeout)
			}
		}
	}
	return software.Horizon(longest)
}
