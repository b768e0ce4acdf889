package routing

// SoftwareFilter accepts servers of the software version that a query requires.
//
// The load is a text that began at a server of one version and goes on while servers of
// two versions serve side by side.
type SoftwareFilter struct{}

// Accepts implements Filter.
func (SoftwareFilter) Accepts(candidate *Candidate, query *Query) bool {
	return !query.ExactSoftware || query.Software != "" && candidate.VM.Software == query.Software
}
