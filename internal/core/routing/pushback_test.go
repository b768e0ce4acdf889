package routing

import (
	"testing"
	"time"

	"fescuespar/internal/core/outlier"
)

// TestARefusingEngineIsNoSink replays a step at full load in which one engine of
// eight refuses at once whatever it gets, while the slots of the others are
// taken for 300 ms by each run. Without pushback it got every waiting run.
func TestARefusingEngineIsNoSink(t *testing.T) {
	const (
		slots   = 4
		runTime = 300 * time.Millisecond
		tick    = 10 * time.Millisecond
		length  = 10 * time.Second
		waiting = 40 // runs that wait at any time
		// Runs that one slot of the refusing engine could have done.
		mostRefused = int(length / runTime)
	)
	vms := engineVMs(8)
	for i := range vms {
		vms[i].Slots = slots
	}
	state, random := stateOf(vms)
	query := coachQuery()
	query.InSlot = true
	type run struct {
		begun Dispatch
		ends  time.Time
	}
	var running []run
	refused, done := 0, 0
	for now := epoch; now.Before(epoch.Add(length)); now = now.Add(tick) {
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
	if refused > mostRefused {
		t.Errorf("%d runs were refused, want at most %d", refused, mostRefused)
	}
	if least := 7 * slots * int(length/runTime) * 9 / 10; done < least {
		t.Errorf("%d runs done, want at least %d", done, least)
	}
}

// TestAServerThatTakesWorkAgainIsBack ends the pushback with the first request
// that is not refused.
func TestAServerThatTakesWorkAgainIsBack(t *testing.T) {
	var p pushback
	now := epoch
	for range 10 {
		p.refused(now)
		now = p.until
	}
	if longest := p.until.Sub(now.Add(-pushbackMax)); longest > pushbackMax {
		t.Errorf("pushed back for %v, want at most %v", longest, pushbackMax)
	}
	p.took()
	p.refused(now)
	if got := p.left(now); got != pushbackBase {
		t.Errorf("pushed back for %v after it took a request, want %v", got, pushbackBase)
	}
}
