package main

import (
	"testing"
	"time"
)

// TestSameSeedGivesTheSameRun checks that a run depends on nothing but its
// scenario and seed.
func TestSameSeedGivesTheSameRun(t *testing.T) {
	sites, err := loadSites("../examples")
	if err != nil {
		t.Fatal(err)
	}
	s := scenario{stragglerShare: 0.05, scheduleFaults: func(sim *simulation) {
		sim.clock.After(15*time.Second, func() { sim.engines()[0].crash(sim, restartTime) })
	}}
	run := func(seed uint64) *simulation {
		sim := newSimulation(sites[0], s, seed)
		sim.clock.RunUntil(60 * time.Second)
		return sim
	}
	first, second, other := run(1), run(1), run(2)
	if first.answered == [len(first.answered)]int{} || first.trainers[0].batchFixedAt == 0 {
		t.Fatal("no request was answered or no batch was fixed")
	}
	if first.answered != second.answered || first.requestCount != second.requestCount || first.trainers[0].batchFixedAt != second.trainers[0].batchFixedAt {
		t.Error("two runs with the same seed differ")
	}
	if first.answered == other.answered {
		t.Error("runs with different seeds are equal")
	}
}
