package routing

import "math/rand/v2"

// placement says where the index of a region lists a server.
type placement int

const (
	unlisted   placement = iota
	listed               // may receive new requests
	listedSlow           // ejected because it is slow: receives what no other server may take
)

// placement returns where the server belongs now.
func (r *server) placement() placement {
	switch {
	case r.eligible():
		return listed
	case r.isOnlySlow():
		return listedSlow
	default:
		return unlisted
	}
}

// isOnlySlow reports whether the server is live and out of service only because it is
// slow.
func (r *server) isOnlySlow() bool { return r.eligibleState() && r.health.EjectedAsSlow() }

// gatherSlow adds servers that are ejected because they are slow, for a decision without
// other candidates. An ejection assumes that the others take the work, and they can't while
// they have reached the rate limits that they advertise. Requests that wait for a slot wait
// for one of the others.
func (s *State) gatherSlow(random *rand.Rand) {
	d := &s.decision
	if d.query.RequiresFreeSlot {
		return
	}
	d.acceptsSlow = true
	for _, region := range d.pool.regions {
		slow := region.slow.servers
		if len(slow) == 0 {
			continue
		}
		first := random.IntN(len(slow))
		for i := range min(len(slow), maxCandidates) {
			s.addCandidate(slow[(first+i)%len(slow)], 0)
		}
	}
}
