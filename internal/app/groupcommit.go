package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// groupCommitTimeout bounds one group commit, including resolving a lost reply.
const groupCommitTimeout = 10 * time.Second

// enqueueCommit adds a commit to the next group commit; ended runs in a step.
func (s *Service) enqueueCommit(commit core.Commit, ended func(tables.CommitOutcome)) {
	s.commits.Enqueue(commit, ended)
	s.flushCommits()
}

// flushCommits sends the next group commit unless one is in flight.
func (s *Service) flushCommits() {
	batch, ok := s.commits.BeginBatch(s.newAttemptID())
	if !ok {
		return
	}
	err := s.lanes.table.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, groupCommitTimeout)
		defer cancel()
		result, err := s.commit(ctx, batch.Commit)
		s.pool.MustEnqueue(core.ClassControl, func() {
			s.commits.EndBatch(batch, result, err)
			s.flushCommits()
		})
	})
	if err != nil {
		s.pool.MustEnqueue(core.ClassControl, func() {
			s.commits.EndBatch(batch, core.CommitResult{}, errkind.Wrap(errkind.StoreUnavailable, err, "cannot queue the commit: too many calls to the table service are waiting"))
			s.flushCommits()
		})
	}
}
