package tables

import (
	"time"

	"fescuespar/internal/core/drain"
	"fescuespar/internal/lockrank"
)

// RouteDurations holds the recent durations of the requests on each route.
type RouteDurations struct {
	// mu guards recent.
	mu     lockrank.Mutex
	recent map[string]*drain.Recent // by the route's name
}

// NewRouteDurations returns a table without durations.
func NewRouteDurations() *RouteDurations {
	return &RouteDurations{mu: lockrank.New(lockrank.RankRouteDurations), recent: make(map[string]*drain.Recent)}
}

// Observe adds the duration of a request on a route.
func (t *RouteDurations) Observe(route string, duration time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.recent[route]
	if row == nil {
		row = &drain.Recent{}
		t.recent[route] = row
	}
	row.Observe(duration, now)
}

// Longest returns the longest recent duration of a route's requests, zero if there
// were none.
func (t *RouteDurations) Longest(route string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.recent[route]; row != nil {
		return row.Longest(now)
	}
	return 0
}
