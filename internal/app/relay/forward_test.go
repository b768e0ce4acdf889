package relay

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

func TestAttemptDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	route := core.Route{Kind: core.RouteIdempotent, Attempts: 2, Target: 200 * time.Millisecond}
	once := route
	once.Kind = core.RouteAtMostOnce
	cases := []struct {
		name      string
		route     core.Route
		attempt   int
		remaining time.Duration
		want      time.Duration
	}{
		{"first of two", route, 1, 2 * time.Second, 500 * time.Millisecond},
		{"first of two, little time", route, 1, 1200 * time.Millisecond, 400 * time.Millisecond},
		{"first of two, less time than the minimum", route, 1, 300 * time.Millisecond, 300 * time.Millisecond},
		{"last", route, 2, 2 * time.Second, 2 * time.Second},
		{"at most once", once, 1, 2 * time.Second, 2 * time.Second},
	}
	for _, c := range cases {
		call := &call{route: c.route, attempts: c.attempt, deadline: now.Add(c.remaining)}
		if got := call.attemptDeadline(now).Sub(now); got != c.want {
			t.Errorf("%s: deadline in %v, want %v", c.name, got, c.want)
		}
	}
}
