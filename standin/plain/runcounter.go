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

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter {
	return &RunCounter{mu: lockrank.New(lockrank.RankExternal), runs: make(map[callID]int), changed: make(chan struct{})}
}

// record counts a run of a call and returns its number, starting at 1.
func (c *RunCounter) record(key, path string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[callID{key, path}]++
	close(c.changed)
	c.changed = make(chan struct{})
	return c.runs[callID{key, path}]
}

// Count returns the number of times that a call ran.
func (c *RunCounter) Count(key, path string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[callID{key, path}]
}

// WaitRuns waits until a call has run at least count times.
func (c *RunCounter) WaitRuns(ctx context.Context, key, path string, count int) error {
	for {
		c.mu.Lock()
		runs, changed := c.runs[callID{key, path}], c.changed
		c.mu.Unlock()
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
func (c *RunCounter) Runs() []RunCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make([]RunCount, 0, len(c.runs))
	for call, count := range c.runs {
		runs = append(runs, RunCount{Key: call.key, Path: call.path, Runs: count})
	}
	slices.SortFunc(runs, func(a, b RunCount) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Path, b.Path))
	})
	return runs
}
