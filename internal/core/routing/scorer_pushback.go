package routing

// PushbackScorer costs the time for which a server that has just refused is
// likely to refuse again. It drops none: a caller is better off with a server
// that may refuse than with a refusal.
type PushbackScorer struct{}

// Score implements Scorer.
func (PushbackScorer) Score(candidate *Candidate, _ *Query) float64 {
	return candidate.Pushback.Seconds()
}
