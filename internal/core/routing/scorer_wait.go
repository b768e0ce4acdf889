package routing

// WaitScorer adds the time that the request takes at the server's load. Load
// counts twice, because the request slows the requests in flight by as much as
// they slow it. Cached tokens of the prompt are no work. The cost is divided by
// the weight of a server that returns from an ejection.
type WaitScorer struct{}

// Score implements Scorer.
func (WaitScorer) Score(candidate *Candidate, query *Query) float64 {
	perToken := candidate.SecondsPerToken + 2*candidate.LoadSlope*candidate.LoadTokens
	return query.workTokens(candidate.CachedTokens) * perToken / candidate.Weight
}
