package tables

import (
	"context"

	"fescuespar/internal/core/job"
	"fescuespar/internal/lockrank"
)

// Runs holds the cancel functions of the work in flight on items: their runs and scorer
// calls. An item has one of them at a time.
type Runs struct {
	// mu guards cancels.
	mu      lockrank.Mutex
	cancels map[job.RunID]context.CancelFunc
}

// NewRuns returns an empty table.
func NewRuns() *Runs {
	return &Runs{mu: lockrank.New(lockrank.RankRuns), cancels: make(map[job.RunID]context.CancelFunc)}
}

// Begin adds work in flight.
func (t *Runs) Begin(run job.RunID, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels[run] = cancel
}

// End removes work.
func (t *Runs) End(run job.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancels, run)
}

// Cancel cancels the work that is in flight and ignores the rest.
func (t *Runs) Cancel(runs []job.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, run := range runs {
		if cancel := t.cancels[run]; cancel != nil {
			cancel()
		}
	}
}

// Count returns the number of runs and scorer calls in flight.
func (t *Runs) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.cancels)
}
