package routing

import "slices"

// ExcludeFilter rejects the servers that the query excludes.
type ExcludeFilter struct{}

// Accepts implements Filter.
func (ExcludeFilter) Accepts(candidate *Candidate, query *Query) bool {
	return !slices.Contains(query.Exclude, candidate.VM.ID)
}
