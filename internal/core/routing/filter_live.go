package routing

import "fescuespar/internal/core"

// LiveFilter accepts servers that the VM list shows as live, so that leaving
// servers receive no new requests.
type LiveFilter struct{}

// Accepts implements Filter.
func (LiveFilter) Accepts(candidate *Candidate, _ *Query) bool {
	return candidate.VM.State == core.VMLive
}
