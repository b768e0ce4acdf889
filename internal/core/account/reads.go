package account

import (
	"slices"
	"time"
)

// Progress tells what is known since a time about reads of the configuration.
type Progress int

const (
	NotBegun Progress = iota // no read has begun since then
	Pending                  // a read that began since then is in progress
	Failed                   // all that began since then have failed
	Done                     // a read that began since then has succeeded
)

// Reads tracks the reads of the newest configuration, those at the regular interval and
// those for requests whose key is not known. All requests that wait share them. It is not
// safe for concurrent use.
//
// The load is a caller that sends random keys, and a store that turns reads away while
// keys are removed.
type Reads struct {
	newest    time.Time   // start of the newest read
	succeeded time.Time   // start of the newest read that succeeded
	failed    time.Time   // start of the newest read that failed
	inFlight  []time.Time // starts of the reads in progress
}

// Begin records the start of a read.
func (r *Reads) Begin(now time.Time) {
	r.inFlight = append(r.inFlight, now)
	r.newest = later(r.newest, now)
}

// End records the end of the read that began at a time.
func (r *Reads) End(began time.Time, succeeded bool) {
	if at := slices.IndexFunc(r.inFlight, began.Equal); at >= 0 {
		r.inFlight = slices.Delete(r.inFlight, at, at+1)
	}
	if succeeded {
		r.succeeded = later(r.succeeded, began)
		return
	}
	r.failed = later(r.failed, began)
}

// Since returns what is known about the reads that began at a time or later.
func (r *Reads) Since(arrived time.Time) Progress {
	switch {
	case !r.succeeded.Before(arrived):
		return Done
	case slices.ContainsFunc(r.inFlight, func(began time.Time) bool { return !began.Before(arrived) }):
		return Pending
	case !r.failed.Before(arrived):
		return Failed
	default:
		return NotBegun
	}
}

// Delay returns how long the next read for requests waits, so that it begins at least an
// interval after the newest one.
func (r *Reads) Delay(now time.Time, interval time.Duration) time.Duration {
	if r.newest.IsZero() {
		return 0
	}
	return max(0, r.newest.Add(interval).Sub(now))
}

// Succeeded returns the start of the newest read that succeeded, zero if none has.
func (r *Reads) Succeeded() time.Time { return r.succeeded }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
