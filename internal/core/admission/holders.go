package admission

import (
	"cmp"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/rendezvous"
)

const (
	// equalMembers is the number of processes up to which each holds an equal
	// part of every limit.
	equalMembers = 16
	// holderPlaces is how much of a limit a holder has at least beyond that.
	holderPlaces = 8
	// leastHolders is how many hold a limit at least, so that the loss of one
	// leaves most of it. A deployment with rollouts has no more: its
	// coordinator needs nearly all and borrows from few.
	leastHolders = 4
)

// holders returns how many of the members hold parts of a limit.
func holders(limit, members int, few bool) int {
	count := members
	if members > equalMembers {
		count = max(limit/holderPlaces, leastHolders)
		if few {
			count = leastHolders
		}
	}
	return min(count, members, max(limit, 1))
}

// standing is a process's place in a deployment's order of all members.
type standing struct {
	members int
	ahead   int // members that come before it
}

// part returns the part of a limit that the process owns.
func (s standing) part(limit int, few bool) int {
	if s.members == 0 {
		return 0
	}
	count := holders(limit, s.members, few)
	if s.ahead >= count {
		return 0
	}
	part := limit / count
	if s.ahead < limit%count {
		part++
	}
	return part
}

// standingOf returns a process's place by rendezvous hashing. The order is that
// of the deployment's lease, so that the coordinator of its rollouts is a holder.
func standingOf(deployment core.DeploymentName, self core.VMID, members []core.VMID) standing {
	name := lease.Name(deployment)
	own, ahead := rendezvous.Rank(name, string(self)), 0
	for _, vm := range members {
		if vm != self && rendezvous.Rank(name, string(vm)) < own {
			ahead++
		}
	}
	return standing{members: len(members), ahead: ahead}
}

// holdersOf returns the first members in the deployment's order, sorted by name.
func holdersOf(deployment core.DeploymentName, members []core.VMID, count int) []core.VMID {
	if count >= len(members) {
		return members
	}
	type ranked struct {
		vm   core.VMID
		rank uint64
	}
	name, order := lease.Name(deployment), make([]ranked, len(members))
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
