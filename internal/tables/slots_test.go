package tables

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/errkind"
)

// TestScorerCallsAndRequestsShareSlots guards against a wave of scorer calls that starves
// interactive requests to the same service, and the reverse.
func TestScorerCallsAndRequestsShareSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	kind := SlotKind{Service: "desk"}
	fill := func(slots *Slots, class core.Class, count int) {
		for range count {
			if !slots.Acquire(kind, class, now) {
				_, _, _ = slots.Wait(kind, &admission.Request[AdmissionCallback]{Class: class, Cost: 1, Deadline: now.Add(time.Minute), Payload: func(error) {}}, now)
			}
		}
	}
	for _, c := range []struct {
		name        string
		first, then core.Class
		least       int // of 20 slots that the second class must get
	}{
		{"scorer calls first", core.ClassRollout, core.ClassInteractive, 2},
		{"interactive requests first", core.ClassInteractive, core.ClassRollout, 4},
	} {
		slots := NewSlots(1000)
		slots.SetServices(map[string]int{"desk": 16}, now)
		fill(slots, c.first, 100)
		fill(slots, c.then, 100)
		for range 40 { // as many of the first class end as it takes to share the slots
			if slots.State()[0].Gate.InFlight[c.then] < c.least {
				slots.Release(kind, c.first, time.Millisecond, now)
			}
		}
		if got := slots.State()[0].Gate.InFlight; got[c.then] < c.least || got[c.first] < c.least {
			t.Errorf("%s: %v of 20 slots in use by class, want at least %d of each", c.name, got, c.least)
		}
	}
}

// TestSlotsLoseNoRequest runs random operations and checks that each request starts or ends
// once, that the bounds hold, and that nothing is held at the end.
func TestSlotsLoseNoRequest(t *testing.T) {
	const capacity, services, slotsEach = 60, 3, 5
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		slots := NewSlots(capacity)
		ends := make(map[int]int)
		running := make(map[SlotKind][]core.Class)
		waits := make(map[int]SlotWait)
		for number := range 2000 {
			now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			kind := SlotKind{Service: fmt.Sprint("s", random.IntN(services)), Stream: random.IntN(2) == 0}
			class := core.ClassInteractive + core.Class(random.IntN(2))
			switch random.IntN(10) {
			case 0, 1, 2, 3, 4:
				start := func(err error) {
					ends[number]++
					delete(waits, number)
					if err == nil {
						running[kind] = append(running[kind], class)
					}
				}
				if slots.Acquire(kind, class, now) {
					start(nil)
					continue
				}
				wait, started, err := slots.Wait(kind, &admission.Request[AdmissionCallback]{
					Caller: core.CallerName(fmt.Sprint(random.IntN(4))), Route: fmt.Sprint(random.IntN(2)), Priority: random.IntN(3),
					Class: class, Cost: 1, Deadline: now.Add(time.Duration(random.IntN(2000)) * time.Millisecond), Payload: start,
				}, now)
				if err != nil || started {
					start(err)
				} else {
					waits[number] = wait
				}
			case 5, 6, 7:
				if ran := running[kind]; len(ran) > 0 {
					running[kind] = ran[1:]
					slots.Release(kind, ran[0], time.Duration(random.IntN(100))*time.Millisecond, now)
				}
			case 8:
				for waiting, wait := range waits {
					if !slots.Cancel(wait) {
						t.Fatalf("seed %d: request %d does not wait", seed, waiting)
					}
					ends[waiting]++
					delete(waits, waiting)
					break
				}
			default:
				slots.SetServices(map[string]int{"s0": slotsEach, "s1": slotsEach * random.IntN(2), "s2": slotsEach}, now)
			}
			inFlight, waiting := slots.Held()
			if inFlight+waiting > capacity || waiting != len(waits) {
				t.Fatalf("seed %d: %d requests in flight and %d waiting, want %d waiting and at most %d in all", seed, inFlight, waiting, len(waits), capacity)
			}
		}
		slots.RefuseWaiting(errkind.New(errkind.ShuttingDown, "end"))
		for kind, classes := range running {
			for _, class := range classes {
				slots.Release(kind, class, 0, now)
			}
		}
		if inFlight, waiting := slots.Held(); inFlight+waiting != 0 || len(waits) != 0 {
			t.Errorf("seed %d: %d in flight and %d waiting at the end", seed, inFlight, waiting)
		}
		for number, count := range ends {
			if count != 1 {
				t.Errorf("seed %d: request %d ended %d times", seed, number, count)
			}
		}
	}
}
