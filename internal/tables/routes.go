package tables

import (
	"math/rand/v2"

	"fescuespar/internal/core"
	"fescuespar/internal/core/account"
	"fescuespar/internal/core/route"
	"fescuespar/internal/lockrank"
)

// Routes holds the current route table.
type Routes struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	current *core.RouteTable
	removed *account.RemovedKeys // nil if the deployment never had client accounts
	random  *rand.Rand
}

// NewRoutes returns a table without routes.
func NewRoutes(random *rand.Rand) *Routes {
	return &Routes{mu: lockrank.New(lockrank.RankConfiguration), random: random}
}

// Apply replaces the route table if the given one is newer, and reports whether
// it did. It returns the replaced table, nil for the first one.
func (t *Routes) Apply(table *core.RouteTable) (replaced *core.RouteTable, applied bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if table == nil || t.current != nil && table.Version <= t.current.Version {
		return nil, false
	}
	replaced, t.current = t.current, table
	if t.removed != nil || replaced != nil && replaced.Accounts != nil {
		t.removed = t.removed.After(replaced, table)
	}
	return replaced, true
}

// Current returns the current route table, or nil before the first one.
func (t *Routes) Current() *core.RouteTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// CurrentAccounts returns the current route table, or nil before the first one, and the
// keys that earlier ones had.
func (t *Routes) CurrentAccounts() (*core.RouteTable, *account.RemovedKeys) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, t.removed
}

// Choose picks a service of a route at random.
func (t *Routes) Choose(taken *core.Route) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return route.ChooseService(taken, t.random)
}
