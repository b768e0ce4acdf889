package membership

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// AddressQuery is a request for the entry VM addresses that a caller should use.
type AddressQuery struct {
	Caller core.CallerName
	Zone   core.ZoneName // availability zone of the caller; empty if unknown
	Count  int           // number of addresses requested
}

// AddressAnswer is the reply to an AddressQuery.
type AddressAnswer struct {
	Addresses []string      // host:port, in order of preference
	CacheFor  time.Duration // how long the caller may cache the answer
}

// Ranks of members for a caller; lower is preferred.
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

// Addresses selects addresses for a caller. Members in the caller's availability
// zone are preferred, but the last address is in another zone, so that the caller
// survives the loss of its own. Suspect and leaving members are returned only if
// there is no other member. Callers are distributed by rendezvous hashing weighted
// by load, so that answers change little from call to call.
func Addresses(query AddressQuery, members []core.Member) AddressAnswer {
	candidates := rankCandidates(query, members)
	usableCount := slices.IndexFunc(candidates, func(c candidate) bool { return c.rank >= rankSuspect })
	switch {
	case usableCount == 0:
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return c.rank != candidates[0].rank })
	case usableCount > 0:
		candidates = candidates[:usableCount]
	}
	answer := AddressAnswer{CacheFor: cacheTime(members)}
	for _, c := range spreadZones(candidates, query.Count) {
		answer.Addresses = append(answer.Addresses, c.member.CallAddress)
	}
	return answer
}

// rankCandidates returns the members that callers can reach, in order of
// preference.
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

// spreadZones returns the first count candidates. It replaces the last one if all
// of them are in the same availability zone and a candidate exists in another.
func spreadZones(candidates []candidate, count int) []candidate {
	if len(candidates) <= count || count < 2 {
		return candidates[:min(count, len(candidates))]
	}
	chosen := slices.Clone(candidates[:count])
	zone := chosen[0].member.Zone
	inOtherZone := func(c candidate) bool { return c.member.Zone != zone }
	if slices.ContainsFunc(chosen, inOtherZone) {
		return chosen
	}
	if at := slices.IndexFunc(candidates, inOtherZone); at >= 0 {
		chosen[count-1] = candidates[at]
	}
	return chosen
}

// cacheTime returns how long callers may cache an answer: shorter while a member
// is suspect or leaving, because answers are then likely to change soon.
func cacheTime(members []core.Member) time.Duration {
	isUnstable := func(m core.Member) bool {
		return m.State == core.MemberSuspect || m.State == core.MemberLeaving
	}
	if slices.ContainsFunc(members, isUnstable) {
		return ShortAddressCacheTime
	}
	return AddressCacheTime
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

// score returns the member's weighted rendezvous hash for the caller: a member
// with twice the weight is the first choice of twice as many callers.
func score(caller core.CallerName, m core.Member, mean float64) float64 {
	h := fnv.New64a()
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(m.VM))
	const fraction = 1 << 53
	uniform := (float64(mix(h.Sum64())>>11) + 0.5) / fraction
	return loadWeight(m.Load, mean) / -math.Log(uniform)
}

// mix distributes the bits of a hash over inputs that differ little at their end
// (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// A load up to highLoadRatio times the mean, or below minHighLoad, does not reduce the
// weight of a member, so that small changes of load move no callers.
const (
	highLoadRatio  = 1.5
	minHighLoad    = 8   // requests in flight
	highLoadWeight = 0.5 // weight of a member above highLoadRatio
	overloadRatio  = 3.0
	overloadWeight = 0.125 // weight of a member above overloadRatio
)

func loadWeight(load uint32, mean float64) float64 {
	switch l := float64(load); {
	case l < minHighLoad || l <= highLoadRatio*mean:
		return 1
	case l <= overloadRatio*mean:
		return highLoadWeight
	default:
		return overloadWeight
	}
}
