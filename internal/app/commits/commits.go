// Package commits sends commits to the table service and determines the outcome of
// a commit whose reply was lost.
package commits

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/attempt"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// Delays between the attempts to determine the outcome of a commit.
const (
	resolveFirstDelay = 20 * time.Millisecond
	resolveMaxDelay   = 500 * time.Millisecond
)

// Committer sends commits to one table service. Its methods block, so they run on
// a lane. The hooks count calls and must be set.
type Committer struct {
	Tables       ports.TableService
	ReplyTimeout time.Duration  // timeout of the reply to one commit; zero for the context's deadline
	OnCommit     func()         // before a commit is sent
	OnRead       func(rows int) // before rows are read
	OnReplyLost  func()         // after the reply to a commit was lost
}

// Commit sends a commit. If the reply is lost it reads the commit's rows again to
// determine the outcome, until the context ends. Errors: StoreUnavailable if the
// commit had no effect for certain, OutcomeUnknown.
func (c *Committer) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	result, err := c.send(ctx, commit)
	if !errkind.Is(err, errkind.OutcomeUnknown) {
		return result, err
	}
	c.OnReplyLost()
	for delay := resolveFirstDelay; ; delay = min(2*delay, resolveMaxDelay) {
		if !Sleep(ctx, delay) {
			return core.CommitResult{}, errkind.Wrap(errkind.OutcomeUnknown, err, "outcome of attempt %s not determined in time", commit.Attempt)
		}
		result, isFinal, undecidable := c.resolve(ctx, commit)
		if isFinal {
			return result, nil
		}
		if undecidable {
			return core.CommitResult{}, errkind.New(errkind.OutcomeUnknown, "rows of attempt %s were changed by another commit", commit.Attempt)
		}
	}
}

// send sends a commit once.
func (c *Committer) send(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	c.OnCommit()
	if c.ReplyTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.ReplyTimeout)
		defer cancel()
	}
	return c.Tables.Commit(ctx, commit)
}

// resolve reads the rows of a commit once and sends the commit again if it has not
// taken effect. It returns isFinal if the result is known and undecidable if it can
// no longer be determined.
func (c *Committer) resolve(ctx context.Context, commit core.Commit) (result core.CommitResult, isFinal, undecidable bool) {
	rows, err := c.Read(ctx, attempt.KeysToRead(commit)...)
	if err != nil {
		return core.CommitResult{}, false, false
	}
	switch attempt.Judge(commit, rows) {
	case attempt.Applied:
		return core.CommitResult{Applied: true, Version: versionOf(rows, commit.Attempt)}, true, false
	case attempt.Superseded:
		return core.CommitResult{Failed: changedKeys(commit, rows)}, true, false
	case attempt.MaybeApplied:
		return core.CommitResult{}, false, true
	default:
		result, err := c.send(ctx, commit)
		return result, err == nil && result.Applied, false
	}
}

// Read reads rows and counts them.
func (c *Committer) Read(ctx context.Context, keys ...core.RowKey) ([]core.Row, error) {
	c.OnRead(len(keys))
	return c.Tables.Read(ctx, keys)
}

// versionOf returns the version that an attempt wrote, zero if it wrote no row.
func versionOf(rows []core.Row, id core.AttemptID) core.RowVersion {
	for _, row := range rows {
		if row.Attempt == id {
			return row.Version
		}
	}
	return 0
}

// changedKeys returns the keys of the conditions that no longer hold.
func changedKeys(commit core.Commit, rows []core.Row) []core.RowKey {
	versions := make(map[core.RowKey]core.RowVersion, len(rows))
	for _, row := range rows {
		versions[row.Key] = row.Version
	}
	var failed []core.RowKey
	for _, condition := range commit.Conditions {
		if versions[condition.Key] != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// Sleep waits for a delay. It returns false if the context ended first.
func Sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
