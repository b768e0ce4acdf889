package retry

import (
	"math/rand/v2"
	"time"

	"fescuespar/internal/errkind"
)

// Policy bounds the attempts of one request.
type Policy struct {
	Attempts int           // attempts in all
	Base     time.Duration // longest delay before the second attempt
	Max      time.Duration // longest delay before any attempt
}

// Attempt describes an attempt that failed.
type Attempt struct {
	Number     int // from 1
	Waits      int // delays since the failure after which the budget was empty
	Kind       errkind.Kind
	Idempotent bool // the request may run more than once
	Overloaded bool // the deployment's queue is behind; nothing is repeated
	Left       time.Duration
}

// Decision says what follows a failed attempt.
type Decision struct {
	Again bool
	Delay time.Duration
}

// Decide returns the decision for a failed attempt. A request that is not
// idempotent is repeated only when the attempt surely did not run. The repeat
// also needs a Withdraw from the budget when the delay has passed; while the
// budget is empty Decide is asked again with one more wait.
func (p Policy) Decide(failed Attempt, random *rand.Rand) Decision {
	if failed.Number >= p.Attempts || failed.Overloaded || !mayRepeat(failed) {
		return Decision{}
	}
	delay := p.delay(failed.Number+failed.Waits, random)
	if delay >= failed.Left {
		return Decision{}
	}
	return Decision{Again: true, Delay: delay}
}

func mayRepeat(failed Attempt) bool {
	switch failed.Kind {
	case errkind.ServerRefused:
		return true
	case errkind.ServerFailed, errkind.AnswerIncomplete:
		return failed.Idempotent
	default:
		return false
	}
}

// delay draws from zero up to an exponentially growing bound. A number below one
// counts as the first.
func (p Policy) delay(number int, random *rand.Rand) time.Duration {
	bound := p.Max
	if doublings := max(0, number-1); doublings < maxDoublings && p.Base<<doublings < p.Max {
		bound = p.Base << doublings
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}

// maxDoublings keeps the bound of a delay from overflowing.
const maxDoublings = 20
