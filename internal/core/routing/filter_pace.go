package routing

import "math"

// PaceFilter keeps paced servers to their share of the usual work. Requests that wait for
// a slot get that share of the server's slots, since one process sends all of them. Other
// requests get by chance the server in that share of the decisions, which does not depend
// on how many processes decide and how seldom. Without any other server the pace counts
// in the cost only.
type PaceFilter struct{}

// Accepts implements Filter.
func (PaceFilter) Accepts(candidate *Candidate, query *Query) bool {
	switch {
	case candidate.PaceShare >= 1:
		return true
	case query.RequiresFreeSlot && candidate.VM.Slots > 0:
		return float64(candidate.OwnStreams) < math.Ceil(candidate.PaceShare*float64(candidate.VM.Slots))
	default:
		return candidate.PaceDraw < candidate.PaceShare
	}
}
