package route

import (
	"testing"

	"fescuespar/internal/core"
)

// TestPriority guards against a route's priority that replaces that of the account.
func TestPriority(t *testing.T) {
	urgent := 0
	table := &core.RouteTable{Accounts: core.Accounts{
		core.KeyDigest{1}: {Name: "urgent", Priority: &urgent}, core.KeyDigest{2}: {Name: "plain"},
	}}
	for account, want := range map[core.AccountName]int{"urgent": 0, "plain": 2, "unknown": 2, "": 2} {
		if got := Priority(table, account, &core.Route{Priority: 2}); got != want {
			t.Errorf("priority %d of account %q, want %d", got, account, want)
		}
	}
}
