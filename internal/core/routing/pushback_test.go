package routing

import (
	"testing"
	"time"

	"fescuespar/internal/core/outlier"
)

// TestRefusingEngineDoesNotAttractRequests simulates a step at full load in
// which one engine of eight refuses every request immediately, while each run
// occupies a slot of the others for 300 ms. Without pushback the refusing engine
// received every waiting run.
func TestRefusingEngineDoesNotAttractRequests(t *testing.T) {
	const (
		slots   = 4
		runTime = 300 * time.Millisecond
		tick    = 10 * time.Millisecond
		length  = 10 * time.Second
		waiting = 40 // runs waiting at any time
		// Runs that one slot of the refusing engine could have completed.
		maxRefused = int(length / runTime)
	)
	vms := engineVMs(8)
	for i := range vms {
		vms[i].Slots = slots
	}
	state, random := newTestState(vms)
	query := coachQuery()
	query.RequiresFreeSlot = true
	type run struct {
		begun Dispatch
		ends  time.Time
	}
	var running []run
	refused, done := 0, 0
	for now := testStart; now.Before(testStart.Add(length)); now = now.Add(tick) {
		left := running[:0]
		for _, r := range running {
			if r.ends.After(now) {
				left = append(left, r)
				continue
			}
			done++
			state.End(r.begun, Result{Outcome: outlier.Succeeded}, now, random)
		}
		running = left
		for range waiting {
			vm, err := state.Pick(query, now, random)
			if err != nil {
				continue
			}
			begun := state.Begin(vm.ID, query, now)
			if vm.ID == vms[0].ID {
				refused++
				state.End(begun, Result{Outcome: outlier.Abandoned, Refused: true}, now, random)
				continue
			}
			running = append(running, run{begun, now.Add(runTime)})
		}
	}
	if refused > maxRefused {
		t.Errorf("%d runs refused, want at most %d", refused, maxRefused)
	}
	if want := 7 * slots * int(length/runTime) * 9 / 10; done < want {
		t.Errorf("%d runs completed, want at least %d", done, want)
	}
}

// TestPushbackEndsWhenServerAccepts checks that the first request that is not
// refused ends the pushback.
func TestPushbackEndsWhenServerAccepts(t *testing.T) {
	var p pushback
	now := testStart
	for range 10 {
		p.recordRefusal(now)
		now = p.until
	}
	if longest := p.until.Sub(now.Add(-pushbackMax)); longest > pushbackMax {
		t.Errorf("pushed back for %v, want at most %v", longest, pushbackMax)
	}
	p.recordAccepted()
	p.recordRefusal(now)
	if got := p.remaining(now); got != pushbackBase {
		t.Errorf("pushed back for %v by a refusal after an accepted request, want %v", got, pushbackBase)
	}
}
