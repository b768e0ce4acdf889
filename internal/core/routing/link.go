package routing

import (
	"time"

	"fescuespar/internal/core"
)

// link is a token bucket that limits the bytes that this process sends to other
// regions. Each entry process of a region uses an equal share of the link, so
// the shares add up to the limit without coordination between processes.
type link struct {
	policy         LinkPolicy
	bytesPerSecond float64
	availableBytes float64 // bytes that may be sent now; negative after a request above the burst
	refilledAt     time.Time
}

func newLink(policy LinkPolicy) link {
	l := link{policy: policy}
	l.setProcessCount(1)
	l.availableBytes = l.burstBytes()
	return l
}

// setProcessCount sets the number of entry processes that share the link.
func (l *link) setProcessCount(processes int) {
	l.bytesPerSecond = l.policy.BytesPerSecond * l.policy.UsableShare / float64(max(1, processes))
	l.availableBytes = min(l.availableBytes, l.burstBytes())
}

func (l *link) burstBytes() float64 { return l.bytesPerSecond * l.policy.Burst.Seconds() }

// refill adds the bytes that became available since the last refill.
func (l *link) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 && !l.refilledAt.IsZero() {
		l.availableBytes = min(l.burstBytes(), l.availableBytes+l.bytesPerSecond*elapsed.Seconds())
	}
	if now.After(l.refilledAt) {
		l.refilledAt = now
	}
}

// hasCapacity reports whether a request of the class may send the given number
// of bytes now.
func (l *link) hasCapacity(class core.Class, bytes float64, now time.Time) bool {
	l.refill(now)
	left := l.availableBytes
	if class == core.ClassRollout {
		left -= l.policy.ReservedShare * l.burstBytes()
	}
	return left >= min(bytes, l.burstBytes()*(1-l.policy.ReservedShare))
}

// reserve deducts bytes. A request above the burst makes the balance negative.
func (l *link) reserve(bytes float64) { l.availableBytes -= bytes }

// refund returns bytes that a request reserved but did not send. A negative
// number deducts bytes that were sent beyond the reservation.
func (l *link) refund(bytes float64) { l.availableBytes = min(l.burstBytes(), l.availableBytes+bytes) }
