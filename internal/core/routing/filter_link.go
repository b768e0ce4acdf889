package routing

// LinkFilter rejects servers of other regions while this process's share of the
// link has no capacity for the request.
type LinkFilter struct{}

// Accepts implements Filter.
func (LinkFilter) Accepts(candidate *Candidate, _ *Query) bool {
	return !candidate.Remote || candidate.LinkAvailable
}
