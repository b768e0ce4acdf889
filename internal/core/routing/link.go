package routing

import (
	"time"

	"fescuespar/internal/core"
)

// link is a token bucket that limits the bytes that this process sends to other
// regions. Each entry process of a region uses an equal share of the link, so
// the shares add up to the limit without coordination between processes.
type link struct {
	policy LinkPolicy
	bytes  tokenBucket
}

func newLink(policy LinkPolicy) link {
	l := link{policy: policy}
	l.setProcessCount(1)
	l.bytes.available = l.bytes.burst
	return l
}

// setProcessCount sets the number of entry processes that share the link.
func (l *link) setProcessCount(processes int) {
	perSecond := l.policy.BytesPerSecond * l.policy.UsableShare / float64(max(1, processes))
	l.bytes.setRate(perSecond, perSecond*l.policy.Burst.Seconds())
}

// hasCapacity reports whether a request of the class may send the given number
// of bytes now.
func (l *link) hasCapacity(class core.Class, bytes float64, now time.Time) bool {
	l.bytes.refill(now)
	left := l.bytes.available
	if class == core.ClassRollout {
		left -= l.policy.ReservedShare * l.bytes.burst
	}
	return left >= min(bytes, l.bytes.burst*(1-l.policy.ReservedShare))
}

// reserve deducts bytes. A request above the burst makes the balance negative.
func (l *link) reserve(bytes float64) { l.bytes.add(-bytes) }

// refund returns bytes that a request reserved but did not send. A negative
// number deducts bytes that were sent beyond the reservation.
func (l *link) refund(bytes float64) { l.bytes.add(bytes) }
