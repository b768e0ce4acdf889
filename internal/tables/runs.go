package tables

import (
	"context"

	"fescuespar/internal/core/job"
	"fescuespar/internal/lockrank"
)

// Runs holds the cancel functions of the item runs in flight.
type Runs struct {
	// mu guards cancels.
	mu      lockrank.Mutex
	cancels map[job.RunID]context.CancelFunc
}

// NewRuns returns a table without runs.
func NewRuns() *Runs {
	return &Runs{mu: lockrank.New(lockrank.RankRuns), cancels: make(map[job.RunID]context.CancelFunc)}
}

// Begin adds a run in flight.
func (t *Runs) Begin(work job.RunID, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels[work] = cancel
}

// End removes a run.
func (t *Runs) End(work job.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancels, work)
}

// Cancel cancels the runs that are in flight and ignores the others.
func (t *Runs) Cancel(works []job.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, work := range works {
		if cancel := t.cancels[work]; cancel != nil {
			cancel()
		}
	}
}

// Count returns the number of runs in flight.
func (t *Runs) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.cancels)
}
