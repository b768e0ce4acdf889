package routing

// WaitScorer costs the time until the server has worked off its load and the
// request, without the part of the prompt that it has cached. A server that
// returns from an ejection counts as slower by its weight.
type WaitScorer struct{}

// Score implements Scorer.
func (WaitScorer) Score(candidate *Candidate, query *Query) float64 {
	work := candidate.Load + max(0, float64(query.Tokens)-candidate.Cached)
	return work / (candidate.Rate * candidate.Weight)
}
