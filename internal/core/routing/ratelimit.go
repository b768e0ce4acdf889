package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// rateBurst is the time for which unused capacity under a rate limit is kept.
	rateBurst = 250 * time.Millisecond
	// rateAdvance is the time whose capacity requests of people may use in advance.
	rateAdvance = time.Second
	// minRateLimit, in requests a second, lets a server that takes none be asked now and
	// then whether it still does.
	minRateLimit = 0.1
	// initialRateShare applies until the members are known.
	initialRateShare = 0.1
	// demandMemory is the time constant of the average of this process's requests.
	demandMemory = 2 * time.Second
	// minDemand, in requests a second, is the least that is reported.
	minDemand = 0.05
)

// rateLimit is the limit of requests that a server names for all entry processes
// together, for as long as it names it, and what this process may use of it.
//
// The load is a few servers of many that name a limit below what they get, while one
// process sends most requests and the others a few each.
type rateLimit struct {
	named     bool
	perSecond float64
	changedAt time.Time
	tokens    float64 // requests that may be sent now, as of refilled
	refilled  time.Time
}

// rate returns the requests a second of a process with a share of the limit.
func (l *rateLimit) rate(share float64) float64 { return max(l.perSecond, minRateLimit) * share }

// available returns how many requests a process with a share of the limit may send now.
func (l *rateLimit) available(share float64, now time.Time) float64 {
	capacity := max(1, l.rate(share)*rateBurst.Seconds())
	return min(capacity, l.tokens+l.rate(share)*max(0, now.Sub(l.refilled).Seconds()))
}

// advance returns how many requests of people may be sent in advance, at most one.
func (l *rateLimit) advance(share float64) float64 {
	return min(1, l.rate(share)*rateAdvance.Seconds())
}

func (l *rateLimit) take(share float64, now time.Time) {
	if l.named {
		l.tokens, l.refilled = l.available(share, now)-1, now
	}
}

// demand is the average number of requests a second that this process sends, or would
// send without rate limits, to the servers of one pool.
type demand struct {
	perSecond float64
	at        time.Time
}

func (d *demand) add(now time.Time) {
	d.perSecond, d.at = d.value(now)+1/demandMemory.Seconds(), now
}

func (d *demand) value(now time.Time) float64 {
	return d.perSecond * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandMemory.Seconds())
}

// RecordNotice records the rate limit that a server named, or no longer named, in the
// response to a request sent at a time. It reports whether that changed the limit.
//
// A new limit begins with a random part of one request. In a large fleet, where the share
// of one process is a request in minutes, the first ones are then spread over that time.
func (s *State) RecordNotice(id core.ServerID, notice core.ServerNotice, sent, now time.Time, random *rand.Rand) bool {
	srv := s.serversByID[id]
	if srv == nil {
		return false
	}
	limit := &srv.rateLimit
	switch {
	case notice.Limited && !limit.named:
		srv.pool.limitedCount++
		*limit = rateLimit{named: true, perSecond: notice.RateLimit, changedAt: now, tokens: random.Float64(), refilled: now}
		return true
	case notice.Limited && limit.perSecond != notice.RateLimit:
		limit.tokens, limit.refilled = limit.available(s.rateShare(srv.pool), now), now
		limit.perSecond, limit.changedAt = notice.RateLimit, now
		return true
	case !notice.Limited && notice.Answered && limit.named && sent.After(limit.changedAt):
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

// Demand returns the requests a second that this process sends, or would send without
// rate limits, to the servers of each service, sorted by service.
func (s *State) Demand(now time.Time) []core.ServiceDemand {
	var demands []core.ServiceDemand
	for _, pool := range s.poolsByCreation {
		if perSecond := pool.demand.value(now); perSecond >= minDemand {
			demands = append(demands, core.ServiceDemand{Service: pool.key.service, PerSecond: perSecond})
		}
	}
	slices.SortFunc(demands, func(a, b core.ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return demands
}
