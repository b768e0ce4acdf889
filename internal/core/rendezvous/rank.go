// Package rendezvous ranks candidates for a key so that all processes agree on
// the order and one candidate more or less moves no other (rendezvous hashing).
package rendezvous

import "hash/fnv"

// Rank returns a candidate's place in the order of a key; the least is first.
func Rank(key, candidate string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(candidate))
	return Mix(hash.Sum64())
}

// Multipliers of the finalizer of MurmurHash3.
const (
	firstMultiplier  = 0xff51afd7ed558ccd
	secondMultiplier = 0xc4ceb9fe1a85ec53
)

// Mix spreads hashes of names that differ in their last bytes only, which
// FNV-1a leaves close together.
func Mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= firstMultiplier
	hash ^= hash >> 33
	hash *= secondMultiplier
	return hash ^ hash>>33
}
