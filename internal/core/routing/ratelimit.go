package routing

import (
	"math/rand/v2"
	"time"

	"fescuespar/internal/core"
)

const (
	// rateBurst is the time over which unused capacity under a rate limit accumulates.
	rateBurst = 250 * time.Millisecond
	// rateAdvance is the time whose capacity interactive requests may use in advance.
	rateAdvance = time.Second
	// minRateLimit, in requests a second, lets a server that takes none be asked now and
	// then whether it still does.
	minRateLimit = 0.1
	// initialRateShare applies until the members are known.
	initialRateShare = 0.1
)

// rateLimit is the rate limit that a server advertises for all entry processes together,
// and this process's part of it.
//
// The load is a few servers of many that advertise a limit below what they get, while
// one process sends most requests and the others a few each.
type rateLimit struct {
	isActive  bool    // the server advertises a limit
	perSecond float64 // requests that it takes from all processes
	changedAt time.Time
	requests  tokenBucket // this process's part
}

// refill updates this process's part by its share of the limit, from 0 to 1.
func (l *rateLimit) refill(share float64, now time.Time) {
	perSecond := max(l.perSecond, minRateLimit) * share
	l.requests.setRate(perSecond, max(1, perSecond*rateBurst.Seconds()))
	l.requests.refill(now)
}

// advance returns how many interactive requests may be sent in advance, at most one.
func (l *rateLimit) advance() float64 {
	return min(1, l.requests.perSecond*rateAdvance.Seconds())
}

func (l *rateLimit) take(share float64, now time.Time) {
	if l.isActive {
		l.refill(share, now)
		l.requests.add(-1)
	}
}

// RecordNotice records the rate limit that a server advertised, or no longer advertised,
// in the response to a request sent at a time. It reports whether that changed the limit.
//
// A new limit begins with a random part of one request. In a large fleet, where the part
// of one process is a request in minutes, the first ones are then spread over that time.
func (s *State) RecordNotice(id core.ServerID, notice core.ServerNotice, sent, now time.Time, random *rand.Rand) bool {
	srv := s.serversByID[id]
	if srv == nil {
		return false
	}
	limit := &srv.rateLimit
	switch {
	case notice.Limited && !limit.isActive:
		srv.pool.limitedCount++
		*limit = rateLimit{isActive: true, perSecond: notice.RateLimit, changedAt: now}
		limit.requests = tokenBucket{available: random.Float64(), refilled: now}
		return true
	case notice.Limited && limit.perSecond != notice.RateLimit:
		limit.refill(s.rateShare(srv.pool), now)
		limit.perSecond, limit.changedAt = notice.RateLimit, now
		return true
	case !notice.Limited && notice.Answered && limit.isActive && sent.After(limit.changedAt):
		srv.pool.limitedCount--
		*limit = rateLimit{changedAt: now}
		return true
	default:
		return false
	}
}

// SetRateShares sets this process's share, from 0 to 1, of the rate limits of each
// service's servers. Other services have the given share.
func (s *State) SetRateShares(shares map[string]float64, others float64) {
	s.rateShares, s.otherRateShare = shares, others
}

func (s *State) rateShare(pool *pool) float64 {
	if share, known := s.rateShares[pool.key.service]; known {
		return share
	}
	return s.otherRateShare
}
