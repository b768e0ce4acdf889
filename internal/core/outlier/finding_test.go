package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestFindingReportsEjectionReason(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	pool := NewPool(DefaultPolicy())
	servers := make([]Server, 4)
	for i := range servers {
		pool.Add(&servers[i])
	}
	now := time.Unix(1000, 0)
	for range 30 {
		for i := range servers {
			duration := normalDuration
			if i == 0 {
				duration = 9 * normalDuration
			}
			pool.Record(&servers[i], success(duration), now, random)
		}
	}
	pool.Sweep(now, random)
	slow := pool.Finding(&servers[0], now)
	if slow.Why != "is slow" || slow.PerToken <= 2*slow.Peers.PerToken || slow.Results == 0 || !slow.Until.After(now) {
		t.Errorf("finding for a slow server: %+v", slow)
	}
	for range DefaultPolicy().ConsecutiveFailures {
		pool.Record(&servers[1], Result{Outcome: Failed}, now, random)
	}
	failing := pool.Finding(&servers[1], now)
	if failing.Why != "fails" || failing.Failures != DefaultPolicy().ConsecutiveFailures || failing.Success >= failing.Peers.Success {
		t.Errorf("finding for a failing server: %+v", failing)
	}
	pool.MarkUnreachable(&servers[2], now)
	if unreachable := pool.Finding(&servers[2], now); unreachable.Why != "cannot be reached" || !unreachable.Until.IsZero() {
		t.Errorf("finding for an unreachable server: %+v", unreachable)
	}
}
