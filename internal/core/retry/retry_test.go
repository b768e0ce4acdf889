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

var policy = Policy{MaxAttempts: 3, BaseDelay: 50 * time.Millisecond, MaxDelay: 2 * time.Second}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		failed FailedAttempt
		want   bool
	}{
		{"refused, not idempotent", FailedAttempt{Number: 1, Kind: errkind.ServerRefused, TimeLeft: time.Minute}, true},
		{"failed before any attempt was counted", FailedAttempt{Number: 0, Kind: errkind.ServerRefused, TimeLeft: time.Minute}, true},
		{"failed, idempotent", FailedAttempt{Number: 1, Kind: errkind.ServerFailed, Idempotent: true, TimeLeft: time.Minute}, true},
		{"failed, not idempotent", FailedAttempt{Number: 1, Kind: errkind.ServerFailed, TimeLeft: time.Minute}, false},
		{"last attempt", FailedAttempt{Number: 3, Kind: errkind.ServerRefused, TimeLeft: time.Minute}, false},
		{"deadline passed", FailedAttempt{Number: 1, Kind: errkind.ServerRefused}, false},
		{"overloaded deployment", FailedAttempt{Number: 1, Kind: errkind.ServerRefused, Overloaded: true, TimeLeft: time.Minute}, false},
		{"overloaded server", FailedAttempt{Number: 1, Kind: errkind.Overloaded, Idempotent: true, TimeLeft: time.Minute}, false},
		{"timeout", FailedAttempt{Number: 1, Kind: errkind.Timeout, Idempotent: true, TimeLeft: time.Minute}, false},
		{"crashes servers", FailedAttempt{Number: 1, Kind: errkind.CrashesServers, Idempotent: true, TimeLeft: time.Minute}, false},
	}
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range cases {
		if got := policy.Decide(c.failed, random); got.Retry != c.want {
			t.Errorf("%s: again %v, want %v", c.name, got.Retry, c.want)
		}
	}
}

func TestDelayAndBudgetBounds(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	properties := gopter.NewProperties(parameters)
	random := rand.New(rand.NewPCG(2, 2))
	properties.Property("a delay ends before the deadline and is at most Max", prop.ForAll(
		func(waits int, left int64) bool {
			failed := FailedAttempt{Number: 1, EmptyBudgetWaits: waits, Kind: errkind.ServerRefused, TimeLeft: time.Duration(left)}
			decision := policy.Decide(failed, random)
			return !decision.Retry || (decision.Delay < failed.TimeLeft && decision.Delay <= policy.MaxDelay && decision.Delay >= 0)
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
