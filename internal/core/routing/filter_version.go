package routing

// VersionFilter accepts servers that hold the query's adapter at the query's
// version or, unless the query is exact, a newer version.
type VersionFilter struct{}

// Accepts implements Filter.
func (VersionFilter) Accepts(candidate *Candidate, query *Query) bool {
	return candidate.HoldsAdapter && query.allowsVersion(candidate.Version)
}
