package tables

import (
	"time"

	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/drain"
	"fescuespar/internal/lockrank"
)

// RouteDurations holds the recent durations of the requests on each route.
type RouteDurations struct {
	// mu guards the fields below.
	mu     lockrank.Mutex
	routes map[string]*routeDuration // by name
}

type routeDuration struct {
	recent drain.Recent           // from the arrival to the end
	mean   admission.MeanDuration // without the wait for a slot
}

// NewRouteDurations returns a table without durations.
func NewRouteDurations() *RouteDurations {
	return &RouteDurations{mu: lockrank.New(lockrank.RankRouteDurations), routes: make(map[string]*routeDuration)}
}

// Observe adds the duration of a request on a route, of which it waited some time for a
// slot.
func (t *RouteDurations) Observe(route string, duration, waited time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.routes[route]
	if row == nil {
		row = &routeDuration{}
		t.routes[route] = row
	}
	row.recent.Observe(duration, now)
	row.mean.Observe(duration - waited)
}

// Mean returns the mean duration of a route's recent requests without their waits for
// slots, zero if there were none.
func (t *RouteDurations) Mean(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.routes[route]; row != nil {
		return row.mean.Value()
	}
	return 0
}

// Longest returns the longest recent duration of a route's requests, zero if there
// were none.
func (t *RouteDurations) Longest(route string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row := t.routes[route]; row != nil {
		return row.recent.Longest(now)
	}
	return 0
}
