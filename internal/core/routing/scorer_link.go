package routing

// LinkScorer costs the volume and the round trip to another region.
type LinkScorer struct {
	Policy LinkPolicy
}

// Score implements Scorer.
func (s LinkScorer) Score(candidate *Candidate, query *Query) float64 {
	if !candidate.Remote {
		return 0
	}
	return s.Policy.Trip.Seconds() + query.linkBytes()*s.Policy.SecondsByByte
}
