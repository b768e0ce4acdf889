// Package drain decides which requests a process still accepts during a planned
// shutdown.
//
// Load pattern: callers keep the process's address for seconds after it was withdrawn,
// so requests arrive through most of the grace period, on new and on open connections.
// Most are short, with a deadline far beyond their duration; streams and slow calls may
// last longer than what is left of the grace period. A refused request is sent to
// another process at once and loses a round trip; one that is cut off loses its work,
// and must not be repeated if it may run only once.
package drain

import "time"

const (
	// acceptedShare is the share of the grace period in which requests are accepted at
	// all. The rest is for those in flight.
	acceptedShare = 0.6
	// estimateShare and maxEstimateTime bound the time after the signal in which the
	// recent durations of a route decide. Later only a deadline does, since an estimate
	// can be wrong and the time left is short.
	estimateShare   = 0.25
	maxEstimateTime = 2 * time.Second
	// estimateMargin is the factor by which the time left must exceed the longest recent
	// duration.
	estimateMargin = 2
	// answerMargin is the time left to write an answer to the caller.
	answerMargin = 250 * time.Millisecond
)

// Plan is the schedule of a shutdown.
type Plan struct {
	estimatesUntil time.Time // recent durations decide until then
	closed         time.Time // no request is accepted from then on
	end            time.Time // accepted requests must have ended by then
}

// NewPlan returns the plan of a shutdown that begins at a signal. Requests still in
// flight when it ends are cut off.
func NewPlan(begun time.Time, grace time.Duration, end time.Time) Plan {
	return Plan{
		estimatesUntil: begun.Add(min(maxEstimateTime, scale(grace, estimateShare))),
		closed:         begun.Add(scale(grace, acceptedShare)),
		end:            end.Add(-answerMargin),
	}
}

func scale(duration time.Duration, share float64) time.Duration {
	return time.Duration(float64(duration) * share)
}

// Closed returns the time from which no request is accepted.
func (p Plan) Closed() time.Time { return p.closed }

// Request is what is known of a request when it arrives.
type Request struct {
	Arrived  time.Time
	Deadline time.Time     // the request is answered or given up by then
	Longest  time.Duration // longest recent duration of the requests on its route; zero if unknown
}

// Accepts reports whether a request that arrives during the shutdown can end before the
// process does. The others must be refused before they are sent to a backend server.
func (p Plan) Accepts(request Request) bool {
	switch {
	case !request.Arrived.Before(p.closed):
		return false
	case !request.Deadline.After(p.end):
		return true
	case request.Longest == 0 || !request.Arrived.Before(p.estimatesUntil):
		return false
	default:
		return !request.Arrived.Add(estimateMargin * request.Longest).After(p.end)
	}
}
