package tables

import (
	"math"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/retry"
)

// ChargeRetry charges the cost of a retry to a deployment's retry budget for the
// class and reports whether the retry is allowed. It charges nothing while so
// few requests are in flight that retries are free.
func (t *Limits) ChargeRetry(name core.DeploymentName, class core.Class, cost float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return false
	}
	return row.hasFreeRetries() || row.budgetOf(class).Withdraw(cost, now)
}

// hasFreeRetries reports whether so few requests are in flight that retries are
// free.
func (r *limitRow) hasFreeRetries() bool {
	return retry.HasSpareCapacity(r.gate.InFlight(), r.limits.Concurrent/r.share.OwnerCount())
}

// AffordableRetries returns how many retries of cost 1 a deployment's retry
// budget for the class allows, math.MaxInt while retries are free.
func (t *Limits) AffordableRetries(name core.DeploymentName, class core.Class, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[name]
	if row == nil {
		return 0
	}
	if row.hasFreeRetries() {
		return math.MaxInt
	}
	budget := row.budgetOf(class)
	budget.Withdraw(0, now)
	return int(budget.Balance())
}

// budgetOf returns the retry budget of a class.
func (r *limitRow) budgetOf(class core.Class) *retry.Budget {
	if class == core.ClassRollout {
		return r.rolloutRetryBudget
	}
	return r.retryBudget
}
