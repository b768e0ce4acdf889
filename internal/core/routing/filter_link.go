package routing

// LinkFilter drops servers of other regions while this process's share of the
// link has no room for the request.
type LinkFilter struct{}

// Keep implements Filter.
func (LinkFilter) Keep(candidate *Candidate, _ *Query) bool {
	return !candidate.Remote || candidate.LinkOpen
}
