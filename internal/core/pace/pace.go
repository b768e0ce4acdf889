// Package pace decides which share of its usual work a backend server gets while it is
// cold or has just returned, until it is in full use.
//
// Load patterns: a server that is several times slower in its first seconds, among others
// that have room; one that returns and fails again; a release that replaces one server
// after the other; a service whose servers all start at once. Hundreds of processes send
// to one server, most of them less than a request a second, and tell each other nothing.
// A share of each process's own requests makes the same share of all requests, whatever
// the number of processes.
package pace

import (
	"math"
	"time"
)

const (
	// coldShare is the share of a cold server until its answers tell more. Cold servers
	// are some four times slower than warm ones and so are as much in use as these.
	coldShare = 0.25
	// returnShare is the share of a server that returns after failures, and of one that
	// starts again soon after its last start.
	returnShare = 0.125
	// minShare lets a server that fails again and again still be tried.
	minShare = 1.0 / 64
	// doublingTime is the time in which a share doubles without bad answers. A server
	// that returns is in full use after three times it, before most requests would notice
	// its absence.
	doublingTime = time.Second
	// successesPerDouble is the number of answers in time that double the share too.
	successesPerDouble = 8
	// setbackInterval is the least time between two halvings: answers to requests that
	// were sent at one share tell of that share only once.
	setbackInterval = 250 * time.Millisecond
	// tolerance is the ratio to the expected duration up to which an answer is in time.
	tolerance = 1.5
	// ratioWeight is the weight of the newest answer in the mean ratio, which then
	// reflects about the last five.
	ratioWeight = 0.2
	// ratioTTL is the age at which the mean ratio expires: the server may be warm now.
	ratioTTL = 2 * time.Second
	// minResults is the number of answers that show a cold server to be warm.
	minResults = 5
	// maxLength bounds the pace after the cold time. What is wrong with the server then is
	// for the detection of outliers to say.
	maxLength = 30 * time.Second
	// startMemory is the time since a server's last start or return in which another one
	// counts as repeated.
	startMemory = time.Minute
	// maxRepeats bounds the repeats that are counted.
	maxRepeats = 3
)

// Reason says why a server is paced.
type Reason string

// The reasons.
const (
	Cold     Reason = "is cold"
	Returned Reason = "returned after failures"
)

// Pace is the pace of one server as seen by one process. The zero value is a server in
// full use.
type Pace struct {
	reason    Reason // empty in full use
	began     time.Time
	repeats   int // starts and returns soon after the ones before
	coldUntil time.Time
	share     float64   // at the time setAt
	setAt     time.Time // the share grows from then on, but not while the server is cold
	setbackAt time.Time

	ratio   float64 // mean of the durations of recent answers to the expected ones; zero for none
	ratioAt time.Time
	results int // answers behind the ratio
}

// BeginCold begins the pace of a server that has just started and stays cold until a time.
func (p *Pace) BeginCold(until, now time.Time) { p.begin(Cold, coldShare, until, now) }

// BeginReturn begins the pace of a server that returns after failures.
func (p *Pace) BeginReturn(now time.Time) { p.begin(Returned, returnShare, p.coldUntil, now) }

func (p *Pace) begin(reason Reason, share float64, coldUntil, now time.Time) {
	repeats := 0
	if !p.began.IsZero() && now.Sub(p.began) < startMemory {
		repeats = min(p.repeats+1, maxRepeats)
		share = min(share, returnShare)
	}
	share = max(minShare, math.Ldexp(share, -repeats))
	*p = Pace{reason: reason, began: now, repeats: repeats, coldUntil: coldUntil, share: share, setAt: now}
}

// IsActive reports whether the server is paced.
func (p *Pace) IsActive() bool { return p.reason != "" }

// Reason returns why the server is paced, empty if it is in full use.
func (p *Pace) Reason() Reason { return p.reason }

// Began returns when the pace began.
func (p *Pace) Began() time.Time { return p.began }

// Share returns the share of its usual work that the server gets, above 0 and up to 1.
func (p *Pace) Share(now time.Time) float64 {
	if !p.IsActive() {
		return 1
	}
	share := p.grown(now)
	if p.isSlow(now) {
		share = min(share, 1/p.ratio)
	}
	return max(minShare, share)
}

// grown returns the share without regard to slow answers.
func (p *Pace) grown(now time.Time) float64 {
	from := p.setAt
	if p.coldUntil.After(from) && !p.isWarm(now) {
		from = p.coldUntil
	}
	doublings := max(0, now.Sub(from).Seconds()) / (doublingTime << p.repeats).Seconds()
	return min(1, p.share*math.Exp2(doublings))
}

func (p *Pace) isMeasured(now time.Time) bool {
	return p.ratio > 0 && now.Sub(p.ratioAt) <= ratioTTL
}

func (p *Pace) isSlow(now time.Time) bool { return p.isMeasured(now) && p.ratio > tolerance }

// isWarm reports whether the answers show that the server is not cold any more.
func (p *Pace) isWarm(now time.Time) bool {
	return p.isMeasured(now) && p.results >= minResults && p.ratio <= tolerance
}

// RecordAnswer records an answer by the ratio of its duration to the expected one.
func (p *Pace) RecordAnswer(ratio float64, now time.Time) {
	if !p.IsActive() {
		return
	}
	if !p.isMeasured(now) {
		p.ratio, p.results = ratio, 0
	}
	p.ratio += ratioWeight * (ratio - p.ratio)
	p.ratioAt = now
	p.results++
	if ratio <= tolerance && (p.isWarm(now) || !now.Before(p.coldUntil)) {
		p.set(p.grown(now)*math.Exp2(1.0/successesPerDouble), now)
	}
}

// RecordSetback records that the server refused or failed a request.
func (p *Pace) RecordSetback(now time.Time) {
	if !p.IsActive() || now.Sub(p.setbackAt) < setbackInterval {
		return
	}
	p.set(p.grown(now)/2, now)
	p.setbackAt = now
}

func (p *Pace) set(share float64, now time.Time) {
	p.share, p.setAt = min(1, max(minShare, share)), now
}

// EndIfDue ends the pace of a server that is in full use, or has been paced for too long.
// It reports whether it did.
func (p *Pace) EndIfDue(now time.Time) bool {
	if !p.IsActive() {
		return false
	}
	inFullUse := p.Share(now) >= 1 && !now.Before(p.coldUntil)
	latest := p.began.Add(maxLength)
	if p.coldUntil.After(p.began) {
		latest = p.coldUntil.Add(maxLength)
	}
	if !inFullUse && now.Before(latest) {
		return false
	}
	p.reason = ""
	return true
}
