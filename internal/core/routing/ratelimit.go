package routing

import (
	"time"

	"fescuespar/internal/core"
)

// rateLimit is the limit of requests that a server names for all entry processes
// together, for as long as it names it.
type rateLimit struct {
	named     bool
	perSecond float64
	changedAt time.Time
}

// RecordNotice records the rate limit that a server named, or no longer named, in the
// response to a request sent at a time. It reports whether that changed the limit.
func (s *State) RecordNotice(id core.ServerID, notice core.ServerNotice, sent, now time.Time) bool {
	srv := s.serversByID[id]
	if srv == nil {
		return false
	}
	limit := &srv.rateLimit
	switch {
	case notice.Limited && (!limit.named || limit.perSecond != notice.RateLimit):
		*limit = rateLimit{named: true, perSecond: notice.RateLimit, changedAt: now}
		return true
	case !notice.Limited && notice.Answered && limit.named && sent.After(limit.changedAt):
		*limit = rateLimit{changedAt: now}
		return true
	default:
		return false
	}
}
