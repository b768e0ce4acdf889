package retry

import "time"

const (
	// depositPerRequest is the number of retries that each request adds to the
	// balance.
	depositPerRequest = 0.06
	// refillPerSecond is the number of retries added per second, for
	// deployments with few requests.
	refillPerSecond = 0.02
	// initialBalance is the balance of a new budget.
	initialBalance = 2
	// maxBalance is the largest balance.
	maxBalance = 4
	// maxRolloutBalance is the same for a deployment's rollouts: about the
	// number of samples that one engine runs.
	maxRolloutBalance = 16
	// spareCapacityDivisor: a process that uses at most 1/spareCapacityDivisor
	// of its concurrency has capacity for every retry, so that none is denied.
	spareCapacityDivisor = 4
	// minCost is the least cost of a retry, for processing its prompt again.
	minCost = 0.1
)

// Cost returns the cost of a retry: 1 when it starts from the beginning, less
// when it resumes after done of all tokens.
func Cost(done, all int) float64 {
	if all <= 0 {
		return 1
	}
	return max(minCost, float64(all-done)/float64(all))
}

// HasSpareCapacity reports whether a process may retry without a budget, given its
// requests of a deployment in flight and its part of the limit.
func HasSpareCapacity(inFlight, part int) bool { return inFlight <= max(1, part/spareCapacityDivisor) }

// Budget limits the retries of one deployment.
type Budget struct {
	balance    float64
	lastRefill time.Time
	max        float64 // largest balance
}

// NewBudget returns a budget for a deployment without requests.
func NewBudget(now time.Time) *Budget {
	return &Budget{balance: initialBalance, lastRefill: now, max: maxBalance}
}

// NewRolloutBudget returns a budget for a deployment's rollouts. All of them
// run in one process, so that its balance may grow as large as those of
// callers' budgets in several processes together.
func NewRolloutBudget(now time.Time) *Budget {
	return &Budget{balance: initialBalance, lastRefill: now, max: maxRolloutBalance}
}

// Deposit adds the share of one request; it is called for the first attempt.
func (b *Budget) Deposit() { b.balance = min(b.max, b.balance+depositPerRequest) }

// Withdraw subtracts the cost of a retry and returns true, or returns false if
// the balance is too small.
func (b *Budget) Withdraw(cost float64, now time.Time) bool {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.balance = min(b.max, b.balance+refillPerSecond*elapsed.Seconds())
		b.lastRefill = now
	}
	if b.balance < cost {
		return false
	}
	b.balance -= cost
	return true
}

// Balance returns the number of retries that may start now.
func (b *Budget) Balance() float64 { return b.balance }
