package routing

// SlotFilter keeps servers on which this process has fewer requests in flight
// than the server runs at a time, for queries that ask for a free slot. It
// counts only this process's requests: the query is of a process that sends
// all the work of its kind.
type SlotFilter struct{}

// Keep implements Filter.
func (SlotFilter) Keep(candidate *Candidate, query *Query) bool {
	return !query.InSlot || candidate.VM.Slots == 0 || candidate.Streams < candidate.VM.Slots
}
