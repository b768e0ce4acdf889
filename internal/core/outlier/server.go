package outlier

import (
	"math/rand/v2"
	"time"
)

// Outcome says how an attempt at a server ended, as far as this concerns the
// server.
type Outcome int

// Outcomes of an attempt.
const (
	Succeeded        Outcome = iota
	Failed                   // failed, timed out or was refused
	CrashedByRequest         // the request crashes every server that runs it
	Abandoned                // canceled by its caller or this process; says nothing about the server
)

// Result is how one attempt ended.
type Result struct {
	Outcome  Outcome
	Work     float64       // tokens processed; 1 for a call of a plain service
	Duration time.Duration // from dispatch to end
}

// smoothingWeight is the weight of the newest result in a server's moving
// averages.
const smoothingWeight = 0.1

// minWeight is the weight of a server when it is restored.
const minWeight = 0.1

// Server holds a Pool's data on one backend server. The zero value is a server
// without results. A Server belongs to at most one Pool.
type Server struct {
	consecutiveFailures int
	resultCount         int
	success             float64 // moving average of the success rate
	perToken            float64 // moving average of the seconds per token of successes
	lastResult          time.Time
	ejections           int // ejections that lengthen the next one
	ejected             bool
	reason              reason // of the current or last ejection
	ejectedAt           time.Time
	ejectedUntil        time.Time // end of the ejection
	returnedAt          time.Time // zero if the server was never ejected
	forgivenAt          time.Time
	graceUntil          time.Time
	lastUnreachable     time.Time // time of the newest failed connection; zero while reachable
}

// Ejected reports whether the server must get no new work, because it is an
// outlier or unreachable.
func (s *Server) Ejected() bool { return s.ejected || !s.lastUnreachable.IsZero() }

// EjectedAsSlow reports whether the server is out of service only because it is slower
// than its peers.
func (s *Server) EjectedAsSlow() bool {
	return s.ejected && s.reason == reasonSlow && s.lastUnreachable.IsZero()
}

// UnreachableSince returns the time of the newest failed connection, or zero if
// the server is reachable.
func (s *Server) UnreachableSince() time.Time { return s.lastUnreachable }

// Until returns the end of the current ejection.
func (s *Server) Until() time.Time { return s.ejectedUntil }

// Weight returns the share of its usual work that the server may get: 0 while
// it is ejected, then growing from a tenth to 1 over the policy's RampUp.
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

// addResult adds a result to the server's moving averages.
func (s *Server) addResult(result Result, now time.Time) {
	if s.resultCount == 0 {
		s.success = 1
	}
	s.resultCount++
	s.lastResult = now
	if result.Outcome == Failed {
		s.consecutiveFailures++
		s.success *= 1 - smoothingWeight
		return
	}
	s.consecutiveFailures = 0
	s.success += smoothingWeight * (1 - s.success)
	perToken := result.Duration.Seconds() / max(1, result.Work)
	if s.perToken == 0 {
		s.perToken = perToken
		return
	}
	s.perToken += smoothingWeight * (perToken - s.perToken)
}

// eject takes the server out of service. Failures within the grace period do
// not lengthen later ejections.
func (s *Server) eject(policy *Policy, cause reason, now time.Time, random *rand.Rand) {
	length := policy.MaxEjection
	if s.ejections < maxDoublings {
		length = min(length, policy.BaseEjection<<s.ejections)
	}
	jitter := time.Duration(random.Float64() * policy.Jitter * float64(length))
	if !now.Before(s.graceUntil) {
		s.ejections++
	}
	s.ejected = true
	s.reason = cause
	s.ejectedAt = now
	s.ejectedUntil = now.Add(length + jitter)
}

// maxDoublings prevents overflow of the length of an ejection.
const maxDoublings = 16

// restore puts the server back into service with reset averages.
func (s *Server) restore(now time.Time) {
	s.ejected = false
	s.returnedAt = now
	s.forgivenAt = now
	s.consecutiveFailures, s.resultCount, s.success, s.perToken = 0, 0, 0, 0
}

// forgive reverts one doubling for each period in service.
func (s *Server) forgive(period time.Duration, now time.Time) {
	if s.ejections > 0 && now.Sub(s.forgivenAt) >= period {
		s.ejections--
		s.forgivenAt = now
	}
}
