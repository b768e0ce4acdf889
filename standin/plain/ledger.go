package plain

import (
	"cmp"
	"context"
	"slices"

	"fescuespar/internal/lockrank"
)

// Run counts the runs of one call.
type Run struct {
	Key  string `json:"key"` // idempotency key, empty for calls without
	Path string `json:"path"`
	Runs int    `json:"runs"`
}

// call identifies calls that count as the same.
type call struct {
	key  string
	path string
}

// Ledger records the runs of a service's calls.
type Ledger struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	runs    map[call]int
	changed chan struct{} // closed and replaced at every run
}

// NewLedger returns a ledger without runs.
func NewLedger() *Ledger {
	return &Ledger{mu: lockrank.New(lockrank.RankOutside), runs: make(map[call]int), changed: make(chan struct{})}
}

// record counts a run and returns its number, from 1.
func (l *Ledger) record(key, path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[call{key, path}]++
	close(l.changed)
	l.changed = make(chan struct{})
	return l.runs[call{key, path}]
}

// Count returns the runs of a call.
func (l *Ledger) Count(key, path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[call{key, path}]
}

// Wait waits until a call has run at least so often.
func (l *Ledger) Wait(ctx context.Context, key, path string, count int) error {
	for {
		l.mu.Lock()
		runs, changed := l.runs[call{key, path}], l.changed
		l.mu.Unlock()
		if runs >= count {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Runs returns all runs, sorted by key and path.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make([]Run, 0, len(l.runs))
	for c, count := range l.runs {
		runs = append(runs, Run{Key: c.key, Path: c.path, Runs: count})
	}
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Path, b.Path))
	})
	return runs
}
