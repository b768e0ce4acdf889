package routing

import (
	"math/rand/v2"
	"slices"
)

// gatherLocal offers the servers that hold the prefix and a few of the region's
// servers drawn at random.
func (s *State) gatherLocal(random *rand.Rand) {
	d := &s.decision
	s.gatherAffine(random)
	s.gatherRecent()
	if region := d.pool.region(d.query.Region); region != nil {
		s.draw(region, s.policy.Draws, random)
	}
}

// gatherRecent offers the region's servers that were used last, if connections
// to them are probably kept.
func (s *State) gatherRecent() {
	d := &s.decision
	if s.policy.Connect == 0 {
		return
	}
	for _, row := range d.pool.recent {
		if row != nil && row.vm.Region == d.query.Region && row.load.warm(d.now) {
			s.offer(row, 0)
		}
	}
}

// gatherAffine offers servers that hold a part of the prompt, those with the
// longest part first.
func (s *State) gatherAffine(random *rand.Rand) {
	prefix := s.decision.query.Prefix
	if len(prefix) == 0 {
		return
	}
	s.offerHolders(prefix, len(prefix)-1, random)
	for i := checkpointsBelow(len(prefix)) - 1; i >= 0; i-- {
		s.offerHolders(prefix, checkpoints[i], random)
	}
}

// offerHolders offers the servers that hold the blocks up to one, from a random
// way of the index's set on.
func (s *State) offerHolders(prefix []uint64, block int, random *rand.Rand) {
	d := &s.decision
	set := s.prefixes.set(prefix[block])
	now := d.now.UnixNano()
	first := random.IntN(prefixWays)
	for i := 0; i < prefixWays && d.affine < maxAffine && d.holders < maxHolders; i++ {
		entry := &set[(first+i)%prefixWays]
		if entry.hash != prefix[block] || !s.prefixes.usable(entry, now) {
			continue
		}
		row := s.slots[entry.slot]
		if row == nil || row.epoch != entry.epoch || row.pool != d.pool {
			continue
		}
		cached := float64((block+1)*tokensPerBlock) * trust(entry, row)
		d.holders++
		if s.offer(row, cached) {
			d.affine++
		}
	}
}

// gatherRemote draws from the other regions, starting with a random one.
func (s *State) gatherRemote(random *rand.Rand) {
	regions := s.decision.pool.regions
	first := random.IntN(len(regions))
	asked := 0
	for i := 0; i < len(regions) && asked < maxRegions; i++ {
		region := regions[(first+i)%len(regions)]
		if region.name != s.decision.query.Region {
			s.draw(region, s.policy.Draws, random)
			asked++
		}
	}
}

// draw offers servers of a region drawn at random, engines that have not
// reported only when no other fits.
func (s *State) draw(region *regionIndex, number int, random *rand.Rand) {
	if fit := region.choose(&s.decision.query); s.drawFrom(&fit, number, random) {
		return
	}
	unknown := region.chooseUnknown(&s.decision.query)
	s.drawFrom(&unknown, number, random)
}

// drawFrom offers a number of different servers of a choice and returns whether
// any is a candidate. When the draws meet only excluded servers it looks at one
// more server than the query excludes, so that one that fits is never missed.
func (s *State) drawFrom(fit *choice, number int, random *rand.Rand) bool {
	if fit.count <= number {
		return s.offerRun(fit, 0, fit.count)
	}
	var drawn [2 * maxDraws]*server
	kept := 0
	for i := 0; i < len(drawn) && kept < min(number, maxDraws); i++ {
		row := fit.at(random.IntN(fit.count))
		if slices.Contains(drawn[:i], row) {
			continue
		}
		drawn[i] = row
		if s.offer(row, 0) {
			kept++
		}
	}
	if kept > 0 {
		return true
	}
	return s.offerRun(fit, random.IntN(fit.count), min(fit.count, len(s.decision.query.Exclude)+1))
}

// maxDraws bounds Policy.Draws.
const maxDraws = 4

// offerRun offers a run of servers, wrapping around at the end, and returns
// whether any is a candidate.
func (s *State) offerRun(fit *choice, first, number int) (found bool) {
	for i := range number {
		if s.offer(fit.at((first+i)%fit.count), 0) {
			found = true
		}
	}
	return found
}
