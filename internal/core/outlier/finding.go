package outlier

import "time"

// Finding is what a server is kept out of service for.
type Finding struct {
	Why      string        // fails, is slow or cannot be reached
	Failures int           // in a row
	Results  int           // on which the figures below rest
	Success  float64       // smoothed share of successes
	PerToken time.Duration // smoothed time for each token of successes
	Peers    Median        // of the pool at the same time; zero with too few results
	Until    time.Time     // zero while it cannot be reached
}

// Median is the pool's median of what Finding has of one server.
type Median struct {
	Success  float64
	PerToken time.Duration
}

// Finding returns what an ejected server was ejected for. A server's figures
// stand still while it is ejected.
func (p *Pool) Finding(server *Server, now time.Time) Finding {
	peers := p.medians(now)
	finding := Finding{
		Why: server.why.String(), Failures: server.consecutive, Results: server.results,
		Success: server.success, PerToken: perToken(server.perToken), Until: server.until,
		Peers: Median{Success: peers.success, PerToken: perToken(peers.perToken)},
	}
	if !server.unreachable.IsZero() {
		finding.Why, finding.Until = "cannot be reached", time.Time{}
	}
	return finding
}

func perToken(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// String returns the reason in words.
func (r reason) String() string {
	if r == forSlowness {
		return "is slow"
	}
	return "fails"
}
