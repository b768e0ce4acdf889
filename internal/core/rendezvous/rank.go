// Package rendezvous ranks candidates for a key by rendezvous hashing: all
// processes compute the same order, and adding or removing a candidate does not
// change the order of the others.
package rendezvous

import "hash/fnv"

// Rank returns a candidate's rank for a key. The candidate with the lowest rank
// comes first. Processes of different versions must compute the same ranks.
func Rank(key, candidate string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(candidate))
	return Mix(hash.Sum64())
}

// Multipliers of the 64-bit finalizer of MurmurHash3.
const (
	mixMultiplier1 = 0xff51afd7ed558ccd
	mixMultiplier2 = 0xc4ceb9fe1a85ec53
)

// Mix distributes hashes evenly over 64 bits. FNV-1a returns similar hashes for
// names that differ only in their last bytes.
func Mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= mixMultiplier1
	hash ^= hash >> 33
	hash *= mixMultiplier2
	return hash ^ hash>>33
}
