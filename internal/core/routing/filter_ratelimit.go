package routing

import "fescuespar/internal/core"

// RateLimitFilter rejects servers that advertise a rate limit of which this process has
// used up its share. Interactive requests may use some of it in advance, so that rollouts
// wait for them.
type RateLimitFilter struct{}

// Accepts implements Filter.
func (RateLimitFilter) Accepts(candidate *Candidate, query *Query) bool {
	switch {
	case !candidate.RateLimited:
		return true
	case query.Class == core.ClassRollout:
		return candidate.RateTokens >= 1
	default:
		return candidate.RateTokens >= 1-candidate.RateAdvance
	}
}
