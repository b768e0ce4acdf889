package core

import (
	"hash/fnv"
	"strconv"
)

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

// tokensPerBlock is the number of prompt tokens in a block of PrefixBlockBytes.
const tokensPerBlock = 16

// MaxPromptBlocks is the number of blocks of a prompt of which PromptHashes returns hashes.
// It is 16,384 tokens, the length up to which routing compares cached prefixes.
const MaxPromptBlocks = 1024

// PromptHashes returns a hash for each block of a prompt, MaxPromptBlocks at most. Equal
// hashes mean equal prompts up to the end of the block. The time and memory that it takes do
// not depend on the numbers of tokens, which callers name.
func PromptHashes(parts []PromptPart) []uint64 {
	var hashes []uint64
	chain := fnv.New64a()
	for _, part := range parts {
		_, _ = chain.Write([]byte(part.ID))
		for block := range min(part.Tokens/tokensPerBlock, MaxPromptBlocks-len(hashes)) {
			_, _ = chain.Write([]byte(strconv.Itoa(block)))
			hashes = append(hashes, chain.Sum64())
		}
	}
	return hashes
}
