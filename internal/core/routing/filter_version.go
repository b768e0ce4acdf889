package routing

// VersionFilter keeps servers that hold the query's adapter at its version or,
// unless the query is exact, a newer one.
type VersionFilter struct{}

// Keep implements Filter.
func (VersionFilter) Keep(candidate *Candidate, query *Query) bool {
	return candidate.Holds && query.allows(candidate.Version)
}
