package routing

import (
	"math/rand/v2"
	"slices"

	"fescuespar/internal/core"
)

// gatherLocal adds the servers that have a prefix of the prompt cached, the
// region's recently used servers and a few of its servers at random.
func (s *State) gatherLocal(random *rand.Rand) {
	d := &s.decision
	s.gatherPrefixHolders(random)
	s.gatherRecent()
	if region := d.pool.region(d.query.Region); region != nil {
		s.drawFromRegion(region, s.policy.RandomCandidates, random)
	}
}

// gatherRecent adds the region's recently used servers that probably have an
// idle connection.
func (s *State) gatherRecent() {
	d := &s.decision
	if s.policy.ConnectionCost == 0 {
		return
	}
	for _, srv := range d.pool.recentlyUsed {
		if srv != nil && srv.vm.Region == d.query.Region && srv.load.hasIdleConnection(d.now) {
			s.addCandidate(srv, 0)
		}
	}
}

// gatherPrefixHolders adds servers that have a prefix of the prompt cached,
// longest prefix first.
func (s *State) gatherPrefixHolders(random *rand.Rand) {
	prefix := s.decision.query.Prefix
	if len(prefix) == 0 {
		return
	}
	s.addPrefixHolders(prefix, len(prefix)-1, random)
	for i := checkpointCount(len(prefix)) - 1; i >= 0; i-- {
		s.addPrefixHolders(prefix, checkpoints[i], random)
	}
}

// addPrefixHolders adds the servers that have the prompt's blocks up to and
// including the given one cached, starting at a random way of the index's set.
func (s *State) addPrefixHolders(prefix []uint64, block int, random *rand.Rand) {
	d := &s.decision
	set := s.prefixes.setFor(prefix[block])
	now := d.now.UnixNano()
	first := random.IntN(prefixWays)
	for i := 0; i < prefixWays && d.prefixCandidates < maxPrefixCandidates && d.entriesChecked < maxPrefixEntries; i++ {
		entry := &set[(first+i)%prefixWays]
		if entry.hash != prefix[block] || !s.prefixes.isFresh(entry, now) {
			continue
		}
		srv := s.slots[entry.slot]
		if srv == nil || srv.cacheEpoch != entry.cacheEpoch || srv.pool != d.pool {
			continue
		}
		cached := float64((block+1)*tokensPerBlock) * survivalProbability(entry, srv)
		d.entriesChecked++
		if s.addCandidate(srv, cached) {
			d.prefixCandidates++
		}
	}
}

// gatherRemote adds servers of up to maxRemoteRegions other regions, starting
// with a random region.
func (s *State) gatherRemote(random *rand.Rand) {
	regions := s.decision.pool.regions
	first := random.IntN(len(regions))
	searched := 0
	for i := 0; i < len(regions) && searched < maxRemoteRegions; i++ {
		region := regions[(first+i)%len(regions)]
		if region.name != s.decision.query.Region {
			s.drawFromRegion(region, s.policy.RandomCandidates, random)
			searched++
		}
	}
}

// drawFromRegion adds random matching servers of a region. Engines without a
// report are used only when no other server matches.
func (s *State) drawFromRegion(region *regionIndex, number int, random *rand.Rand) {
	if matches := region.match(&s.decision.query); s.drawFromMatches(&matches, number, random) {
		return
	}
	unreported := region.matchUnreported(&s.decision.query)
	s.drawFromMatches(&unreported, number, random)
}

// drawFromMatches adds a number of distinct random servers of a match set and
// returns whether any is a candidate. If all drawn servers are rejected, it
// tries one more server than the query excludes or advertise a rate limit, so that
// these alone never hide an eligible server.
func (s *State) drawFromMatches(matches *matchSet, number int, random *rand.Rand) bool {
	if matches.count <= number {
		return s.addConsecutive(matches, 0, matches.count)
	}
	var drawn [2 * maxRandomCandidates]*server
	added := 0
	for i := 0; i < len(drawn) && added < min(number, maxRandomCandidates); i++ {
		srv := matches.server(random.IntN(matches.count))
		if slices.Contains(drawn[:i], srv) {
			continue
		}
		drawn[i] = srv
		if s.addCandidate(srv, 0) {
			added++
		}
	}
	if added > 0 {
		return true
	}
	return s.addConsecutive(matches, random.IntN(matches.count), min(matches.count, len(s.decision.query.Exclude)+s.decision.pool.limitedCount+1))
}

// maxRandomCandidates bounds Policy.RandomCandidates.
const maxRandomCandidates = 4

// addConsecutive adds a number of consecutive servers of a match set, wrapping
// around at its end, and returns whether any is a candidate.
func (s *State) addConsecutive(matches *matchSet, first, number int) (found bool) {
	for i := range number {
		if s.addCandidate(matches.server((first+i)%matches.count), 0) {
			found = true
		}
	}
	return found
}

// gatherSoftware adds the servers of the software version that the query requires, from a
// random one on. Servers of other versions may be so many that none of it is drawn. If all of
// the version are ejected, it adds these, but for requests that can wait for a slot: an
// ejection assumes that others take the work, and these are the only ones that may. It takes
// time linear in the number of servers.
func (s *State) gatherSoftware(random *rand.Rand) {
	d := &s.decision
	first := random.IntN(len(s.sortedServers))
	for _, d.acceptsEjected = range [...]bool{false, true} {
		for i := range s.sortedServers {
			srv := s.sortedServers[(first+i)%len(s.sortedServers)]
			if srv.pool == d.pool && srv.vm.Software == d.query.Software {
				s.addCandidate(srv, 0)
			}
		}
		if d.candidateCount > 0 || d.query.RequiresFreeSlot {
			return
		}
	}
}

// ServesSoftware reports whether a service has a live server of a software version.
func (s *State) ServesSoftware(kind core.ServerKind, service string, version core.SoftwareVersion) bool {
	return slices.ContainsFunc(s.sortedServers, func(srv *server) bool {
		return srv.vm.Kind == kind && srv.vm.Service == service && srv.vm.Software == version && srv.vm.State == core.VMLive && version != ""
	})
}
