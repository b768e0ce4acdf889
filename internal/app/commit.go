package app

import (
	"context"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/ports"
)

// newCommitter returns the committer of this process, which feeds the metrics.
func (s *Service) newCommitter(tables ports.TableService) commits.Committer {
	return commits.Committer{
		Tables:    tables,
		OnCommit:  func() { s.metrics.TableCommits.Inc(1) },
		OnRead:    func(rows int) { s.metrics.TableReads.Inc(int64(rows)) },
		OnUnknown: func() { s.metrics.TableUnknown.Inc(1) },
	}
}

// newAttemptID names a commit so that no other one has the same name.
func (s *Service) newAttemptID() core.AttemptID {
	return core.AttemptID(s.newAttempt())
}

// commit sends a commit and settles a lost reply. It runs on a lane.
func (s *Service) commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	return s.committer.Commit(ctx, commit)
}

// read reads rows, counting them.
func (s *Service) read(ctx context.Context, keys ...core.RowKey) ([]core.Row, error) {
	return s.committer.Read(ctx, keys...)
}

// waitFor waits on a timer. It returns false when the context ended first.
func waitFor(ctx context.Context, delay time.Duration) bool { return commits.Wait(ctx, delay) }
