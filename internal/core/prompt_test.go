package core_test

import (
	"slices"
	"testing"

	"fescuespar/internal/core"
)

// TestPromptHashesAreBounded guards against a caller's number of tokens that sets the
// memory of a process: one part of 4e12 tokens ended each process that coordinated its job.
func TestPromptHashesAreBounded(t *testing.T) {
	for _, tokens := range []int{1 << 30, 4_000_000_000_000, 1<<63 - 1} {
		parts := []core.PromptPart{{ID: "9c2e41", Tokens: 300}, {ID: "5d07b8", Tokens: tokens}, {ID: "3a", Tokens: tokens}}
		if got := len(core.PromptHashes(parts)); got != core.MaxPromptBlocks {
			t.Errorf("part of %d tokens: %d hashes, want %d", tokens, got, core.MaxPromptBlocks)
		}
	}
}

// TestPromptHashesIdentifyPrefixes checks that hashes are equal as far as prompts are.
func TestPromptHashesIdentifyPrefixes(t *testing.T) {
	hashes := func(parts ...core.PromptPart) []uint64 { return core.PromptHashes(parts) }
	shared, own := core.PromptPart{ID: "a", Tokens: 300}, core.PromptPart{ID: "b", Tokens: 16}
	one, other := hashes(shared, own), hashes(shared, core.PromptPart{ID: "c", Tokens: 16})
	if blocks := 300/16 + 1; len(one) != blocks || !slices.Equal(one[:blocks-1], other[:blocks-1]) || one[blocks-1] == other[blocks-1] {
		t.Errorf("hashes %x and %x, want %d that differ in the last one", one, other, blocks)
	}
	if got := hashes(core.PromptPart{ID: "a", Tokens: -300}, core.PromptPart{ID: "b", Tokens: 15}); len(got) != 0 {
		t.Errorf("%d hashes without a whole block", len(got))
	}
	if reversed := hashes(own, shared); slices.Contains(reversed, one[0]) {
		t.Error("hashes do not depend on the parts before")
	}
}
