package routing

import (
	"math/rand/v2"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Bounds of one decision.
const (
	maxAffine     = 4  // servers found through the prefix index
	maxHolders    = 16 // entries of the prefix index that are looked at
	maxRegions    = 2  // other regions that are asked for candidates
	maxCandidates = 32
)

// decision is the scratch space of Pick, kept so that it allocates nothing.
type decision struct {
	query      Query
	now        time.Time
	pool       *pool
	peers      float64
	linkOpen   bool
	holders    int // entries of the prefix index looked at
	affine     int // of them, candidates
	candidates [maxCandidates]Candidate
	count      int
}

// Pick chooses a server. It looks at a bounded number of servers and allocates
// nothing unless it fails. Errors: NoServer when no listed server may run the
// request, Overloaded when only the share of the link stands against it.
func (s *State) Pick(query Query, now time.Time, random *rand.Rand) (core.VM, error) {
	pool := s.pools[serviceKey{kind: query.Kind, service: query.Service}]
	if pool == nil {
		return core.VM{}, errkind.New(errkind.NoServer, "no server runs %q", query.Service)
	}
	s.begin(pool, &query, now)
	s.gatherLocal(random)
	if s.crossingPays() {
		s.gatherRemote(random)
	}
	d := &s.decision
	if d.count == 0 {
		return core.VM{}, s.refuse(pool, &query)
	}
	return *d.candidates[s.picker.Pick(d.candidates[:d.count], random)].VM, nil
}

func (s *State) begin(pool *pool, query *Query, now time.Time) {
	d := &s.decision
	d.query, d.now, d.pool = *query, now, pool
	d.count, d.holders, d.affine = 0, 0, 0
	d.peers = pool.peers(s.processes)
	d.linkOpen = pool.isOnlyIn(query.Region) || s.link.open(query.Class, query.linkBytes(), now)
}

// refuse tells why no candidate passed.
func (s *State) refuse(pool *pool, query *Query) error {
	if !s.decision.linkOpen {
		for _, region := range pool.regions {
			fit, unknown := region.choose(query), region.chooseUnknown(query)
			if region.name != query.Region && fit.count+unknown.count > 0 {
				return errkind.New(errkind.Overloaded, "this process's share of the link to region %s is used up", region.name)
			}
		}
	}
	return errkind.New(errkind.NoServer, "no live server of %q can take the request", query.Service)
}

// offer adds a candidate unless a filter drops it, and returns whether it is
// among the candidates. Cached is what is known of the prompt at the server.
func (s *State) offer(row *server, cached float64) bool {
	d := &s.decision
	for i := range d.count {
		if known := &d.candidates[i]; known.server == row {
			if cached > known.Cached {
				known.Cached = cached
				known.cost = s.cost(known)
			}
			return true
		}
	}
	if d.count == maxCandidates {
		return false
	}
	candidate := &d.candidates[d.count]
	s.describe(candidate, row, cached)
	for _, filter := range s.filters {
		if !filter.Keep(candidate, &d.query) {
			return false
		}
	}
	candidate.cost = s.cost(candidate)
	d.count++
	return true
}

// describe takes a candidate's snapshot of a server.
func (s *State) describe(candidate *Candidate, row *server, cached float64) {
	d := &s.decision
	version, holds := row.holds(d.query.Adapter)
	*candidate = Candidate{
		VM: &row.vm, Holds: holds, Version: version, Lag: row.lag(d.query.Adapter, version),
		Ejected:  row.health.Ejected(),
		Weight:   row.health.Weight(d.pool.detector.Ramp(), d.now),
		Streams:  row.load.own.streams,
		Warm:     row.load.warm(d.now),
		Load:     s.loadOf(row, d.peers, d.now),
		Base:     d.pool.speed.base,
		Slope:    d.pool.speed.slopeFor(d.pool.tokensPerStream),
		Cached:   cached,
		Remote:   row.vm.Region != d.query.Region,
		LinkOpen: d.linkOpen,
		Pushback: row.pushback.left(d.now),
		server:   row,
	}
}

func (s *State) cost(candidate *Candidate) float64 {
	total := 0.0
	for _, scorer := range s.scorers {
		total += scorer.Score(candidate, &s.decision.query)
	}
	return total
}

// crossingPays reports whether a server in another region could be cheaper
// than the best candidate so far.
func (s *State) crossingPays() bool {
	d := &s.decision
	if d.pool.isOnlyIn(d.query.Region) || !d.linkOpen {
		return false
	}
	away := LinkScorer{Policy: s.policy.Link}.Score(&Candidate{Remote: true}, &d.query)
	for i := range d.count {
		if d.candidates[i].cost <= away {
			return false
		}
	}
	return true
}
