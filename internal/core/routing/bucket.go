package routing

import "time"

// tokenBucket limits the rate at which tokens are used, bytes or requests.
type tokenBucket struct {
	perSecond float64
	burst     float64 // most tokens that accumulate
	available float64 // tokens that may be used now; negative after a use beyond them
	refilled  time.Time
}

// setRate changes the rate and the burst.
func (b *tokenBucket) setRate(perSecond, burst float64) {
	b.perSecond, b.burst = perSecond, burst
	b.available = min(b.available, burst)
}

// refill adds the tokens that became available since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilled); elapsed > 0 && !b.refilled.IsZero() {
		b.add(b.perSecond * elapsed.Seconds())
	}
	if now.After(b.refilled) {
		b.refilled = now
	}
}

// add returns tokens, or deducts a negative number of them.
func (b *tokenBucket) add(tokens float64) { b.available = min(b.burst, b.available+tokens) }
