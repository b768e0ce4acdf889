// Package retry decides whether a failed attempt is repeated, and when.
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
	Kind       errkind.Kind
	Idempotent bool // the request may run more than once
	Left       time.Duration
}

// Decision says what follows a failed attempt.
type Decision struct {
	Again bool
	Delay time.Duration
}

// Decide returns the decision for a failed attempt. A request that is not
// idempotent is repeated only when the attempt surely did not run.
func (p Policy) Decide(failed Attempt, random *rand.Rand) Decision {
	if failed.Number >= p.Attempts || !mayRepeat(failed) {
		return Decision{}
	}
	delay := p.delay(failed.Number, random)
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

// delay draws from zero up to an exponentially growing bound.
func (p Policy) delay(number int, random *rand.Rand) time.Duration {
	bound := p.Base << (number - 1)
	if bound <= 0 || bound > p.Max {
		bound = p.Max
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}
