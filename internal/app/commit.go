package app

import (
	"context"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/ports"
)

// newCommitter returns the committer of this process, which updates the
// metrics.
func (s *Service) newCommitter(tables ports.TableService) commits.Committer {
	return commits.Committer{
		Tables:      tables,
		OnCommit:    func() { s.metrics.TableCommits.Inc(1) },
		OnRead:      func(rows int) { s.metrics.TableReads.Inc(int64(rows)) },
		OnReplyLost: func() { s.metrics.TableUnknown.Inc(1) },
	}
}

// newAttemptID returns a unique id for a commit.
func (s *Service) newAttemptID() core.AttemptID {
	return core.AttemptID(s.newAttemptName())
}

// commit sends a commit and resolves its outcome if the reply is lost. It runs
// on a lane.
func (s *Service) commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	return s.committer.Commit(ctx, commit)
}

// readRows reads rows and counts them in the metrics.
func (s *Service) readRows(ctx context.Context, keys ...core.RowKey) ([]core.Row, error) {
	return s.committer.Read(ctx, keys...)
}

// waitFor waits for a delay. It returns false if the context ended first.
func waitFor(ctx context.Context, delay time.Duration) bool { return commits.Sleep(ctx, delay) }
