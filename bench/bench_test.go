package main

import (
	"testing"
	"time"
)

// A run must depend on nothing but its plan and seed.
func TestSameSeedGivesTheSameRun(t *testing.T) {
	found, err := loadSites("../examples")
	if err != nil {
		t.Fatal(err)
	}
	p := plan{stragglers: 0.05, faults: func(w *world) { w.clock.After(15*time.Second, func() { w.engines()[0].crash(w, restartTime) }) }}
	run := func(seed uint64) *world {
		w := newWorld(found[0], p, seed)
		w.clock.RunUntil(60 * time.Second)
		return w
	}
	first, second, other := run(1), run(1), run(2)
	if first.answered == [len(first.answered)]int{} || first.trainers[0].fixedAt == 0 {
		t.Fatal("no request was answered or no step was fixed")
	}
	if first.answered != second.answered || first.requests != second.requests || first.trainers[0].fixedAt != second.trainers[0].fixedAt {
		t.Error("two runs of one seed differ")
	}
	if first.answered == other.answered {
		t.Error("another seed changes nothing")
	}
}
