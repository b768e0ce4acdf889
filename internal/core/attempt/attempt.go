// Package attempt decides what became of a commit whose reply was lost.
//
// Such a commit is neither a success nor a failure. Its rows are read again:
// the attempt id in a row that it wrote proves that it took effect, and rows
// that are all unchanged allow the very same commit to be sent again, because
// the late original and the repeat exclude each other by their conditions.
package attempt

import "fescuespar/internal/core"

// Verdict says what a re-read tells of a commit with an unknown outcome.
type Verdict int

// The verdicts.
const (
	// Applied means that the commit took effect.
	Applied Verdict = iota
	// Retry means that it has not taken effect but still may: send the same
	// commit again, with the same attempt id and conditions.
	Retry
	// Superseded means that it has not taken effect and never can.
	Superseded
	// MaybeApplied means that another commit changed every row that could tell:
	// whether this one took effect before is unknown.
	MaybeApplied
)

// String returns the verdict's name for logs and tests.
func (v Verdict) String() string {
	return [...]string{"applied", "retry", "superseded", "maybe_applied"}[v]
}

// Keys returns the rows that a re-read must cover to judge the commit: its
// written and conditioned rows, each once. All must come from one Read, which
// is a consistent snapshot.
func Keys(commit core.Commit) []core.RowKey {
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

// Judge compares a commit with the rows of Keys read after its reply was lost.
// A row missing from rows counts as changed. An absent row under a condition
// of version zero counts as unchanged, so a row inserted by a commit must not
// be deleted while a reply to that commit can still be outstanding.
func Judge(commit core.Commit, rows []core.Row) Verdict {
	read := index(rows)
	if carriesAttempt(commit, read) {
		return Applied
	}
	unchanged := conditionsHold(commit, read)
	untouched := untouchedWrite(commit, read)
	switch {
	case unchanged && untouched:
		return Retry
	case untouched:
		return Superseded
	default:
		return MaybeApplied
	}
}

func index(rows []core.Row) map[core.RowKey]core.Row {
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

// untouchedWrite reports whether a row that the commit both requires and
// writes is still at the required version: the commit would have changed it.
func untouchedWrite(commit core.Commit, read map[core.RowKey]core.Row) bool {
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
