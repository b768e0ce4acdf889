package claim

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/attempt"
)

// MaxBatchRows limits the rows that one group commit writes.
const MaxBatchRows = 64

// Batch merges several independent commits, its members, into one commit.
type Batch struct {
	Commit  core.Commit
	Members []core.Commit
}

// BatchOutcome divides a batch's members by outcome.
type BatchOutcome struct {
	Applied []core.Commit // took effect with the batch
	Refused []core.Commit // a condition does not hold: read the row and call Plan again
	Retry   []core.Commit // may still take effect: add them to another batch
}

// NewBatch merges the first commits, up to MaxBatchRows rows, into one commit
// with the given attempt id. It returns the commits that must wait for the next
// batch: those beyond the limit, and those on a row that is already in the
// batch.
func NewBatch(id core.AttemptID, commits []core.Commit) (batch Batch, rest []core.Commit) {
	batch.Commit.Attempt = id
	rows := make(map[core.RowKey]bool)
	for _, commit := range commits {
		if len(batch.Commit.Writes)+len(commit.Writes) > MaxBatchRows || overlaps(commit, rows) {
			rest = append(rest, commit)
			continue
		}
		for _, key := range attempt.KeysToRead(commit) {
			rows[key] = true
		}
		batch.Commit.Conditions = append(batch.Commit.Conditions, commit.Conditions...)
		batch.Commit.Writes = append(batch.Commit.Writes, commit.Writes...)
		batch.Members = append(batch.Members, commit)
	}
	return batch, rest
}

// overlaps reports whether the commit writes or requires one of the rows.
func overlaps(commit core.Commit, rows map[core.RowKey]bool) bool {
	for _, key := range attempt.KeysToRead(commit) {
		if rows[key] {
			return true
		}
	}
	return false
}

// ApplyReply divides the members by the reply to the batch. A refused batch had no
// effect: its members without a failed condition can be added to another batch.
func (b Batch) ApplyReply(result core.CommitResult) BatchOutcome {
	if result.Applied {
		return BatchOutcome{Applied: b.Members}
	}
	failed := make(map[core.RowKey]bool, len(result.Failed))
	for _, key := range result.Failed {
		failed[key] = true
	}
	var outcome BatchOutcome
	for _, member := range b.Members {
		if overlaps(member, failed) {
			outcome.Refused = append(outcome.Refused, member)
		} else {
			outcome.Retry = append(outcome.Retry, member)
		}
	}
	return outcome
}

// Resolve judges a batch whose reply was lost from a re-read of all its keys.
// With attempt.Retry the same batch must be sent again and the outcome is empty.
// Otherwise the outcome holds every member; with attempt.MaybeApplied all of them
// are refused, because other commits have changed all their rows.
func (b Batch) Resolve(rows []core.Row) (attempt.Verdict, BatchOutcome) {
	verdict := attempt.Judge(b.Commit, rows)
	switch verdict {
	case attempt.Applied:
		return verdict, BatchOutcome{Applied: b.Members}
	case attempt.Retry:
		return verdict, BatchOutcome{}
	case attempt.MaybeApplied:
		return verdict, BatchOutcome{Refused: b.Members}
	}
	var outcome BatchOutcome
	for _, member := range b.Members {
		if attempt.Judge(member, rows) == attempt.Retry {
			outcome.Retry = append(outcome.Retry, member)
		} else {
			outcome.Refused = append(outcome.Refused, member)
		}
	}
	return verdict, outcome
}
