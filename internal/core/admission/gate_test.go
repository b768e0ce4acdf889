package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

var testStart = time.Unix(1000, 0)

func newTestRequest(caller string, class core.Class, payload int) *Request[int] {
	return &Request[int]{
		Caller: core.CallerName(caller), Class: class, Cost: 100,
		Deadline: testStart.Add(time.Minute), Payload: payload,
	}
}

func admitAll(t *testing.T, g *Gate[int], request *Request[int], count int) (started, refused int) {
	t.Helper()
	for range count {
		ok, err := g.Admit(request, testStart)
		if ok {
			started++
		}
		if err != nil {
			refused++
		}
	}
	return started, refused
}

func TestGateRefusals(t *testing.T) {
	bounds := Bounds{Concurrent: 2, QueueLength: 3, QueueTimeout: 10 * time.Second}
	cases := []struct {
		name     string
		prepare  func(*Gate[int])
		deadline time.Duration
		want     errkind.Kind // empty when the request waits
	}{
		{"waits", func(*Gate[int]) {}, time.Minute, ""},
		{"queue full", func(g *Gate[int]) { admitAll(t, g, newTestRequest("a", core.ClassInteractive, 0), 3) }, time.Minute, errkind.Overloaded},
		{"slow service, long queue", func(g *Gate[int]) {
			g.meanInFlight[core.ClassInteractive] = MeanDuration(6 * time.Second)
			admitAll(t, g, newTestRequest("a", core.ClassInteractive, 0), 2)
		}, time.Minute, errkind.DeadlineTooShort},
		{"mean run exceeds the time left", func(g *Gate[int]) { g.meanInFlight[core.ClassInteractive] = MeanDuration(6 * time.Second) },
			5 * time.Second, errkind.DeadlineTooShort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate[int](bounds)
			admitAll(t, g, newTestRequest("a", core.ClassInteractive, 0), 2)
			c.prepare(g)
			request := newTestRequest("a", core.ClassInteractive, 1)
			request.Deadline = testStart.Add(c.deadline)
			started, err := g.Admit(request, testStart)
			if started || (c.want == "") != (err == nil) || (err != nil && !errkind.Is(err, c.want)) {
				t.Errorf("started %v, error %v, want %q", started, err, c.want)
			}
			if err != nil && errkind.AnswerTo(err).Execution != errkind.NotRun {
				t.Errorf("error %v does not report that the request was not run", err)
			}
		})
	}
}

func TestGateReservesSlotsPerClass(t *testing.T) {
	g := NewGate[int](Bounds{Concurrent: 10, QueueLength: 100, QueueTimeout: time.Minute})
	rollouts, _ := admitAll(t, g, newTestRequest("trainer", core.ClassRollout, 0), 50)
	if rollouts != 8 {
		t.Errorf("%d rollouts started, want 8 with two slots free for interactive requests", rollouts)
	}
	interactive, _ := admitAll(t, g, newTestRequest("library", core.ClassInteractive, 1), 50)
	if interactive != 2 {
		t.Errorf("%d interactive requests started, want 2", interactive)
	}
	for range 8 {
		g.Release(core.ClassRollout, time.Second)
		g.Dequeue(testStart)
	}
	if got := g.State().InFlight; got[core.ClassInteractive] != 8 || got[core.ClassRollout] != 2 {
		t.Errorf("in flight %v, want 8 interactive requests and the 2 reserved for rollouts", got)
	}
}

func TestGateServesCallersRoundRobin(t *testing.T) {
	g := NewGate[int](Bounds{Concurrent: 1, QueueLength: 1000, QueueTimeout: time.Hour})
	admitAll(t, g, newTestRequest("first", core.ClassInteractive, 0), 1)
	admitAll(t, g, newTestRequest("large", core.ClassInteractive, 1), 500)
	admitAll(t, g, newTestRequest("small", core.ClassInteractive, 2), 5)
	fromSmall := 0
	for range 12 {
		g.Release(core.ClassInteractive, time.Millisecond)
		if payload, _, ok := g.Dequeue(testStart); ok && payload == 2 {
			fromSmall++
		}
	}
	if fromSmall != 5 {
		t.Errorf("%d of the small caller's 5 requests among the first 12, want all", fromSmall)
	}
}

func TestGateWeighsCallersByCost(t *testing.T) {
	g := NewGate[int](Bounds{Concurrent: 1, QueueLength: 1000, QueueTimeout: time.Hour})
	admitAll(t, g, newTestRequest("first", core.ClassInteractive, 0), 1)
	long := newTestRequest("long", core.ClassInteractive, 1)
	long.Cost = 400
	admitAll(t, g, long, 100)
	admitAll(t, g, newTestRequest("short", core.ClassInteractive, 2), 100)
	count := [3]int{}
	for range 50 {
		g.Release(core.ClassInteractive, time.Millisecond)
		payload, _, _ := g.Dequeue(testStart)
		count[payload]++
	}
	if ratio := float64(count[2]) / float64(count[1]); ratio < 3.5 || ratio > 4.5 {
		t.Errorf("%d short and %d long requests served, want about 4 to 1", count[2], count[1])
	}
}

// TestGateProperties runs random operations on a gate and checks that no
// request is lost, ended twice or started above the limit.
func TestGateProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("every request ends once and limits hold", prop.ForAll(func(operations []int) bool {
		return checkGateRun(operations) == nil
	}, gen.SliceOfN(400, gen.IntRange(0, 99))))
	properties.TestingRun(t)
}

