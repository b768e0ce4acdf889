package tables

import (
	"context"

	"fescuespar/internal/core/job"
	"fescuespar/internal/lockrank"
)

// Runs holds how to cancel the runs of items that are in flight.
type Runs struct {
	// mu guards cancels.
	mu      lockrank.Mutex
	cancels map[job.Work]context.CancelFunc
}

// NewRuns returns a table without runs.
func NewRuns() *Runs {
	return &Runs{mu: lockrank.New(lockrank.RankRuns), cancels: make(map[job.Work]context.CancelFunc)}
}

// Begin notes a run in flight.
func (t *Runs) Begin(work job.Work, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels[work] = cancel
}

// End forgets a run.
func (t *Runs) End(work job.Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancels, work)
}

// Cancel cancels runs; those that have ended are passed over.
func (t *Runs) Cancel(works []job.Work) {
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
