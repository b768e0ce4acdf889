package claim

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/attempt"
)

// MaxBatchRows bounds the rows that one group commit writes.
const MaxBatchRows = 64

// Batch is one commit for several members that are independent of each other.
type Batch struct {
	Commit  core.Commit
	Members []core.Commit
}

// Split says what became of a batch's members.
type Split struct {
	Applied []core.Commit // took effect with the batch
	Refused []core.Commit // their condition does not hold: read the row and plan again
	Again   []core.Commit // still possible: put them into another batch
}

// NewBatch merges the first commits, up to MaxBatchRows rows, into one commit
// under a new attempt id. It returns the commits that must wait for the next
// batch: those beyond the bound and those on a row that the batch already has.
func NewBatch(id core.AttemptID, commits []core.Commit) (batch Batch, rest []core.Commit) {
	batch.Commit.Attempt = id
	taken := make(map[core.RowKey]bool)
	for _, commit := range commits {
		if len(batch.Commit.Writes)+len(commit.Writes) > MaxBatchRows || overlaps(commit, taken) {
			rest = append(rest, commit)
			continue
		}
		for _, key := range attempt.Keys(commit) {
			taken[key] = true
		}
		batch.Commit.Conditions = append(batch.Commit.Conditions, commit.Conditions...)
		batch.Commit.Writes = append(batch.Commit.Writes, commit.Writes...)
		batch.Members = append(batch.Members, commit)
	}
	return batch, rest
}

func overlaps(commit core.Commit, taken map[core.RowKey]bool) bool {
	for _, key := range attempt.Keys(commit) {
		if taken[key] {
			return true
		}
	}
	return false
}

// Settle divides the members after a reply arrived. A refused batch had no
// effect at all: its members without a failed condition go into another one.
func (b Batch) Settle(result core.CommitResult) Split {
	if result.Applied {
		return Split{Applied: b.Members}
	}
	failed := make(map[core.RowKey]bool, len(result.Failed))
	for _, key := range result.Failed {
		failed[key] = true
	}
	var split Split
	for _, member := range b.Members {
		if overlaps(member, failed) {
			split.Refused = append(split.Refused, member)
		} else {
			split.Again = append(split.Again, member)
		}
	}
	return split
}

// Resolve judges a batch whose reply was lost by a re-read of all its keys.
// With attempt.Retry the very same batch must be sent again and the split is
// empty. Otherwise the split holds every member; after attempt.MaybeApplied
// all of them are refused, as their rows were all changed by others.
func (b Batch) Resolve(rows []core.Row) (attempt.Verdict, Split) {
	verdict := attempt.Judge(b.Commit, rows)
	switch verdict {
	case attempt.Applied:
		return verdict, Split{Applied: b.Members}
	case attempt.Retry:
		return verdict, Split{}
	case attempt.MaybeApplied:
		return verdict, Split{Refused: b.Members}
	}
	var split Split
	for _, member := range b.Members {
		if attempt.Judge(member, rows) == attempt.Retry {
			split.Again = append(split.Again, member)
		} else {
			split.Refused = append(split.Refused, member)
		}
	}
	return verdict, split
}
