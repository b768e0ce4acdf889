package routing

// PushbackScorer adds the time for which a server that refused a request is
// likely to refuse again. It rejects no server: trying a server that may refuse
// is better for the caller than a certain refusal.
type PushbackScorer struct{}

// Score implements Scorer.
func (PushbackScorer) Score(candidate *Candidate, _ *Query) float64 {
	return candidate.Pushback.Seconds()
}
