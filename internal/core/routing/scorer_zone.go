package routing

import "time"

// ZoneScorer adds the round trip to another availability zone of the region.
type ZoneScorer struct {
	RoundTrip time.Duration
}

// Score implements Scorer.
func (s ZoneScorer) Score(candidate *Candidate, query *Query) float64 {
	if candidate.Remote || candidate.VM.Zone == query.Zone {
		return 0
	}
	return s.RoundTrip.Seconds()
}
