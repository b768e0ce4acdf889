package app_test

import (
	"context"
	"testing"
	"time"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/ports/backendtest"
)

// TestFailedSwapIsOrderedAgain lets an engine's load fail without a report of
// the failure. The engine must serve the version well before the swap timeout
// of 30 s.
func TestFailedSwapIsOrderedAgain(t *testing.T) {
	cases := []struct {
		name  string
		hold  bool // the load is visible for a while before it fails
		bound time.Duration
	}{
		{"after the load was reported", true, 4 * time.Second},    // backoff of 1 s and the poll interval
		{"before the load was reported", false, 10 * time.Second}, // additionally the 5 s of loadReportTimeout
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2)
			c.publishWeights(coach, model, 2)
			server := c.engine.Server("engine-1")
			if err := server.WaitVersion(c.ctx, 2); err != nil {
				t.Fatal(err)
			}
			server.SetFaults(backendtest.EngineFaults{FailNextSwap: true})
			if test.hold {
				server.HoldSwaps()
			}
			c.publishWeights(coach, model, 3)
			if test.hold {
				c.awaitLoading("engine-1", 3)
				server.FinishSwap()
			}
			startedAt := time.Now()
			ctx, cancel := context.WithTimeout(c.ctx, test.bound)
			defer cancel()
			if err := server.WaitVersion(ctx, 3); err != nil {
				t.Errorf("engine-1 does not serve version 3 after %s", test.bound)
			}
			t.Logf("served %.1f s after the failure", time.Since(startedAt).Seconds())
		})
	}
}

// awaitLoading waits until the service that gives the orders has a report,
// newer than the first one it had, that an engine is loading a version.
func (c *cluster) awaitLoading(id core.ServerID, version core.WeightVersion) {
	c.t.Helper()
	var first time.Time
	c.await("report of the load", func() bool {
		holder, _ := c.leaseHolder("orders/coach-model")
		for _, view := range holder.State().(app.State).Servers {
			if view.VM.ID != id || view.Status.Loading != version {
				continue
			}
			if first.IsZero() {
				first = time.Now()
			}
			return view.ReportedAt.After(first)
		}
		return false
	})
}
