package tables

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/errkind"
	"fescuespar/internal/virtualtime"
)

// overloadAccount is a client account of the overload tests.
type overloadAccount struct {
	name           core.CallerName
	perSecond      float64
	priority       int
	sent, answered int
}

// overload sends the accounts' requests of 25 ms each, due in 1.2 s, to a service of 8
// slots, which serves 400 a second, and counts what is answered.
func overload(accounts []*overloadAccount, capacity int) {
	const runs, timeout, length = 25 * time.Millisecond, 1200 * time.Millisecond, 20 * time.Second
	var clock virtualtime.Clock
	slots := NewSlots(capacity)
	kind := SlotKind{Service: "desk"}
	slots.SetServices(map[string]int{"desk": 8}, clock.Time())
	random := rand.New(rand.NewPCG(3, 4))
	for _, a := range accounts {
		var arrive func()
		arrive = func() {
			if clock.Now() < length {
				clock.After(time.Duration(random.ExpFloat64()/a.perSecond*float64(time.Second)), arrive)
			}
			a.sent++
			deadline := clock.Time().Add(timeout)
			resume := func(err error) {
				if err != nil {
					return
				}
				clock.After(runs, func() {
					if !clock.Time().After(deadline) {
						a.answered++
					}
					slots.Release(kind, core.ClassInteractive, runs, clock.Time())
				})
			}
			if slots.Acquire(kind, core.ClassInteractive, clock.Time()) {
				resume(nil)
				return
			}
			wait, started, err := slots.Wait(kind, &admission.Request[AdmissionCallback]{
				Caller: a.name, Route: "r", Priority: a.priority, Class: core.ClassInteractive, Cost: 1,
				Deadline: deadline, Expected: runs, Payload: resume,
			}, clock.Time())
			if err != nil || started {
				resume(err)
				return
			}
			clock.After(wait.Until().Sub(clock.Time()), func() { slots.Cancel(wait) })
		}
		clock.After(time.Duration(random.Int64N(int64(time.Second))), arrive)
	}
	clock.RunUntil(length + 2*timeout)
}

// TestAccountsShareScarceSlots guards against a large account that starves small ones, and
// against accounts that are starved by their size or priority: each must be served at
// least a quarter as often as all requests are.
func TestAccountsShareScarceSlots(t *testing.T) {
	const minShare = 0.25
	for _, c := range []struct {
		name     string
		large    []float64 // requests a second of the large accounts
		small    float64   // of each of the others
		priority func(i int) int
	}{
		{"one large account", []float64{1800}, 2, func(int) int { return 0 }},
		{"few large accounts", []float64{700, 500, 300}, 4, func(int) int { return 0 }},
		{"three priorities", []float64{700, 500, 300}, 10, func(i int) int { return i % 3 }},
		{"a large account of the lowest priority", []float64{4000}, 8, func(i int) int { return map[bool]int{true: 5}[i == 0] }},
	} {
		for _, capacity := range []int{100, 2000} {
			t.Run(fmt.Sprintf("%s/capacity=%d", c.name, capacity), func(t *testing.T) {
				var accounts []*overloadAccount
				for i := range 80 {
					a := &overloadAccount{name: core.CallerName(fmt.Sprint("a", i)), perSecond: c.small, priority: c.priority(i)}
					if i < len(c.large) {
						a.perSecond = c.large[i]
					}
					accounts = append(accounts, a)
				}
				overload(accounts, capacity)
				sent, answered := 0, 0
				for _, a := range accounts {
					sent, answered = sent+a.sent, answered+a.answered
				}
				overall := float64(answered) / float64(sent)
				least := accounts[0]
				for _, a := range accounts {
					if a.answered*least.sent < least.answered*a.sent {
						least = a
					}
				}
				share := float64(least.answered) / float64(least.sent)
				due := minShare * overall * float64(least.sent)
				t.Logf("%.3f of all requests answered, least of %s (priority %d, %.0f a second): %.3f", overall, least.name, least.priority, least.perSecond, share)
				if float64(least.answered) < due-3*math.Sqrt(due) { // three standard deviations
					t.Errorf("account %s is served %.3f times as often as all requests, want at least %v", least.name, share/overall, minShare)
				}
			})
		}
	}
}

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
