package retry

import "time"

const (
	// budgetShare is what each request adds, in repeats.
	budgetShare = 0.06
	// budgetPerSecond is added over time, for deployments with few requests.
	budgetPerSecond = 0.02
	// budgetStart is what a new budget holds.
	budgetStart = 2
	// budgetMost bounds what is saved up.
	budgetMost = 4
	// rolloutBudgetMost is the same for a deployment's rollouts: about as many
	// samples as one engine runs.
	rolloutBudgetMost = 16
	// spareDivisor: a process that uses at most one part in so many of its
	// concurrency has room for every repeat, so that none is denied.
	spareDivisor = 4
	// costLeast is the least that a repeat takes, for its prompt.
	costLeast = 0.1
)

// Cost returns what a repeat takes out of the budget: one when it starts from
// the beginning, less when it resumes after done of all tokens.
func Cost(done, all int) float64 {
	if all <= 0 {
		return 1
	}
	return max(costLeast, float64(all-done)/float64(all))
}

// Spare reports whether a process with so many requests of a deployment in
// flight, out of its part of the limit, may repeat without a budget.
func Spare(inFlight, part int) bool { return inFlight <= max(1, part/spareDivisor) }

// Budget bounds the repeats of one deployment.
type Budget struct {
	balance float64
	last    time.Time
	most    float64 // repeats saved up
}

// NewBudget returns a budget for a deployment without requests.
func NewBudget(now time.Time) *Budget {
	return &Budget{balance: budgetStart, last: now, most: budgetMost}
}

// NewRolloutBudget returns a budget for a deployment's rollouts. They all run in
// one process, so that it saves up what callers' budgets do in several.
func NewRolloutBudget(now time.Time) *Budget {
	return &Budget{balance: budgetStart, last: now, most: rolloutBudgetMost}
}

// Deposit counts a request's first attempt.
func (b *Budget) Deposit() { b.balance = min(b.most, b.balance+budgetShare) }

// Withdraw takes the cost of a repeat out of the budget, if it is there.
func (b *Budget) Withdraw(cost float64, now time.Time) bool {
	if passed := now.Sub(b.last); passed > 0 {
		b.balance = min(b.most, b.balance+budgetPerSecond*passed.Seconds())
		b.last = now
	}
	if b.balance < cost {
		return false
	}
	b.balance -= cost
	return true
}

// Balance returns the repeats that may start now.
func (b *Budget) Balance() float64 { return b.balance }
