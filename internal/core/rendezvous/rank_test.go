package rendezvous

import (
	"fmt"
	"math"
	"testing"
)

// TestCandidatesRankFirstEquallyOften ranks names that differ only in their last
// bytes.
func TestCandidatesRankFirstEquallyOften(t *testing.T) {
	const keys, candidates = 20_000, 10
	first := make(map[string]float64)
	for i := range keys {
		best, lowest := "", uint64(math.MaxUint64)
		for j := range candidates {
			name := fmt.Sprint("entry-", j)
			if rank := Rank(fmt.Sprint("key-", i), name); rank <= lowest {
				best, lowest = name, rank
			}
		}
		first[best]++
	}
	const mean = keys / candidates
	for name, times := range first {
		if math.Abs(times-mean) > 5*math.Sqrt(mean) {
			t.Errorf("%s ranks first for %.0f keys, want about %d", name, times, mean)
		}
	}
}

// TestRankIsStable checks one rank against a fixed value: processes of two
// versions that run at the same time must agree on the ranks.
func TestRankIsStable(t *testing.T) {
	if got, want := Rank("deployment/coach", "entry-1"), uint64(0x3e0b65d4864d96e4); got != want {
		t.Errorf("Rank = %#x, want %#x", got, want)
	}
}
