package admission

import (
	"math"
	"time"

	"fescuespar/internal/core"
)

const (
	serverLimitMin        = 2
	serverLimitMax        = 512
	serverLimitInitial    = 16
	serverHeadroomDivisor = 8    // 1/serverHeadroomDivisor of the limit is kept free of rollouts
	latencyTolerance      = 1.5  // latency may exceed its recent minimum by this factor
	samplesPerAdjustment  = 16   // observations per adjustment of the limit
	limitSmoothingWeight  = 0.3  // weight of a newly computed limit in the moving average
	failureFactor         = 0.75 // multiplies the limit when the server refuses a request or times out
	minLatencyWindow      = time.Minute
	minGradient           = 0.5
	minUtilizationToGrow  = 0.5 // the limit grows only when at least this fraction of it was in use
)

// ServerLimit adapts the concurrency limit of one backend server to its
// latency: the limit shrinks by the ratio of the recent minimum to the current
// latency, and grows by its square root while the latency stays near the
// minimum.
type ServerLimit struct {
	limit             float64
	inUse             int
	peakInUse         int // largest inUse since the last adjustment
	latencySum        time.Duration
	sampleCount       int
	windowMin         time.Duration // least latency of the current window
	previousWindowMin time.Duration // least latency of the window before
	windowStart       time.Time     // start of the current window
}

// NewServerLimit returns the limit of a server without observations.
func NewServerLimit(now time.Time) *ServerLimit {
	return &ServerLimit{limit: serverLimitInitial, windowStart: now}
}

// Acquire takes a slot for a request if one is free. Rollouts leave some slots
// free for other classes.
func (l *ServerLimit) Acquire(class core.Class) bool {
	limit := int(l.limit)
	if class == core.ClassRollout {
		limit -= max(1, limit/serverHeadroomDivisor)
	}
	if l.inUse >= limit {
		return false
	}
	l.ForceAcquire()
	return true
}

// ForceAcquire takes a slot even if none is free.
func (l *ServerLimit) ForceAcquire() {
	l.inUse++
	l.peakInUse = max(l.peakInUse, l.inUse)
}

// Release returns a slot without recording a latency.
func (l *ServerLimit) Release() { l.inUse = max(0, l.inUse-1) }

// Observe records a latency. Latencies must be of comparable work, such as the
// time per token.
func (l *ServerLimit) Observe(latency time.Duration, now time.Time) {
	l.updateMinimum(latency, now)
	l.latencySum += latency
	l.sampleCount++
	if l.sampleCount < samplesPerAdjustment {
		return
	}
	mean := l.latencySum / time.Duration(l.sampleCount)
	l.adjustLimit(mean)
	l.latencySum, l.sampleCount, l.peakInUse = 0, 0, l.inUse
}

// RecordFailure lowers the limit after the server refused a request as overloaded or
// timed out.
func (l *ServerLimit) RecordFailure() {
	l.limit = max(serverLimitMin, l.limit*failureFactor)
}

// Limit returns the current limit.
func (l *ServerLimit) Limit() int { return int(l.limit) }

func (l *ServerLimit) updateMinimum(latency time.Duration, now time.Time) {
	if now.Sub(l.windowStart) >= minLatencyWindow {
		l.previousWindowMin, l.windowMin, l.windowStart = l.windowMin, 0, now
	}
	if l.windowMin == 0 || latency < l.windowMin {
		l.windowMin = latency
	}
}

func (l *ServerLimit) recentMinimum() time.Duration {
	if l.previousWindowMin != 0 && l.previousWindowMin < l.windowMin {
		return l.previousWindowMin
	}
	return l.windowMin
}

func (l *ServerLimit) adjustLimit(mean time.Duration) {
	ratio := latencyTolerance * float64(l.recentMinimum()) / float64(max(1, mean))
	gradient := min(1, max(minGradient, ratio))
	target := l.limit * gradient
	if gradient == 1 {
		if float64(l.peakInUse) < minUtilizationToGrow*l.limit {
			return
		}
		target += math.Sqrt(l.limit)
	}
	next := l.limit + limitSmoothingWeight*(target-l.limit)
	l.limit = min(serverLimitMax, max(serverLimitMin, next))
}
