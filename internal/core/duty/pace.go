// Package duty decides how often the process that calls the platform's interface for all
// of them may do so.
package duty

import (
	"time"

	"fescuespar/internal/errkind"
)

const (
	// callShare is the share of the rate that the platform accepts from all processes
	// which the holder of the duty uses. Another holder may follow within seconds.
	callShare = 0.2
	// firstBackoff and maxBackoff are the shortest and the longest pause after failed
	// calls. A report has some seconds left for several calls, and one process that calls
	// once a second is no load.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = time.Second
	// refusedBackoff is the shortest pause after a call that was refused.
	refusedBackoff = 500 * time.Millisecond
	// minTimeout and maxTimeout bound the timeout of a call. With the shortest one a report
	// is sent several times before it is due; a call that is carried out although its answer
	// is not awaited may be repeated. With the longest one answers after 50 times their
	// usual 100 ms are still awaited.
	minTimeout = time.Second
	maxTimeout = 5 * time.Second
	// slowFactor is the timeout as a multiple of the last answer's time.
	slowFactor = 4
	// After each timeoutsBeforeGrowth calls in a row without an answer in time, the timeout
	// is timeoutGrowth times as long. Single answers are lost more often than the platform
	// is slow.
	timeoutsBeforeGrowth = 2
	timeoutGrowth        = 2
)

// Pace spaces the calls of the duty's holder. It is not safe for concurrent use.
type Pace struct {
	interval time.Duration // between calls
	next     time.Time     // no call before
	began    time.Time     // of the last call
	failures int           // in a row
	timeouts int           // calls in a row without an answer in time
	timeout  time.Duration
}

// NewPace returns the pace for an interface that accepts a number of calls per second,
// which must be positive.
func NewPace(callsPerSecond float64) *Pace {
	return &Pace{interval: time.Duration(float64(time.Second) / (callShare * callsPerSecond)), timeout: minTimeout}
}

// MayCall reports whether a call may be made now.
func (p *Pace) MayCall(now time.Time) bool { return !now.Before(p.next) }

// Begin records that a call begins and returns its timeout.
func (p *Pace) Begin(now time.Time) time.Duration {
	p.began, p.next = now, now.Add(p.interval)
	return p.timeout
}

// End records how the call ended, with the error's kind or an empty kind for success.
func (p *Pace) End(outcome errkind.Kind, now time.Time) {
	took := now.Sub(p.began)
	switch outcome {
	case "", errkind.NoServer:
		p.failures, p.timeouts = 0, 0
		p.timeout = min(max(slowFactor*took, minTimeout), maxTimeout)
	case errkind.NotOwner:
	case errkind.Overloaded, errkind.BadRequest:
		p.back(refusedBackoff, now)
	default:
		if took >= p.timeout {
			if p.timeouts++; p.timeouts%timeoutsBeforeGrowth == 0 {
				p.timeout = min(timeoutGrowth*p.timeout, maxTimeout)
			}
		}
		p.back(firstBackoff, now)
	}
}

// back delays the next call, twice as long as after the failure before.
func (p *Pace) back(first time.Duration, now time.Time) {
	delay := first
	for range p.failures {
		delay = min(2*delay, maxBackoff)
	}
	p.failures++
	if next := now.Add(delay); next.After(p.next) {
		p.next = next
	}
}
