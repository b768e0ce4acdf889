package routing

import (
	"time"

	"fescuespar/internal/core"
)

// link bounds what this process sends to other regions. Each entry process of
// a region takes an equal share of the link, so the processes need not
// coordinate: their shares add up to the bound.
type link struct {
	policy LinkPolicy
	share  float64 // bytes a second
	bytes  float64 // that may be sent now
	at     time.Time
}

func newLink(policy LinkPolicy) link {
	l := link{policy: policy}
	l.divide(1)
	l.bytes = l.burst()
	return l
}

// divide sets the number of entry processes that share the link.
func (l *link) divide(processes int) {
	l.share = l.policy.Capacity * l.policy.Share / float64(max(1, processes))
	l.bytes = min(l.bytes, l.burst())
}

func (l *link) burst() float64 { return l.share * l.policy.Burst.Seconds() }

// refill adds the share of the time that has passed.
func (l *link) refill(now time.Time) {
	if elapsed := now.Sub(l.at); elapsed > 0 && !l.at.IsZero() {
		l.bytes = min(l.burst(), l.bytes+l.share*elapsed.Seconds())
	}
	if now.After(l.at) {
		l.at = now
	}
}

// open reports whether a request of the class may send so many bytes now.
func (l *link) open(class core.Class, bytes float64, now time.Time) bool {
	l.refill(now)
	left := l.bytes
	if class == core.ClassRollout {
		left -= l.policy.Reserve * l.burst()
	}
	return left >= min(bytes, l.burst()*(1-l.policy.Reserve))
}

// take reserves bytes; a request above the burst leaves a debt.
func (l *link) take(bytes float64) { l.bytes -= bytes }

// refund gives back what a request reserved and did not send.
func (l *link) refund(bytes float64) { l.bytes = min(l.burst(), l.bytes+bytes) }
