package polling

import (
	"cmp"
	"hash/fnv"
	"slices"

	"fescuespar/internal/core"
)

// rank returns an engine's place in a process's order (rendezvous hashing).
func rank(self core.VMID, id core.ServerID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(self))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	return mix(hash.Sum64())
}

// Multipliers of the finalizer of MurmurHash3.
const (
	firstMultiplier  = 0xff51afd7ed558ccd
	secondMultiplier = 0xc4ceb9fe1a85ec53
)

// mix spreads hashes of names that differ in their last bytes only.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= firstMultiplier
	hash ^= hash >> 33
	hash *= secondMultiplier
	return hash ^ hash>>33
}

func sortByRank(engines []*engine) {
	slices.SortFunc(engines, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.vm.ID, b.vm.ID))
	})
}
