package routing

// LagScorer costs each version that the server is behind the newest of the
// query's adapter.
type LagScorer struct{}

// Score implements Scorer.
func (LagScorer) Score(candidate *Candidate, query *Query) float64 {
	return float64(candidate.Lag) * query.LagCost.Seconds()
}
