package lease

import (
	"hash/fnv"

	"fescuespar/internal/core"
)

// Candidates is how many entry processes follow each lease, so that the reads
// at the table service do not grow with the number of processes.
const Candidates = 3

// Name returns the name of the lease of a deployment's coordinator.
func Name(deployment core.DeploymentName) string { return "deployment/" + string(deployment) }

// IsCandidate reports whether a process is among the first Candidates of the
// live ones in the named lease's own order of all processes (rendezvous hashing).
func IsCandidate(name string, self core.VMID, live []core.Member) bool {
	own, ahead := Rank(name, self), 0
	for i := range live {
		if Rank(name, live[i].VM) < own {
			ahead++
		}
		if ahead == Candidates {
			return false
		}
	}
	return true
}

// Rank is a process's place in the named order of all processes: the lowest comes
// first.
func Rank(name string, vm core.VMID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(vm))
	return mix(hash.Sum64())
}

// Multipliers of the finalizer of MurmurHash3.
const (
	firstMultiplier  = 0xff51afd7ed558ccd
	secondMultiplier = 0xc4ceb9fe1a85ec53
)

// mix spreads hashes of names that differ in their last bytes only, which
// FNV-1a leaves close together.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= firstMultiplier
	hash ^= hash >> 33
	hash *= secondMultiplier
	return hash ^ hash>>33
}
