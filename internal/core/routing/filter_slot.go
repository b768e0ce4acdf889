package routing

// SlotFilter accepts servers on which this process has fewer requests in flight
// than the server runs concurrently, for queries that require a free slot. It
// counts only this process's requests, because such queries come from a process
// that sends all requests of their kind.
type SlotFilter struct{}

// Accepts implements Filter.
func (SlotFilter) Accepts(candidate *Candidate, query *Query) bool {
	return !query.RequiresFreeSlot || candidate.VM.Slots == 0 || candidate.OwnStreams < candidate.VM.Slots
}
