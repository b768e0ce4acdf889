package tables

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

func TestReadWithSameContentChangesNothing(t *testing.T) {
	const reregister = 3 * time.Second
	registry := NewRegistry(reregister)
	servers := func(ids ...core.ServerID) (entries []core.ServerEntry) {
		for _, id := range ids {
			entries = append(entries, core.ServerEntry{VM: core.VM{ID: id, Address: string(id)}})
		}
		return entries
	}
	both, one := servers("a", "b"), servers("a")
	for i, c := range []struct {
		second  int
		entries []core.ServerEntry
		content uint64
		failed  bool // a failed read comes before this one
		want    bool
	}{
		{0, both, 1, false, true},
		{1, both, 1, false, true}, // servers may still be registering again
		{4, both, 1, false, false},
		{5, both, 0, false, true}, // content version unknown
		{6, both, 0, false, true},
		{7, both, 1, false, true},
		{8, both, 1, true, true},  // after a failed read
		{9, one, 2, false, true},  // b is absent, but stays listed while servers register again
		{10, one, 2, false, true}, // b is still listed
		{12, one, 2, false, true}, // b is removed
		{13, one, 2, false, false},
	} {
		if c.failed {
			registry.RecordReadFailure()
		}
		now := tableNow.Add(time.Duration(c.second) * time.Second)
		if _, changed := registry.Observe(&core.Registrations{Entries: c.entries, ContentHash: c.content}, now); changed != c.want {
			t.Errorf("read %d: changed %v, want %v", i, changed, c.want)
		}
		if _, readAt := registry.Entries(); !readAt.Equal(now) {
			t.Errorf("read %d: read at %v, want %v", i, readAt, now)
		}
	}
	if entries, _ := registry.Entries(); len(entries) != 1 {
		t.Errorf("%d servers are considered live, want 1", len(entries))
	}
}
