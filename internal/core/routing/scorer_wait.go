package routing

// WaitScorer costs the time that the request takes at the server's load, and
// as much again of what it slows the requests that are there. Cached tokens of
// the prompt are no work. A server that returns from an ejection counts as
// slower by its weight.
type WaitScorer struct{}

// Score implements Scorer.
func (WaitScorer) Score(candidate *Candidate, query *Query) float64 {
	perToken := candidate.Base + 2*candidate.Slope*candidate.Load
	return query.work(candidate.Cached) * perToken / candidate.Weight
}
