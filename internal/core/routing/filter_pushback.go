package routing

// PushbackFilter drops servers that have just refused, for queries that can wait
// for a slot.
//
// Load pattern: one engine of many that refuses or resets at once what it gets.
type PushbackFilter struct{}

// Keep implements Filter.
func (PushbackFilter) Keep(candidate *Candidate, query *Query) bool {
	return !query.InSlot || candidate.Pushback == 0
}
