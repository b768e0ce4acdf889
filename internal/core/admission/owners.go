package admission

import (
	"cmp"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/rendezvous"
)

const (
	// maxEqualOwners is the number of processes up to which each owns an equal
	// part of every limit.
	maxEqualOwners = 16
	// minUnitsPerOwner is the smallest part of an owner where only some own the
	// limit.
	minUnitsPerOwner = 8
	// minOwners is the least number of owners of a limit, so that the loss of
	// one leaves most of it. A deployment with rollouts has exactly this many:
	// its coordinator needs nearly all of the limit and borrows from few peers.
	minOwners = 4
)

// ownerCount returns how many of the members own parts of a limit.
func ownerCount(limit, members int, fewOwners bool) int {
	count := members
	if members > maxEqualOwners {
		count = max(limit/minUnitsPerOwner, minOwners)
		if fewOwners {
			count = minOwners
		}
	}
	return min(count, members, max(limit, 1))
}

// memberRank is a process's rank in a deployment's order of all members.
type memberRank struct {
	members int
	rank    int // number of members before it
}

// units returns the part of a limit that the process owns.
func (s memberRank) units(limit int, fewOwners bool) int {
	if s.members == 0 {
		return 0
	}
	count := ownerCount(limit, s.members, fewOwners)
	if s.rank >= count {
		return 0
	}
	units := limit / count
	if s.rank < limit%count {
		units++
	}
	return units
}

// rankOf returns a process's rank by rendezvous hashing. The order is that of
// the deployment's lease, so that the coordinator of its rollouts is an owner.
func rankOf(deployment core.DeploymentName, self core.VMID, members []core.VMID) memberRank {
	name := lease.CoordinatorLeaseName(deployment)
	ownHash, rank := rendezvous.Rank(name, string(self)), 0
	for _, vm := range members {
		if vm != self && rendezvous.Rank(name, string(vm)) < ownHash {
			rank++
		}
	}
	return memberRank{members: len(members), rank: rank}
}

// ownersOf returns the first count members in the deployment's order, sorted by
// name.
func ownersOf(deployment core.DeploymentName, members []core.VMID, count int) []core.VMID {
	if count >= len(members) {
		return members
	}
	type ranked struct {
		vm   core.VMID
		rank uint64
	}
	name, order := lease.CoordinatorLeaseName(deployment), make([]ranked, len(members))
	for i, vm := range members {
		order[i] = ranked{vm, rendezvous.Rank(name, string(vm))}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	first := make([]core.VMID, count)
	for i := range first {
		first[i] = order[i].vm
	}
	slices.Sort(first)
	return first
}
