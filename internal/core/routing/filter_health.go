package routing

// HealthFilter rejects servers that are ejected as outliers.
type HealthFilter struct{}

// Accepts implements Filter.
func (HealthFilter) Accepts(candidate *Candidate, _ *Query) bool { return !candidate.Ejected }
