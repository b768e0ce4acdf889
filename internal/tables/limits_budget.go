package tables

import (
	"math"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/retry"
)

// Withdraw takes the cost of a repeat out of a deployment's budget for the class,
// unless so little is in flight that the repeat is free.
func (t *Limits) Withdraw(name core.DeploymentName, class core.Class, cost float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return false
	}
	return row.spare() || row.budgetOf(class).Withdraw(cost, now)
}

// spare reports whether so little is in flight that repeats are free.
func (r *limitRow) spare() bool {
	return retry.Spare(r.gate.InUse(), r.limits.Concurrent/r.share.Holders())
}

// Affordable returns how many whole repeats a deployment's budget for the class
// has room for.
func (t *Limits) Affordable(name core.DeploymentName, class core.Class, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return 0
	}
	if row.spare() {
		return math.MaxInt
	}
	budget := row.budgetOf(class)
	budget.Withdraw(0, now)
	return int(budget.Balance())
}

// budgetOf returns the budget of a class's repeats.
func (r *limitRow) budgetOf(class core.Class) *retry.Budget {
	if class == core.ClassRollout {
		return r.rollouts
	}
	return r.budget
}
