package routing

import "time"

// ConnectScorer adds the cost of a new connection where probably no idle one
// exists: opening one costs a round trip and work on the server, and servers
// accept a limited number of connections.
type ConnectScorer struct {
	Cost time.Duration
}

// Score implements Scorer.
func (s ConnectScorer) Score(candidate *Candidate, _ *Query) float64 {
	if candidate.HasIdleConnection {
		return 0
	}
	return s.Cost.Seconds()
}
