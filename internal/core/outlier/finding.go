package outlier

import "time"

// Finding describes why a server is out of service.
type Finding struct {
	Why      string        // "fails", "is slow" or "cannot be reached"
	Failures int           // consecutive
	Results  int           // number of results behind the figures below
	Success  float64       // moving average of the success rate
	PerToken time.Duration // moving average of the time per token of successful attempts
	Peers    Median        // of the pool at the same time; zero if too few servers had results
	Until    time.Time     // end of the ejection; zero while the server cannot be reached
}

// Median holds the pool's medians of the figures that Finding has for one
// server.
type Median struct {
	Success  float64
	PerToken time.Duration
}

// Finding returns why a server is out of service. The figures of an ejected
// server do not change while it is ejected.
func (p *Pool) Finding(server *Server, now time.Time) Finding {
	peers := p.medians(now)
	finding := Finding{
		Why: server.reason.String(), Failures: server.consecutiveFailures, Results: server.resultCount,
		Success: server.success, PerToken: perToken(server.perToken), Until: server.ejectedUntil,
		Peers: Median{Success: peers.success, PerToken: perToken(peers.perToken)},
	}
	if !server.lastUnreachable.IsZero() {
		finding.Why, finding.Until = "cannot be reached", time.Time{}
	}
	return finding
}

// perToken converts seconds to a duration.
func perToken(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// String returns the reason as written in Finding.Why.
func (r reason) String() string {
	if r == reasonSlow {
		return "is slow"
	}
	return "fails"
}
