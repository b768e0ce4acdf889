package routing

import "time"

const (
	// pushbackBase is the pushback after the first refusal: about the time until
	// one of the server's running requests ends.
	pushbackBase = 100 * time.Millisecond
	// pushbackMax bounds the doubling, so that a server that has recovered is
	// tried again within this time.
	pushbackMax = 2 * time.Second
)

// pushback is a server's exponential backoff after refusals. A server that
// refuses requests has none in flight and looks idle: without pushback it would
// receive all waiting requests.
type pushback struct {
	consecutiveRefusals int // refusals during a pushback are not counted
	until               time.Time
}

// recordRefusal starts or doubles the pushback after a refused request.
func (p *pushback) recordRefusal(now time.Time) {
	if now.Before(p.until) {
		return
	}
	p.until = now.Add(min(pushbackMax, pushbackBase<<min(p.consecutiveRefusals, maxPushbackDoublings)))
	p.consecutiveRefusals++
}

// maxPushbackDoublings prevents an overflow of the shifted duration.
const maxPushbackDoublings = 16

// recordAccepted ends the pushback after a request that was not refused.
func (p *pushback) recordAccepted() { *p = pushback{} }

// remaining returns the time for which the server still receives less work.
func (p *pushback) remaining(now time.Time) time.Duration { return max(0, p.until.Sub(now)) }
