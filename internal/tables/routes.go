package tables

import (
	"math/rand/v2"

	"fescuespar/internal/core"
	"fescuespar/internal/core/route"
	"fescuespar/internal/lockrank"
)

// Routes holds the route table in force.
type Routes struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	inForce *core.RouteTable
	random  *rand.Rand
}

// NewRoutes returns a table without routes.
func NewRoutes(random *rand.Rand) *Routes {
	return &Routes{mu: lockrank.New(lockrank.RankConfiguration), random: random}
}

// Apply puts a newer route table in force. It returns false for any other.
func (t *Routes) Apply(table *core.RouteTable) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if table == nil || t.inForce != nil && table.Version <= t.inForce.Version {
		return false
	}
	t.inForce = table
	return true
}

// InForce returns the route table in force, or nil.
func (t *Routes) InForce() *core.RouteTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce
}

// Choose draws a service of a route.
func (t *Routes) Choose(taken *core.Route) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return route.Choose(taken, t.random)
}
