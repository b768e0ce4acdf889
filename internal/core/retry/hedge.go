package retry

import "time"

const (
	// hedgeQuantile is the latency quantile after which a copy is started.
	hedgeQuantile = 0.95
	// hedgeLeast is the shortest time before a copy is started.
	hedgeLeast = 200 * time.Millisecond
	// hedgeSamples is how many latencies must be known before any copy.
	hedgeSamples = 50
)

// Straggler is a request that has not ended.
type Straggler struct {
	Idempotent bool
	HoldsStep  bool          // its group is all that a training step waits for
	Hedged     bool          // a copy was started before
	Overloaded bool          // the deployment's queue is behind
	Running    time.Duration // of the attempt
	Left       time.Duration // until its deadline
}

// HedgeAfter returns when a copy of a straggler may start, counted from the
// start of its attempt; false when no copy may. The copy also needs a Withdraw
// from the deployment's budget.
func HedgeAfter(straggler Straggler, latencies *Latencies) (time.Duration, bool) {
	allowed := straggler.Idempotent && straggler.HoldsStep && !straggler.Hedged && !straggler.Overloaded
	if !allowed || latencies.Count() < hedgeSamples {
		return 0, false
	}
	after := max(hedgeLeast, latencies.Quantile(hedgeQuantile))
	typical := latencies.Quantile(0.5)
	start := max(after, straggler.Running)
	if start-straggler.Running+typical > straggler.Left {
		return 0, false
	}
	return after, true
}
