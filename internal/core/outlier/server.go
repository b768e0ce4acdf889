package outlier

import (
	"math/rand/v2"
	"time"
)

// Outcome says how one attempt at a server ended, as far as it tells anything
// about the server.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	Failed            // failed, timed out or was refused
	Killed            // the request is one that crashes every server running it
	Abandoned         // canceled by its caller or by this process; says nothing of the server
)

// Result is one attempt's end.
type Result struct {
	Outcome Outcome
	Work    float64       // tokens of work done, 1 for a call of a plain service
	Took    time.Duration // from dispatch to end
}

// smoothing is the weight of the newest result in a server's averages.
const smoothing = 0.1

// minWeight is the weight of a server at the moment of its return.
const minWeight = 0.1

// Server is what a Pool keeps of one backend server. The zero value is a
// server without results. A Server belongs to at most one Pool.
type Server struct {
	consecutive  int
	results      int
	success      float64 // smoothed share of successes
	perToken     float64 // smoothed seconds per token of successes
	lastResult   time.Time
	ejections    int // ejections not yet forgiven
	ejected      bool
	why          reason // of the current or last ejection
	ejectedAt    time.Time
	until        time.Time // end of the ejection
	returnedAt   time.Time // zero when the server was never ejected
	forgivenAt   time.Time
	excusedUntil time.Time
	unreachable  time.Time // newest failure to connect; zero while the server is reachable
}

// Ejected reports whether the server must get no new work: it is ejected as an
// outlier or cannot be reached.
func (s *Server) Ejected() bool { return s.ejected || !s.unreachable.IsZero() }

// UnreachableSince returns when the newest connection failed, zero for a server
// that can be reached.
func (s *Server) UnreachableSince() time.Time { return s.unreachable }

// Until returns the end of the current ejection.
func (s *Server) Until() time.Time { return s.until }

// Weight returns the share of its usual work that the server may get: 0 while
// it is ejected, then growing from a tenth to 1 over the policy's Ramp.
func (s *Server) Weight(ramp time.Duration, now time.Time) float64 {
	if s.Ejected() {
		return 0
	}
	if s.returnedAt.IsZero() {
		return 1
	}
	elapsed := now.Sub(s.returnedAt)
	if elapsed >= ramp {
		return 1
	}
	return minWeight + (1-minWeight)*max(0, elapsed.Seconds())/ramp.Seconds()
}

// add takes a result into the server's averages.
func (s *Server) add(result Result, now time.Time) {
	if s.results == 0 {
		s.success = 1
	}
	s.results++
	s.lastResult = now
	if result.Outcome == Failed {
		s.consecutive++
		s.success *= 1 - smoothing
		return
	}
	s.consecutive = 0
	s.success += smoothing * (1 - s.success)
	perToken := result.Took.Seconds() / max(1, result.Work)
	if s.perToken == 0 {
		s.perToken = perToken
		return
	}
	s.perToken += smoothing * (perToken - s.perToken)
}

// eject takes the server out of service.
func (s *Server) eject(policy *Policy, why reason, now time.Time, random *rand.Rand) {
	length := policy.MaxEjection
	if s.ejections < maxDoublings {
		length = min(length, policy.BaseEjection<<s.ejections)
	}
	jitter := time.Duration(random.Float64() * policy.Jitter * float64(length))
	if !now.Before(s.excusedUntil) {
		s.ejections++
	}
	s.ejected = true
	s.why = why
	s.ejectedAt = now
	s.until = now.Add(length + jitter)
}

// maxDoublings keeps the length of an ejection from overflowing.
const maxDoublings = 16

// restore puts the server back into service with fresh averages.
func (s *Server) restore(now time.Time) {
	s.ejected = false
	s.returnedAt = now
	s.forgivenAt = now
	s.consecutive, s.results, s.success, s.perToken = 0, 0, 0, 0
}

// forgive takes back one doubling for each period in service.
func (s *Server) forgive(period time.Duration, now time.Time) {
	if s.ejections > 0 && now.Sub(s.forgivenAt) >= period {
		s.ejections--
		s.forgivenAt = now
	}
}
