package admission

import (
	"math"
	"time"

	"fescuespar/internal/core"
)

const (
	serverLimitLeast   = 2
	serverLimitMost    = 512
	serverLimitStart   = 16
	serverPeopleShare  = 8    // one part in so many is kept free of rollouts
	latencyTolerance   = 1.5  // latency may exceed its recent minimum by this factor
	latencySamples     = 16   // observations for each change of the limit
	limitSmoothing     = 0.3  // weight of a newly computed limit
	failureFactor      = 0.75 // applied to the limit when the server refuses or fails
	minimumWindow      = time.Minute
	gradientLeast      = 0.5
	utilizationForMore = 0.5 // the limit grows only when this part of it is in use
)

// ServerLimit adapts the concurrency of one backend server to its latency: the
// limit shrinks by the ratio of the recent minimum to the present latency and
// grows by its square root while latency stays near the minimum.
type ServerLimit struct {
	limit    float64
	inUse    int
	most     int // largest use since the last change
	sum      time.Duration
	count    int
	minimum  time.Duration // of the present window
	previous time.Duration // of the window before
	started  time.Time     // of the present window
}

// NewServerLimit returns the limit of a server without observations.
func NewServerLimit(now time.Time) *ServerLimit {
	return &ServerLimit{limit: serverLimitStart, started: now}
}

// Acquire takes a place for a request if there is one. Rollouts leave a part free.
func (l *ServerLimit) Acquire(class core.Class) bool {
	limit := int(l.limit)
	if class == core.ClassRollout {
		limit -= max(1, limit/serverPeopleShare)
	}
	if l.inUse >= limit {
		return false
	}
	l.inUse++
	l.most = max(l.most, l.inUse)
	return true
}

// Release gives a place back without an observation.
func (l *ServerLimit) Release() { l.inUse = max(0, l.inUse-1) }

// Observe takes a latency of comparable work, such as the time per token.
func (l *ServerLimit) Observe(latency time.Duration, now time.Time) {
	l.keepMinimum(latency, now)
	l.sum += latency
	l.count++
	if l.count < latencySamples {
		return
	}
	mean := l.sum / time.Duration(l.count)
	l.adapt(mean)
	l.sum, l.count, l.most = 0, 0, l.inUse
}

// Failed takes an overload refusal or a timeout of the server.
func (l *ServerLimit) Failed() {
	l.limit = max(serverLimitLeast, l.limit*failureFactor)
}

// Limit returns the present limit.
func (l *ServerLimit) Limit() int { return int(l.limit) }

func (l *ServerLimit) keepMinimum(latency time.Duration, now time.Time) {
	if now.Sub(l.started) >= minimumWindow {
		l.previous, l.minimum, l.started = l.minimum, 0, now
	}
	if l.minimum == 0 || latency < l.minimum {
		l.minimum = latency
	}
}

func (l *ServerLimit) recentMinimum() time.Duration {
	if l.previous != 0 && l.previous < l.minimum {
		return l.previous
	}
	return l.minimum
}

func (l *ServerLimit) adapt(mean time.Duration) {
	ratio := latencyTolerance * float64(l.recentMinimum()) / float64(max(1, mean))
	gradient := min(1, max(gradientLeast, ratio))
	target := l.limit * gradient
	if gradient == 1 {
		if float64(l.most) < utilizationForMore*l.limit {
			return
		}
		target += math.Sqrt(l.limit)
	}
	next := l.limit + limitSmoothing*(target-l.limit)
	l.limit = min(serverLimitMost, max(serverLimitLeast, next))
}
