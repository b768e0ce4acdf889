package tables

import (
	"time"

	"fescuespar/internal/core/duty"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// DutyCalls holds the pace of the calls to the platform's interface.
type DutyCalls struct {
	// mu guards all fields below.
	mu       lockrank.Mutex
	pace     *duty.Pace
	inFlight bool
}

// NewDutyCalls returns a table of an interface that accepts a number of calls per second.
func NewDutyCalls(callsPerSecond float64) *DutyCalls {
	return &DutyCalls{mu: lockrank.New(lockrank.RankDutyCalls), pace: duty.NewPace(callsPerSecond)}
}

// Begin reports whether a call may begin now, with its timeout. If so, End must follow.
func (t *DutyCalls) Begin(now time.Time) (timeout time.Duration, may bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight || !t.pace.MayCall(now) {
		return 0, false
	}
	t.inFlight = true
	return t.pace.Begin(now), true
}

// End records how the call ended, with the kind of its error or an empty kind for success.
func (t *DutyCalls) End(outcome errkind.Kind, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight = false
	t.pace.End(outcome, now)
}
