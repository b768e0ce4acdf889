package routing

import "time"

// ConnectScorer costs a new connection, where none is probably kept: it takes
// a round trip and the server some work, and servers take a bounded number.
type ConnectScorer struct {
	Cost time.Duration
}

// Score implements Scorer.
func (s ConnectScorer) Score(candidate *Candidate, _ *Query) float64 {
	if candidate.Warm {
		return 0
	}
	return s.Cost.Seconds()
}
