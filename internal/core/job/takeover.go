package job

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Bounds of what one job may do to its coordinators.
const (
	// openingSettled is the time after which a coordinator that opened a job is not expected
	// to end because of it: one that exceeds its memory does so within a second.
	openingSettled = 2 * time.Second
	// suspectLosses is the number of coordinators in a row that ended sooner from which on a
	// job is opened alone.
	suspectLosses = 3
	// maxLosses is the number from which on it is not opened any more.
	maxLosses = 4
)

// Takeovers decides when a coordinator opens the jobs that it took over from another one.
// Each job's row counts the coordinators in a row that ended within a moment after they had
// opened it. A job with some such losses is opened when the others are open and no other one
// like it was opened a moment ago, so that the next loss tells which one is the cause; one
// with more is set aside, so that it doesn't end each process in turn.
//
// The load is a job that ends any process which opens it, beside steps of trainers that must
// go on; and coordinators that are killed one after the other, for which no job is to blame.
type Takeovers struct {
	inherited map[core.JobID]bool      // found by the first search after the lease was acquired
	isFirst   bool                     // that search has not ended
	openedAt  map[core.JobID]time.Time // of jobs with losses
	suspectAt time.Time                // when a suspect was opened last
}

// Begin begins a takeover: the jobs that the next search finds are inherited.
func (t *Takeovers) Begin() {
	*t = Takeovers{isFirst: true, inherited: make(map[core.JobID]bool), openedAt: make(map[core.JobID]time.Time)}
}

// Found tells the jobs that a search has found.
func (t *Takeovers) Found(ids []core.JobID) {
	if t.isFirst {
		t.isFirst = false
		for _, id := range ids {
			t.inherited[id] = true
		}
	}
}

// IsSetAside reports whether a job is not opened any more.
func IsSetAside(losses int) bool { return losses >= maxLosses }

// Open reports whether a job with a number of losses may be opened now, and whether this
// opening counts as a loss until it has settled.
func (t *Takeovers) Open(id core.JobID, losses int, now time.Time) (mayOpen, counts bool) {
	isSuspect := losses >= suspectLosses
	if IsSetAside(losses) || isSuspect && !t.suspectAt.IsZero() && now.Sub(t.suspectAt) < openingSettled {
		return false, false
	}
	if isSuspect {
		t.suspectAt = now
	}
	if !t.inherited[id] {
		return true, false
	}
	t.openedAt[id] = now
	return true, true
}

// IsSettled reports, once for each job, whether its opening has lasted.
func (t *Takeovers) IsSettled(id core.JobID, now time.Time) bool {
	openedAt, counted := t.openedAt[id]
	if !counted || now.Sub(openedAt) < openingSettled {
		return false
	}
	delete(t.openedAt, id)
	return true
}

// SortByLosses sorts rows of jobs so that those with the fewest losses are opened first.
func SortByLosses(rows []core.Row) {
	losses := func(row core.Row) int {
		record, _ := row.Record.(core.JobRecord)
		return record.Losses
	}
	slices.SortStableFunc(rows, func(a, b core.Row) int { return cmp.Compare(losses(a), losses(b)) })
}
