package core

import "hash/fnv"

// PrefixBlockBytes is the size of the prompt blocks that engines cache as a unit.
const PrefixBlockBytes = 64

// PrefixHashes returns one hash for each complete block of a prompt. Hash i
// covers the bytes of blocks 0 to i, so equal hashes mean an equal prefix.
// CacheEvent.PrefixHash holds these hashes.
func PrefixHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	hash := fnv.New64a()
	for len(prompt) >= PrefixBlockBytes {
		_, _ = hash.Write([]byte(prompt[:PrefixBlockBytes]))
		hashes = append(hashes, hash.Sum64())
		prompt = prompt[PrefixBlockBytes:]
	}
	return hashes
}
