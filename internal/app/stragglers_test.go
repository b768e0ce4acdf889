package app_test

import (
	"slices"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/backendtest"
)

// TestStalledSampleGoesOnElsewhere stalls the streams of one engine. The bound
// leaves no room for extra groups and requests do not time out, so a step is
// whole only if its stalled samples go on elsewhere.
func TestStalledSampleGoesOnElsewhere(t *testing.T) {
	const stalledAfter = 4 // tokens
	c := newCluster(t, 1)
	s := c.services[0]
	patient := slices.Clone(testDeployments)
	patient[1].Limits.RequestTimeout = testMax
	strict := *patient[1].Rollout
	strict.StalenessBound = 1
	patient[1].Rollout = &strict
	if _, err := s.Publish(c.ctx, "op", 1, patient); err != nil {
		t.Fatal(err)
	}
	c.await("generation 2", func() bool { return s.Configuration().Generation == 2 })
	tr := newTrainer(c)
	step := core.Step(1)
	for ; step <= 8; step++ {
		tr.step(step)
	}
	c.engine.Server("engine-1").SetFaults(backendtest.EngineFaults{HoldAfter: stalledAfter})
	for ; s.Metrics().SamplesMoved.Count() == 0 && c.ctx.Err() == nil; step++ {
		tr.step(step)
	}
	tr.step(step)
	tr.step(step + 1)
	if s.Metrics().SamplesMoved.Count() == 0 {
		t.Error("no sample was moved")
	}
}
