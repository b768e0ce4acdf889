package routing

// PushbackFilter rejects servers that refused a request recently, for queries
// that can wait for a slot.
//
// Load pattern: one engine of many immediately refuses or resets every request
// that it receives.
type PushbackFilter struct{}

// Accepts implements Filter.
func (PushbackFilter) Accepts(candidate *Candidate, query *Query) bool {
	return !query.RequiresFreeSlot || candidate.Pushback == 0
}
