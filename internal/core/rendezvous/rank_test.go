package rendezvous

import (
	"fmt"
	"math"
	"testing"
)

// Names that differ in their last bytes only must be first equally often.
func TestEveryCandidateIsFirstAsOften(t *testing.T) {
	const keys, candidates = 20_000, 10
	first := make(map[string]float64)
	for i := range keys {
		best, least := "", uint64(math.MaxUint64)
		for j := range candidates {
			name := fmt.Sprint("entry-", j)
			if rank := Rank(fmt.Sprint("key-", i), name); rank <= least {
				best, least = name, rank
			}
		}
		first[best]++
	}
	const mean = keys / candidates
	for name, times := range first {
		if math.Abs(times-mean) > 5*math.Sqrt(mean) {
			t.Errorf("%s is first for %.0f keys, %d on average", name, times, mean)
		}
	}
}

// The order is part of what running processes of two versions agree on.
func TestRankIsFixed(t *testing.T) {
	if got, want := Rank("deployment/coach", "entry-1"), uint64(0x3e0b65d4864d96e4); got != want {
		t.Errorf("rank %#x, want %#x", got, want)
	}
}
