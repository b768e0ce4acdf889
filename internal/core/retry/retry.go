package retry

import (
	"math/rand/v2"
	"time"

	"fescuespar/internal/errkind"
)

// Policy limits the attempts of one request.
type Policy struct {
	MaxAttempts int           // attempts including the first
	BaseDelay   time.Duration // longest delay before the second attempt; doubles with each further one
	MaxDelay    time.Duration // longest delay before any attempt
}

// FailedAttempt describes a failed attempt.
type FailedAttempt struct {
	Number           int // from 1
	EmptyBudgetWaits int // delays since the failure that ended with an empty budget
	Kind             errkind.Kind
	Idempotent       bool          // the request may run more than once
	Overloaded       bool          // the deployment's queue is overloaded; nothing is retried
	TimeLeft         time.Duration // until the request's deadline
}

// Decision says whether and after which delay to retry.
type Decision struct {
	Retry bool
	Delay time.Duration
}

// Decide returns the decision for a failed attempt. A request that is not
// idempotent is retried only when the attempt certainly did not run. After the
// delay the retry also needs a successful Withdraw from the budget; if the
// budget is empty, call Decide again with EmptyBudgetWaits incremented.
func (p Policy) Decide(failed FailedAttempt, random *rand.Rand) Decision {
	if failed.Number >= p.MaxAttempts || failed.Overloaded || !isRetryable(failed) {
		return Decision{}
	}
	delay := p.delay(failed.Number+failed.EmptyBudgetWaits, random)
	if delay >= failed.TimeLeft {
		return Decision{}
	}
	return Decision{Retry: true, Delay: delay}
}

func isRetryable(failed FailedAttempt) bool {
	switch failed.Kind {
	case errkind.ServerRefused:
		return true
	case errkind.ServerFailed, errkind.AnswerIncomplete:
		return failed.Idempotent
	default:
		return false
	}
}

// delay returns a random delay between zero and an exponentially growing bound.
// Numbers below one are treated as one.
func (p Policy) delay(number int, random *rand.Rand) time.Duration {
	bound := p.MaxDelay
	if doublings := max(0, number-1); doublings < maxDoublings && p.BaseDelay<<doublings < p.MaxDelay {
		bound = p.BaseDelay << doublings
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}

// maxDoublings prevents overflow of the delay's bound.
const maxDoublings = 20
