package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fescuespar/internal/errkind"
)

var policy = Policy{Attempts: 3, Base: 50 * time.Millisecond, Max: 2 * time.Second}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		failed Attempt
		want   bool
	}{
		{"refused, not idempotent", Attempt{Number: 1, Kind: errkind.ServerRefused, Left: time.Minute}, true},
		{"failed before any attempt was counted", Attempt{Number: 0, Kind: errkind.ServerRefused, Left: time.Minute}, true},
		{"failed, idempotent", Attempt{Number: 1, Kind: errkind.ServerFailed, Idempotent: true, Left: time.Minute}, true},
		{"failed, not idempotent", Attempt{Number: 1, Kind: errkind.ServerFailed, Left: time.Minute}, false},
		{"last attempt", Attempt{Number: 3, Kind: errkind.ServerRefused, Left: time.Minute}, false},
		{"deadline passed", Attempt{Number: 1, Kind: errkind.ServerRefused}, false},
		{"overloaded deployment", Attempt{Number: 1, Kind: errkind.ServerRefused, Overloaded: true, Left: time.Minute}, false},
		{"overloaded server", Attempt{Number: 1, Kind: errkind.Overloaded, Idempotent: true, Left: time.Minute}, false},
		{"timeout", Attempt{Number: 1, Kind: errkind.Timeout, Idempotent: true, Left: time.Minute}, false},
		{"crashes servers", Attempt{Number: 1, Kind: errkind.CrashesServers, Idempotent: true, Left: time.Minute}, false},
	}
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range cases {
		if got := policy.Decide(c.failed, random); got.Again != c.want {
			t.Errorf("%s: again %v, want %v", c.name, got.Again, c.want)
		}
	}
}

func TestDelaysAndBudgetHoldTheirBounds(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	properties := gopter.NewProperties(parameters)
	random := rand.New(rand.NewPCG(2, 2))
	properties.Property("a delay ends before the deadline and below the largest", prop.ForAll(
		func(waits int, left int64) bool {
			failed := Attempt{Number: 1, Waits: waits, Kind: errkind.ServerRefused, Left: time.Duration(left)}
			decision := policy.Decide(failed, random)
			return !decision.Again || (decision.Delay < failed.Left && decision.Delay <= policy.Max && decision.Delay >= 0)
		}, gen.IntRange(0, 1000), gen.Int64Range(0, int64(time.Minute))))
	properties.Property("repeats stay below a tenth of the requests, but for the start and what time adds", prop.ForAll(
		func(steps []int) bool {
			now := time.Unix(0, 0)
			budget := NewBudget(now)
			requests, repeats, seconds := 0, 0, 0
			for _, step := range steps {
				switch {
				case step < 40:
					budget.Deposit()
					requests++
				case step < 95:
					if budget.Withdraw(1, now) {
						repeats++
					}
				default:
					now = now.Add(time.Second)
					seconds++
				}
			}
			return float64(repeats) <= budgetMost+0.1*float64(requests)+0.1*float64(seconds)
		}, gen.SliceOfN(2000, gen.IntRange(0, 99))))
	properties.TestingRun(t)
}

func TestHedgeAfter(t *testing.T) {
	var latencies Latencies
	for i := range 1000 {
		latencies.Observe(time.Duration(i+1) * 10 * time.Millisecond)
	}
	good := Straggler{Idempotent: true, HoldsStep: true, Running: time.Second, Left: time.Minute}
	after, ok := HedgeAfter(good, &latencies)
	if !ok || after < 9500*time.Millisecond || after > 9500*time.Millisecond*119/100 {
		t.Errorf("copy after %v %v, want the 95%% quantile of 9.5 s within a bucket", after, ok)
	}
	cases := []struct {
		name   string
		change func(*Straggler)
	}{
		{"not idempotent", func(s *Straggler) { s.Idempotent = false }},
		{"holds no step", func(s *Straggler) { s.HoldsStep = false }},
		{"copied before", func(s *Straggler) { s.Hedged = true }},
		{"overloaded", func(s *Straggler) { s.Overloaded = true }},
		{"no time left for a copy", func(s *Straggler) { s.Left = 10 * time.Second }},
	}
	for _, c := range cases {
		straggler := good
		c.change(&straggler)
		if _, ok := HedgeAfter(straggler, &latencies); ok {
			t.Errorf("%s: a copy was allowed", c.name)
		}
	}
	if _, ok := HedgeAfter(good, &Latencies{}); ok {
		t.Error("a copy was allowed without known latencies")
	}
}
