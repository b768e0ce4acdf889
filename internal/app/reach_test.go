package app_test

import (
	"fmt"
	"slices"
	"testing"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/ports/backendtest"
)

// unreachable tells whether a service gives a server no work since it takes no
// connections.
func unreachable(s *app.Service, id core.ServerID) bool {
	for _, view := range s.State().(app.State).Servers {
		if view.VM.ID == id {
			return view.Unreachable
		}
	}
	return false
}

// Engines are found dead by every process without a request of its own, plain
// servers by one failed call; both come back when they answer.
func TestDeadServersGetNoWorkUntilTheyAnswer(t *testing.T) {
	deployments := slices.Clone(testDeployments)
	deployments[1].Rollout = nil // no samples that a death cuts
	c := newSizedCluster(t, clusterOptions{size: 2, bound: testMax, deployments: deployments})
	engine := c.engine.Server("engine-1")
	engine.Crash()
	for _, s := range c.services {
		c.await("the dead engine is known", func() bool { return unreachable(s, "engine-1") })
	}
	for i := range 12 {
		s := c.services[i%2]
		id := core.RequestID(fmt.Sprint("after-", i))
		if err := s.Complete(c.ctx, completion(id), nil); err != nil {
			t.Fatal(err)
		}
		if _, err := c.readAnswer(s, id, 0); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range c.services {
		if retries := s.Metrics().Retries.Count(); retries != 0 {
			t.Errorf("%d repeats, want none", retries)
		}
	}
	engine.Revive()
	for _, s := range c.services {
		c.await("the engine is back", func() bool { return !unreachable(s, "engine-1") })
	}

	s := c.services[0]
	c.plain.SetFaults("desk-1", backendtest.PlainFaults{Crash: true})
	for i := 0; !unreachable(s, "desk-1"); i++ {
		_, _ = s.Call(c.ctx, core.PlainRequest{ID: core.RequestID(fmt.Sprint("get-", i)), Caller: donor, Deployment: desk, Method: "GET", Path: "/"})
		if c.ctx.Err() != nil {
			t.Fatal("the dead plain server was never known")
		}
	}
	c.plain.Revive("desk-1")
	c.await("the plain server is back", func() bool { return !unreachable(s, "desk-1") })
}
