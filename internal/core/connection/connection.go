// Package connection decides how many connections of clients a process keeps open and
// which of them it closes for a new one when it has as many as it may have.
package connection

import "time"

// Phase is what a connection is used for at the moment.
type Phase int

// The phases of a connection.
const (
	New     Phase = iota // no byte of a request has arrived yet
	Head                 // the head of a request is arriving
	Body                 // the body of a request is arriving
	Running              // a request is being served
	Answer               // an answer is being written
	Closing              // a request was refused; the client may still be reading the answer
	Idle                 // between requests
)

// View is what the decision needs to know of a connection.
type View struct {
	Phase    Phase
	Since    time.Time // begin of the phase
	Progress time.Time // when the client last sent or read a byte in the phase, Since if never
	Bytes    int64     // that it has sent or read in the phase
	Refused  bool      // all its requests so far were refused
}

const (
	// minRate is the number of bytes a second below which a client that sends or reads
	// counts as stalled. It is far below the slowest lines in use.
	minRate = 500
	// stallTime is how long a client must have made no progress, or have been slower
	// than minRate, to be closed for another one. A lost packet is sent again sooner.
	stallTime = time.Second
)

// cost returns how urgently a connection is closed for a new one: zero if it is not. A
// client that has sent nothing yet, or has been refused, loses nothing; one that has
// stalled is outside the limits. A connection with a request in service is never closed,
// nor one that is idle after a request that was served, since its client may be about to
// use it again.
func cost(v *View, now time.Time) time.Duration {
	age, silence := now.Sub(v.Since), now.Sub(v.Progress)
	const (
		hour = time.Hour // above the age of any connection in these phases
		nano = 1         // so that a new connection has a cost
	)
	switch v.Phase {
	case Closing:
		return 3*hour + age
	case New:
		return 2*hour + age + nano
	case Idle:
		if v.Refused {
			return hour + age + nano
		}
	case Head, Body, Answer:
		isSlow := age >= stallTime && float64(v.Bytes) < minRate*age.Seconds()
		if silence >= stallTime || isSlow {
			return silence + nano
		}
	case Running:
	}
	return 0
}

// First returns the index of the connection to close for a new one. It returns false if
// the new one is to be refused.
func First(views []View, now time.Time) (int, bool) {
	first, most := 0, time.Duration(0)
	for i := range views {
		if c := cost(&views[i], now); c > most {
			first, most = i, c
		}
	}
	return first, most > 0
}
