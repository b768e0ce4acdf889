package routing

// LinkScorer adds the cost of the round trip to another region and of the bytes
// sent over the link.
type LinkScorer struct {
	Policy LinkPolicy
}

// Score implements Scorer.
func (s LinkScorer) Score(candidate *Candidate, query *Query) float64 {
	if !candidate.Remote {
		return 0
	}
	return s.Policy.RoundTrip.Seconds() + query.crossRegionBytes()*s.Policy.CostPerByte
}
