package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestFindingTellsWhyAServerIsOut(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	pool := NewPool(DefaultPolicy())
	servers := make([]Server, 4)
	for i := range servers {
		pool.Add(&servers[i])
	}
	now := time.Unix(1000, 0)
	for range 30 {
		for i := range servers {
			took := usualTook
			if i == 0 {
				took = 9 * usualTook
			}
			pool.Record(&servers[i], succeeds(took), now, random)
		}
	}
	pool.Sweep(now, random)
	slow := pool.Finding(&servers[0], now)
	if slow.Why != "is slow" || slow.PerToken <= 2*slow.Peers.PerToken || slow.Results == 0 || !slow.Until.After(now) {
		t.Errorf("a slow server: %+v", slow)
	}
	for range DefaultPolicy().ConsecutiveFailures {
		pool.Record(&servers[1], Result{Outcome: Failed}, now, random)
	}
	failing := pool.Finding(&servers[1], now)
	if failing.Why != "fails" || failing.Failures != DefaultPolicy().ConsecutiveFailures || failing.Success >= failing.Peers.Success {
		t.Errorf("a failing server: %+v", failing)
	}
	pool.Unreachable(&servers[2], now)
	if away := pool.Finding(&servers[2], now); away.Why != "cannot be reached" || !away.Until.IsZero() {
		t.Errorf("a server out of reach: %+v", away)
	}
}
