package routing

import (
	"math/rand/v2"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Limits of one decision.
const (
	maxPrefixCandidates = 4  // candidates found through the prefix index
	maxPrefixEntries    = 16 // valid prefix index entries examined
	maxRemoteRegions    = 2  // other regions searched for candidates
	maxCandidates       = 32
)

// decision is the working state of Pick, reused so that Pick does not allocate.
type decision struct {
	query            Query
	now              time.Time
	pool             *pool
	peerRatio        float64
	linkAvailable    bool
	acceptsSlow      bool    // servers that are ejected because they are slow may be candidates
	acceptsEjected   bool    // all ejected servers may be
	rateShare        float64 // this process's share of the servers' rate limits
	paceDraw         float64
	ignoresPace      bool // servers' paces count in the cost only
	entriesChecked   int  // valid prefix index entries examined
	prefixCandidates int  // candidates found through those entries
	candidates       [maxCandidates]Candidate
	candidateCount   int
}

// Pick chooses a server. It examines a bounded number of servers and allocates
// only on failure. It returns NoServer when no listed server may run the
// request, and Overloaded when only servers of other regions could run it and
// this process's share of the link is used up, or when this process has used its
// share of the rate limits that servers advertise.
func (s *State) Pick(query Query, now time.Time, random *rand.Rand) (core.VM, error) {
	pool := s.pools[serviceKey{kind: query.Kind, service: query.Service}]
	if pool == nil {
		return core.VM{}, errkind.New(errkind.NoServer, "no listed server of kind %s runs %q", query.Kind, query.Service)
	}
	s.beginDecision(pool, &query, now)
	d := &s.decision
	if len(pool.paced.servers) > 0 {
		d.paceDraw = random.Float64()
	}
	s.gather(random)
	if d.candidateCount == 0 && len(pool.paced.servers) > 0 && (!query.KeepsPace || pool.lossFactor(now) < 1) {
		d.ignoresPace = true
		s.gather(random)
	}
	if d.candidateCount == 0 && query.ExactSoftware {
		s.gatherSoftware(random)
	}
	if d.candidateCount == 0 {
		s.gatherSlow(random)
	}
	if d.candidateCount == 0 {
		if pool.limitedCount > 0 {
			pool.demand.add(now)
		}
		return core.VM{}, s.noCandidateError(pool, &query)
	}
	return *d.candidates[s.picker.Pick(d.candidates[:d.candidateCount], random)].VM, nil
}

// gather adds the candidates of a decision.
func (s *State) gather(random *rand.Rand) {
	s.gatherLocal(random)
	if s.remoteMayBeCheaper() {
		s.gatherRemote(random)
	}
}

func (s *State) beginDecision(pool *pool, query *Query, now time.Time) {
	d := &s.decision
	d.query, d.now, d.pool = *query, now, pool
	d.candidateCount, d.entriesChecked, d.prefixCandidates = 0, 0, 0
	d.ignoresPace, d.acceptsSlow, d.acceptsEjected = false, false, false
	d.peerRatio = pool.peerRatio(s.processCount)
	d.rateShare = s.rateShare(pool)
	d.linkAvailable = pool.isOnlyIn(query.Region) || s.link.hasCapacity(query.Class, query.crossRegionBytes(), now)
}

// noCandidateError returns the reason why the decision found no candidate.
func (s *State) noCandidateError(pool *pool, query *Query) error {
	if !s.decision.linkAvailable {
		for _, region := range pool.regions {
			matches, unknown := region.match(query), region.matchUnreported(query)
			if region.name != query.Region && matches.count+unknown.count > 0 {
				return errkind.New(errkind.Overloaded, "link share of this process to region %s is used up: %.0f bytes needed", region.name, query.crossRegionBytes())
			}
		}
	}
	if s.policy.BytesPerSlot > 0 && query.BodyBytes > smallBody && pool.bytesInFlight > 0 {
		return errkind.New(errkind.Overloaded, "servers of %q hold %d bytes of this process's requests, no %d more fit", query.Service, pool.bytesInFlight, query.BodyBytes)
	}
	if pool.limitedCount > 0 {
		return errkind.New(errkind.Overloaded, "%d of %d servers of %q advertise a rate limit of which this process has used its share, and no other is eligible", pool.limitedCount, pool.serverCount, query.Service)
	}
	return errkind.New(errkind.NoServer, "none of %d servers of %q is eligible for the request", pool.serverCount, query.Service)
}

// addCandidate adds a server to the candidates unless a filter rejects it, and
// returns whether the server is a candidate. Cached is the expected number of
// the prompt's tokens in the server's cache.
func (s *State) addCandidate(srv *server, cached float64) bool {
	d := &s.decision
	for i := range d.candidateCount {
		if known := &d.candidates[i]; known.server == srv {
			if cached > known.CachedTokens {
				known.CachedTokens = cached
				known.cost = s.totalCost(known)
			}
			return true
		}
	}
	if d.candidateCount == maxCandidates {
		return false
	}
	candidate := &d.candidates[d.candidateCount]
	s.fillCandidate(candidate, srv, cached)
	for _, filter := range s.filters {
		if !filter.Accepts(candidate, &d.query) {
			return false
		}
	}
	candidate.cost = s.totalCost(candidate)
	d.candidateCount++
	return true
}

// fillCandidate sets a candidate from the current state of a server.
func (s *State) fillCandidate(candidate *Candidate, srv *server, cached float64) {
	d := &s.decision
	version, holds := srv.adapterVersion(d.query.Adapter)
	ejected := srv.health.Ejected()
	srv.rateLimit.refill(d.rateShare, d.now)
	weight, paceShare := s.weights(srv)
	if d.acceptsEjected || d.acceptsSlow && srv.isOnlySlow() {
		ejected, weight = false, 1
	}
	*candidate = Candidate{
		VM: &srv.vm, HoldsAdapter: holds, Version: version, VersionLag: srv.versionLag(d.query.Adapter, version),
		Ejected:           ejected,
		Weight:            weight,
		BytesInFlight:     srv.bytesInFlight,
		OwnStreams:        srv.load.own.streams,
		HasIdleConnection: srv.load.hasIdleConnection(d.now),
		LoadTokens:        s.loadTokens(srv, d.peerRatio, d.now),
		SecondsPerToken:   d.pool.speed.base,
		LoadSlope:         d.pool.speed.effectiveSlope(d.pool.tokensPerStream),
		CachedTokens:      cached,
		Remote:            srv.vm.Region != d.query.Region,
		LinkAvailable:     d.linkAvailable,
		RateLimited:       srv.rateLimit.isActive,
		RateTokens:        srv.rateLimit.requests.available,
		RateAdvance:       srv.rateLimit.advance(),
		Pushback:          srv.pushback.remaining(d.now),
		PaceShare:         paceShare,
		PaceDraw:          d.paceDraw,
		server:            srv,
	}
}

// weights returns the weight of a server in its cost and the share of its usual work by
// which it is filtered. Its pace counts in one of them.
func (s *State) weights(srv *server) (weight, paceShare float64) {
	d := &s.decision
	switch {
	case !s.policy.Pace:
		return srv.health.Weight(d.pool.detector.RampUp(), d.now), 1
	case d.ignoresPace:
		return s.paceShare(srv, d.now), 1
	default:
		return 1, s.paceShare(srv, d.now)
	}
}

func (s *State) totalCost(candidate *Candidate) float64 {
	total := 0.0
	for _, scorer := range s.scorers {
		total += scorer.Score(candidate, &s.decision.query)
	}
	return total
}

// remoteMayBeCheaper reports whether a server in another region could cost less
// than the best candidate so far.
func (s *State) remoteMayBeCheaper() bool {
	d := &s.decision
	if d.pool.isOnlyIn(d.query.Region) || !d.linkAvailable {
		return false
	}
	linkCost := LinkScorer{Policy: s.policy.Link}.Score(&Candidate{Remote: true}, &d.query)
	for i := range d.candidateCount {
		if d.candidates[i].cost <= linkCost {
			return false
		}
	}
	return true
}
