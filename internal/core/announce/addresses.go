package announce

import (
	"cmp"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rendezvous"
)

const (
	// minNearbyMembers is the number of members in a caller's region from which on
	// the caller is sent only there, so that it survives the loss of one.
	minNearbyMembers = 2
	// maxAddresses is the number of addresses that callers use of an answer.
	maxAddresses = 64
)

// Addresses returns the call addresses of the members in a region, or those of all
// members if the region has fewer than minNearbyMembers. Of more than maxAddresses it
// returns a part: as many of each availability zone, and others from each process that
// answers, so that callers use all members and the loss of a zone leaves them some.
//
// The load is a region of more members than callers use, one zone of which loses power.
func Addresses(live []core.Member, self core.VMID, region core.RegionName) []string {
	near := slices.DeleteFunc(slices.Clone(live), func(m core.Member) bool { return m.Region != region })
	if len(near) < minNearbyMembers {
		near = live
	}
	if len(near) > maxAddresses {
		near = spreadOverZones(near, self)[:maxAddresses]
	}
	var addresses []string
	for i := range near {
		addresses = append(addresses, near[i].CallAddress)
	}
	return addresses
}

// spreadOverZones orders members so that each prefix has about as many of each zone.
// Within a zone the order differs between processes.
func spreadOverZones(members []core.Member, self core.VMID) []core.Member {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b core.Member) int {
		return cmp.Compare(rendezvous.Rank(string(self), string(a.VM)), rendezvous.Rank(string(self), string(b.VM)))
	})
	before := make(map[core.ZoneName]int)          // members of the zone that are ordered before
	round := make(map[core.VMID]int, len(ordered)) // place within the zone
	for i := range ordered {
		round[ordered[i].VM] = before[ordered[i].Zone]
		before[ordered[i].Zone]++
	}
	slices.SortStableFunc(ordered, func(a, b core.Member) int { return cmp.Compare(round[a.VM], round[b.VM]) })
	return ordered
}
