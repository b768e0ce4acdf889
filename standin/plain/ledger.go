package plain

import (
	"cmp"
	"context"
	"slices"

	"fescuespar/internal/lockrank"
)

// RunCount is the number of times that one call ran.
type RunCount struct {
	Key  string `json:"key"` // idempotency key; empty if the call has none
	Path string `json:"path"`
	Runs int    `json:"runs"`
}

// callID identifies a call. Requests with the same key and path are the same
// call.
type callID struct {
	key  string
	path string
}

// RunCounter counts how often each call to a service ran.
type RunCounter struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	runs    map[callID]int
	changed chan struct{} // closed and replaced whenever a run is recorded
}

// NewRunCounter returns an empty ledger.
func NewRunCounter() *RunCounter {
	return &RunCounter{mu: lockrank.New(lockrank.RankExternal), runs: make(map[callID]int), changed: make(chan struct{})}
}

// record counts a run of a call and returns its number, starting at 1.
func (l *RunCounter) record(key, path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[callID{key, path}]++
	close(l.changed)
	l.changed = make(chan struct{})
	return l.runs[callID{key, path}]
}

// Count returns the number of times that a call ran.
func (l *RunCounter) Count(key, path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[callID{key, path}]
}

// WaitRuns waits until a call has run at least count times.
func (l *RunCounter) WaitRuns(ctx context.Context, key, path string, count int) error {
	for {
		l.mu.Lock()
		runs, changed := l.runs[callID{key, path}], l.changed
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

// Runs returns the counts of all calls, sorted by key and path.
func (l *RunCounter) Runs() []RunCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make([]RunCount, 0, len(l.runs))
	for c, count := range l.runs {
		runs = append(runs, RunCount{Key: c.key, Path: c.path, Runs: count})
	}
	slices.SortFunc(runs, func(a, b RunCount) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Path, b.Path))
	})
	return runs
}
