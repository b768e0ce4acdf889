package routing

import "fescuespar/internal/core"

// LiveFilter keeps servers that the VM list shows as live, so that a leaving
// one gets nothing new.
type LiveFilter struct{}

// Keep implements Filter.
func (LiveFilter) Keep(candidate *Candidate, _ *Query) bool {
	return candidate.VM.State == core.VMLive
}
