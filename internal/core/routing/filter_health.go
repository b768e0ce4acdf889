package routing

// HealthFilter drops servers that are ejected as outliers.
type HealthFilter struct{}

// Keep implements Filter.
func (HealthFilter) Keep(candidate *Candidate, _ *Query) bool { return !candidate.Ejected }
