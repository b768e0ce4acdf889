// Package commits sends commits to the table service and finds out what became
// of one whose reply was lost.
package commits

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/attempt"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// Delays between the tries to find out what became of a commit.
const (
	settleFirstDelay = 20 * time.Millisecond
	settleMaxDelay   = 500 * time.Millisecond
)

// Committer sends commits to one table service. Its methods block and run on a
// lane. The hooks count calls.
type Committer struct {
	Tables    ports.TableService
	Try       time.Duration  // longest wait for one reply to a commit; zero for the context's time
	OnCommit  func()         // a commit is sent
	OnRead    func(rows int) // rows are read
	OnUnknown func()         // a commit's reply was lost
}

// Commit sends a commit and, when its reply is lost, finds out what became of
// it by re-reading its rows, until the context ends. Errors: StoreUnavailable
// when it surely had no effect, OutcomeUnknown.
func (c *Committer) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	result, err := c.send(ctx, commit)
	if !errkind.Is(err, errkind.OutcomeUnknown) {
		return result, err
	}
	c.OnUnknown()
	for delay := settleFirstDelay; ; delay = min(2*delay, settleMaxDelay) {
		if !Wait(ctx, delay) {
			return core.CommitResult{}, errkind.Wrap(errkind.OutcomeUnknown, err, "attempt %s was not settled in time", commit.Attempt)
		}
		result, settled, giveUp := c.settle(ctx, commit)
		if settled {
			return result, nil
		}
		if giveUp {
			return core.CommitResult{}, errkind.New(errkind.OutcomeUnknown, "the rows of attempt %s were changed since", commit.Attempt)
		}
	}
}

// send sends a commit once.
func (c *Committer) send(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	c.OnCommit()
	if c.Try > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Try)
		defer cancel()
	}
	return c.Tables.Commit(ctx, commit)
}

// settle re-reads the rows of a commit once, and repeats it when it has not
// taken effect yet.
func (c *Committer) settle(ctx context.Context, commit core.Commit) (result core.CommitResult, settled, giveUp bool) {
	rows, err := c.Read(ctx, attempt.Keys(commit)...)
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

// Read reads rows, counting them.
func (c *Committer) Read(ctx context.Context, keys ...core.RowKey) ([]core.Row, error) {
	c.OnRead(len(keys))
	return c.Tables.Read(ctx, keys)
}

func versionOf(rows []core.Row, id core.AttemptID) core.RowVersion {
	for _, row := range rows {
		if row.Attempt == id {
			return row.Version
		}
	}
	return 0
}

// changedKeys returns the keys whose condition no longer holds.
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

// Wait waits on a timer. It returns false when the context ended first.
func Wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
