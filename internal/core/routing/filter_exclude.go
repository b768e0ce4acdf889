package routing

import "slices"

// ExcludeFilter drops the servers that the query excludes.
type ExcludeFilter struct{}

// Keep implements Filter.
func (ExcludeFilter) Keep(candidate *Candidate, query *Query) bool {
	return !slices.Contains(query.Exclude, candidate.VM.ID)
}
