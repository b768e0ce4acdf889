package app_test

import (
	"fmt"
	"slices"
	"testing"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/ports/backendtest"
)

// unreachable reports whether a service regards a server as unreachable and
// gives it no work.
func unreachable(s *app.Service, id core.ServerID) bool {
	for _, view := range s.State().(app.State).Servers {
		if view.VM.ID == id {
			return view.Unreachable
		}
	}
	return false
}

// TestUnreachableServersGetNoWorkUntilTheyAnswer checks that every process
// detects a crashed engine without sending it a request, and a crashed plain
// server by one failed call, and that both get work again once they answer.
func TestUnreachableServersGetNoWorkUntilTheyAnswer(t *testing.T) {
	deployments := slices.Clone(testDeployments)
	deployments[1].Rollout = nil // no samples that a crash could cut
	c := newClusterWith(t, clusterOptions{size: 2, timeout: testTimeout, deployments: deployments})
	engine := c.engine.Server("engine-1")
	engine.Crash()
	for _, s := range c.services {
		c.await("the crashed engine known", func() bool { return unreachable(s, "engine-1") })
	}
	for i := range 12 {
		s := c.services[i%2]
		id := core.RequestID(fmt.Sprint("after-", i))
		if err := s.Complete(c.ctx, newCompletion(id), nil); err != nil {
			t.Fatal(err)
		}
		if _, err := c.readAnswer(s, id, 0); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range c.services {
		if retries := s.Metrics().Retries.Count(); retries != 0 {
			t.Errorf("%d retries, want 0", retries)
		}
	}
	engine.Revive()
	for _, s := range c.services {
		c.await("the engine known as reachable", func() bool { return !unreachable(s, "engine-1") })
	}

	s := c.services[0]
	c.plain.SetFaults("desk-1", backendtest.PlainFaults{Crash: true})
	for i := 0; !unreachable(s, "desk-1"); i++ {
		_, _ = s.Call(c.ctx, core.PlainRequest{ID: core.RequestID(fmt.Sprint("get-", i)), Caller: donor, Deployment: desk, Method: "GET", Path: "/"})
		if c.ctx.Err() != nil {
			t.Fatal("the crashed plain server was not detected")
		}
	}
	c.plain.Revive("desk-1")
	c.await("the plain server known as reachable", func() bool { return !unreachable(s, "desk-1") })
}
