package relay

import (
	"strings"
	"testing"

	"fescuespar/internal/core"
)

// TestJobNamesAreSafeInKeys guards against ids of callers that become parts of keys: long
// ones, which the store refuses, and ones with a separator, which lie between the rows of
// other jobs.
func TestJobNamesAreSafeInKeys(t *testing.T) {
	for _, usual := range []core.JobID{"7c41e09b52d6a3f8", "step-7_a.B"} {
		if got := storedJobID(usual); got != usual {
			t.Errorf("%q becomes %q, want no change", usual, got)
		}
	}
	seen := map[core.JobID]core.JobID{}
	long := strings.Repeat("x", 10_000)
	for _, id := range []core.JobID{"", "a/00000000", "a|b", "a\x00", "\xff", "~a", "é", core.JobID(long), core.JobID(long + "y"), core.JobID(long[:190])} {
		stored := storedJobID(id)
		if len(stored) > 65 || strings.Trim(string(stored), "~0123456789abcdef") != "" {
			t.Errorf("id of %d bytes becomes %q", len(id), stored)
		}
		if other, found := seen[stored]; found {
			t.Errorf("%.20q and %.20q become the same", id, other)
		}
		seen[stored] = id
	}
	digest := storedJobID("a/b")
	if storedJobID(digest) == digest {
		t.Error("a caller can name the digest of another id")
	}
}
