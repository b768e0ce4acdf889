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

func TestDelayAndBudgetBounds(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	properties := gopter.NewProperties(parameters)
	random := rand.New(rand.NewPCG(2, 2))
	properties.Property("a delay ends before the deadline and is at most Max", prop.ForAll(
		func(waits int, left int64) bool {
			failed := Attempt{Number: 1, Waits: waits, Kind: errkind.ServerRefused, Left: time.Duration(left)}
			decision := policy.Decide(failed, random)
			return !decision.Again || (decision.Delay < failed.Left && decision.Delay <= policy.Max && decision.Delay >= 0)
		}, gen.IntRange(0, 1000), gen.Int64Range(0, int64(time.Minute))))
	properties.Property("retries stay below a tenth of the requests, plus the largest balance and the refill over time", prop.ForAll(
		func(steps []int) bool {
			now := time.Unix(0, 0)
			budget := NewBudget(now)
			requests, retries, seconds := 0, 0, 0
			for _, step := range steps {
				switch {
				case step < 40:
					budget.Deposit()
					requests++
				case step < 95:
					if budget.Withdraw(1, now) {
						retries++
					}
				default:
					now = now.Add(time.Second)
					seconds++
				}
			}
			return float64(retries) <= maxBalance+0.1*float64(requests)+0.1*float64(seconds)
		}, gen.SliceOfN(2000, gen.IntRange(0, 99))))
	properties.TestingRun(t)
}