func checkGateRun(operations []int) error {
	const concurrent = 7
	g := NewGate[int](Bounds{Concurrent: concurrent, QueueLength: 20, QueueTimeout: 3 * time.Second})
	now := testStart
	ended := make(map[int]int)
	accepted := 0
	var running [core.ClassCount]int
	startNext := func() {
		for payload, class, ok := g.Dequeue(now); ok; payload, class, ok = g.Dequeue(now) {
			ended[payload]++
			running[class]++
		}
	}
	for number, operation := range operations {
		class := core.ClassInteractive + core.Class(operation%2)
		switch {
		case operation < 55:
			request := newTestRequest(fmt.Sprint(operation%5), class, number)
			request.Deadline = now.Add(time.Duration(operation) * 200 * time.Millisecond)
			started, err := g.Admit(request, now)
			if err == nil {
				accepted++
			}
			if started {
				ended[number]++
				running[class]++
			}
		case operation < 85:
			if running[class] > 0 {
				running[class]--
				g.Release(class, time.Duration(operation)*time.Millisecond)
			}
			startNext()
		default:
			now = now.Add(time.Duration(operation) * 5 * time.Millisecond)
			for _, payload := range g.Expire(now, nil) {
				ended[payload]++
			}
		}
		if g.InFlight() > concurrent || g.InFlight() != running[1]+running[2] {
			return fmt.Errorf("%d in flight", g.InFlight())
		}
	}
	for _, payload := range g.Expire(now.Add(time.Hour), nil) {
		ended[payload]++
	}
	if len(ended) != accepted {
		return fmt.Errorf("%d of %d accepted requests ended", len(ended), accepted)
	}
	for payload, times := range ended {
		if times != 1 {
			return fmt.Errorf("request %d ended %d times", payload, times)
		}
	}
	return nil
}

func TestServerLimitFollowsLatency(t *testing.T) {
	limit := NewServerLimit(testStart)
	now := testStart
	observe := func(latency time.Duration, count int) {
		for range count {
			for limit.Acquire(core.ClassInteractive) {
			}
			limit.Release()
			now = now.Add(10 * time.Millisecond)
			limit.Observe(latency, now)
		}
	}
	observe(20*time.Millisecond, 400)
	high := limit.Limit()
	if high <= serverLimitInitial {
		t.Errorf("limit %d at a steady latency, want more than %d", high, serverLimitInitial)
	}
	observe(100*time.Millisecond, 400)
	low := limit.Limit()
	if low >= high/2 {
		t.Errorf("limit %d at five times the latency, want less than half of %d", low, high)
	}
	for range 20 {
		limit.RecordFailure()
	}
	if got := limit.Limit(); got != serverLimitMin {
		t.Errorf("limit %d after failures, want %d", got, serverLimitMin)
	}
}

func BenchmarkAdmitRelease(b *testing.B) {
	for _, callers := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			g := NewGate[int](Bounds{Concurrent: 64, QueueLength: 4096, QueueTimeout: time.Hour})
			requests := make([]*Request[int], callers)
			for i := range requests {
				requests[i] = newTestRequest(fmt.Sprint("caller-", i), core.ClassInteractive, i)
				requests[i].Deadline = testStart.Add(1000 * time.Hour)
			}
			for i := range 64 + 2*callers {
				_, _ = g.Admit(requests[i%callers], testStart)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				_, _ = g.Admit(requests[i%callers], testStart)
				g.Release(core.ClassInteractive, time.Millisecond)
				g.Dequeue(testStart)
				i++
			}
		})
	}
}

// TestRolloutCapacityIsAdmittedOrQueued checks that RolloutCapacity requests
// are started or queued and that more are refused.
func TestRolloutCapacityIsAdmittedOrQueued(t *testing.T) {
	cases := []struct {
		name         string
		bounds       Bounds
		meanInFlight time.Duration
		interactive  int
		want         int
	}{
		{"short queue", Bounds{Concurrent: 16, QueueLength: 3, QueueTimeout: time.Minute}, 0, 0, 14 + 3},
		{"interactive requests in flight", Bounds{Concurrent: 16, QueueLength: 3, QueueTimeout: time.Minute}, 0, 6, 9 + 3},
		{"slow rollouts", Bounds{Concurrent: 16, QueueLength: 100, QueueTimeout: 5 * time.Second}, 10 * time.Second, 0, 14 + 7},
		{"fewest slots", Bounds{Concurrent: 1, QueueLength: 2, QueueTimeout: time.Minute}, 0, 0, 1 + 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGate[int](c.bounds)
			g.meanInFlight[core.ClassRollout] = MeanDuration(c.meanInFlight)
			admitAll(t, g, newTestRequest("p", core.ClassInteractive, 0), c.interactive)
			if got := g.RolloutCapacity(testStart); got != c.want {
				t.Errorf("capacity %d, want %d", got, c.want)
			}
			if _, refused := admitAll(t, g, newTestRequest("r", core.ClassRollout, 0), c.want); refused != 0 {
				t.Errorf("%d refused within the capacity", refused)
			}
			if _, refused := admitAll(t, g, newTestRequest("r", core.ClassRollout, 0), 2); refused == 0 {
				t.Error("none refused beyond the capacity")
			}
		})
	}
}
