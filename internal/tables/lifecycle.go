package tables

import "fescuespar/internal/lockrank"

// Phase is a phase of an entry process.
type Phase int

// The phases, in order.
const (
	PhaseServing  Phase = iota // takes new requests
	PhaseLeaving               // withdrawn from the addresses, still takes requests
	PhaseDraining              // takes no new requests, finishes those in flight
	PhaseStopped
)

// String returns the phase's name for dumps.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "draining", "stopped"}[p]
}

// Lifecycle holds the process's phase and counts the requests in flight.
type Lifecycle struct {
	// mu guards all fields below.
	mu       lockrank.Mutex
	phase    Phase
	inFlight int
	idle     chan struct{} // closed when draining and nothing is in flight
}

// NewLifecycle returns a table in PhaseServing.
func NewLifecycle() *Lifecycle {
	return &Lifecycle{mu: lockrank.New(lockrank.RankLifecycle), idle: make(chan struct{})}
}

// Enter counts a request in. It returns false when no new ones are taken.
func (t *Lifecycle) Enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase >= PhaseDraining {
		return false
	}
	t.inFlight++
	return true
}

// Exit counts a request out.
func (t *Lifecycle) Exit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.closeWhenIdle()
}

// Advance moves to a later phase; an earlier one is ignored.
func (t *Lifecycle) Advance(phase Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if phase <= t.phase {
		return
	}
	t.phase = phase
	t.closeWhenIdle()
}

// Phase returns the present phase and the number of requests in flight.
func (t *Lifecycle) Phase() (Phase, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase, t.inFlight
}

// Idle is closed once the process is draining and nothing is in flight.
func (t *Lifecycle) Idle() <-chan struct{} { return t.idle }

// closeWhenIdle closes idle once. The lock is held.
func (t *Lifecycle) closeWhenIdle() {
	if t.phase < PhaseDraining || t.inFlight > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}
