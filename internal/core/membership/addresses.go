package membership

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// AddressQuery asks which entry addresses a caller shall use.
type AddressQuery struct {
	Caller core.CallerName
	Zone   core.ZoneName // the caller's availability zone, empty when unknown
	Count  int           // addresses wanted
}

// AddressAnswer is what a caller is told.
type AddressAnswer struct {
	Addresses []string // host:port, best first
	Keep      time.Duration
}

// ranks of members for a caller; lower is better.
const (
	rankOwnZone = iota
	rankOtherZone
	rankSuspect
	rankLeaving
)

type candidate struct {
	member core.Member
	rank   int
	score  float64
}

// Addresses chooses addresses for a caller. Members of the caller's
// availability zone come first, but the last address is in another one, so that
// a caller outlives the loss of its own. Suspect and leaving members are told
// only when no other is left. Callers spread by rendezvous hashing, weighted by
// load, so that the answer changes little from call to call.
func Addresses(query AddressQuery, members []core.Member) AddressAnswer {
	candidates := rankCandidates(query, members)
	usable := slices.IndexFunc(candidates, func(c candidate) bool { return c.rank >= rankSuspect })
	switch {
	case usable == 0:
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.rank != candidates[0].rank })
	case usable > 0:
		candidates = candidates[:usable]
	}
	answer := AddressAnswer{Keep: keep(members)}
	for _, c := range spreadZones(candidates, query.Count) {
		answer.Addresses = append(answer.Addresses, c.member.CallAddress)
	}
	return answer
}

// rankCandidates returns the members that callers can reach, best first.
func rankCandidates(query AddressQuery, members []core.Member) []candidate {
	mean := meanLoad(members)
	var candidates []candidate
	for _, m := range members {
		if m.CallAddress == "" || m.State == core.MemberGone {
			continue
		}
		candidates = append(candidates, candidate{m, rank(query, m), score(query.Caller, m, mean)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.score, a.score), cmp.Compare(a.member.VM, b.member.VM))
	})
	return candidates
}

func rank(query AddressQuery, m core.Member) int {
	switch {
	case m.State == core.MemberLeaving:
		return rankLeaving
	case m.State == core.MemberSuspect:
		return rankSuspect
	case query.Zone != "" && m.Zone == query.Zone:
		return rankOwnZone
	default:
		return rankOtherZone
	}
}

// spreadZones returns the first candidates, the last of them from another
// availability zone than the first where there is one.
func spreadZones(candidates []candidate, count int) []candidate {
	if len(candidates) <= count || count < 2 {
		return candidates[:min(count, len(candidates))]
	}
	chosen := slices.Clone(candidates[:count])
	zone := chosen[0].member.Zone
	elsewhere := func(c candidate) bool { return c.member.Zone != zone }
	if slices.ContainsFunc(chosen, elsewhere) {
		return chosen
	}
	if at := slices.IndexFunc(candidates, elsewhere); at >= 0 {
		chosen[count-1] = candidates[at]
	}
	return chosen
}

// keep returns how long callers may keep an answer: shorter while some member
// is suspect or leaving, as answers then change soon.
func keep(members []core.Member) time.Duration {
	troubled := func(m core.Member) bool {
		return m.State == core.MemberSuspect || m.State == core.MemberLeaving
	}
	if slices.ContainsFunc(members, troubled) {
		return AddressKeepShort
	}
	return AddressKeep
}

func meanLoad(members []core.Member) float64 {
	total, alive := 0.0, 0
	for _, m := range members {
		if m.State == core.MemberAlive {
			total += float64(m.Load)
			alive++
		}
	}
	return total / float64(max(alive, 1))
}

// score is the member's weighted rendezvous hash for the caller: members with
// twice the weight are first for twice the callers.
func score(caller core.CallerName, m core.Member, mean float64) float64 {
	h := fnv.New64a()
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(m.VM))
	const fraction = 1 << 53
	uniform := (float64(mix(h.Sum64())>>11) + 0.5) / fraction
	return loadWeight(m.Load, mean) / -math.Log(uniform)
}

// mix spreads the bits of a hash whose input ends alike (the finalizer of
// MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Loads up to busyLoad times the mean, and smaller ones than minBusyLoad, make
// no difference, so that small changes of load move no callers.
const (
	busyLoad    = 1.5
	minBusyLoad = 8   // requests in flight
	busyWeight  = 0.5 // of a member above busyLoad
	floodLoad   = 3.0
	floodWeight = 0.125 // of a member above floodLoad
)

func loadWeight(load uint32, mean float64) float64 {
	switch l := float64(load); {
	case l < minBusyLoad || l <= busyLoad*mean:
		return 1
	case l <= floodLoad*mean:
		return busyWeight
	default:
		return floodWeight
	}
}
