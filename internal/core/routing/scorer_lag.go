package routing

// LagScorer adds a cost for each version that the server is behind the newest
// version of the query's adapter.
type LagScorer struct{}

// Score implements Scorer.
func (LagScorer) Score(candidate *Candidate, query *Query) float64 {
	return float64(candidate.VersionLag) * query.CostPerVersion.Seconds()
}
