// Package attempt decides what became of a commit whose reply was lost.
//
// The outcome of such a commit is unknown until its rows are read again. The
// attempt id in a row that the commit writes proves that it took effect. If no
// row has changed, the same commit may be sent again: the conditions of the
// delayed original and the retry exclude each other.
package attempt

import "fescuespar/internal/core"

// Verdict says what the re-read rows prove about a commit with an unknown
// outcome.
type Verdict int

// Verdicts on a commit.
const (
	// Applied means that the commit took effect.
	Applied Verdict = iota
	// Retry means that the commit has not taken effect but still may: send it
	// again with the same attempt id and conditions.
	Retry
	// Superseded means that the commit has not taken effect and never can.
	Superseded
	// MaybeApplied means that other commits have changed every row that could
	// show whether this one took effect before.
	MaybeApplied
)

// String returns the verdict's name for logs and tests.
func (v Verdict) String() string {
	return [...]string{"applied", "retry", "superseded", "maybe_applied"}[v]
}

// KeysToRead returns the keys of the rows that must be read again to judge the
// commit: those it writes or has conditions on, without duplicates. All must
// come from one Read, which is a consistent snapshot.
func KeysToRead(commit core.Commit) []core.RowKey {
	keys := make([]core.RowKey, 0, len(commit.Writes)+len(commit.Conditions))
	seen := make(map[core.RowKey]bool, cap(keys))
	add := func(key core.RowKey) {
		if !seen[key] {
			seen[key] = true
			keys = append(keys, key)
		}
	}
	for _, write := range commit.Writes {
		add(write.Key)
	}
	for _, condition := range commit.Conditions {
		add(condition.Key)
	}
	return keys
}

// Judge compares a commit with the rows of KeysToRead, read after its reply was
// lost. A row missing from rows counts as changed. An absent row with a
// condition on version zero counts as unchanged, so a row that a commit inserts
// must not be deleted while the reply to that commit can still be outstanding.
func Judge(commit core.Commit, rows []core.Row) Verdict {
	read := rowsByKey(rows)
	if carriesAttempt(commit, read) {
		return Applied
	}
	holds := conditionsHold(commit, read)
	hasUnchanged := hasUnchangedWrite(commit, read)
	switch {
	case holds && hasUnchanged:
		return Retry
	case hasUnchanged:
		return Superseded
	default:
		return MaybeApplied
	}
}

func rowsByKey(rows []core.Row) map[core.RowKey]core.Row {
	read := make(map[core.RowKey]core.Row, len(rows))
	for _, row := range rows {
		read[row.Key] = row
	}
	return read
}

func carriesAttempt(commit core.Commit, read map[core.RowKey]core.Row) bool {
	for _, write := range commit.Writes {
		row, found := read[write.Key]
		if found && row.Version != 0 && row.Attempt == commit.Attempt {
			return true
		}
	}
	return false
}

func conditionsHold(commit core.Commit, read map[core.RowKey]core.Row) bool {
	for _, condition := range commit.Conditions {
		row, found := read[condition.Key]
		if !found || row.Version != condition.Version {
			return false
		}
	}
	return true
}

// hasUnchangedWrite reports whether a row that the commit writes and has a
// condition on is still at the required version. If so, the commit has not
// taken effect, since it would have changed the row.
func hasUnchangedWrite(commit core.Commit, read map[core.RowKey]core.Row) bool {
	required := make(map[core.RowKey]core.RowVersion, len(commit.Conditions))
	for _, condition := range commit.Conditions {
		required[condition.Key] = condition.Version
	}
	for _, write := range commit.Writes {
		version, conditioned := required[write.Key]
		row, found := read[write.Key]
		if conditioned && found && row.Version == version {
			return true
		}
	}
	return false
}
