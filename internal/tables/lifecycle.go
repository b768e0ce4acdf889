package tables

import (
	"fescuespar/internal/core/drain"
	"fescuespar/internal/lockrank"
)

// Phase is a phase of an entry process.
type Phase int

// The phases, in order.
const (
	PhaseServing  Phase = iota // accepts new requests
	PhaseLeaving               // address withdrawn, still accepts requests that end in time
	PhaseDraining              // accepts no new requests, finishes those in flight
	PhaseStopped
)

// String returns the phase's name in state dumps.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "draining", "stopped"}[p]
}

// Lifecycle holds the process's phase and counts the requests in flight.
type Lifecycle struct {
	// mu guards all fields below.
	mu       lockrank.Mutex
	phase    Phase
	plan     drain.Plan // of the shutdown, from PhaseLeaving on
	inFlight int
	idle     chan struct{} // closed when draining and no request is in flight
}

// NewLifecycle returns a table in PhaseServing.
func NewLifecycle() *Lifecycle {
	return &Lifecycle{mu: lockrank.New(lockrank.RankLifecycle), idle: make(chan struct{})}
}

// BeginRequest counts a new request in flight. It returns false when the process no
// longer accepts requests.
func (t *Lifecycle) BeginRequest() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase >= PhaseDraining {
		return false
	}
	t.inFlight++
	return true
}

// BeginBounded counts a new request in flight that ends by its deadline. It returns
// false when the process no longer accepts requests or may end before this one.
func (t *Lifecycle) BeginBounded(request drain.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase >= PhaseDraining || t.phase == PhaseLeaving && !t.plan.Accepts(request) {
		return false
	}
	t.inFlight++
	return true
}

// EndRequest ends a request that BeginRequest or BeginBounded counted.
func (t *Lifecycle) EndRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.closeWhenIdle()
}

// Leave begins a shutdown with a plan.
func (t *Lifecycle) Leave(plan drain.Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase < PhaseLeaving {
		t.phase, t.plan = PhaseLeaving, plan
	}
}

// Advance moves to a later phase. It ignores an earlier one.
func (t *Lifecycle) Advance(phase Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if phase <= t.phase {
		return
	}
	t.phase = phase
	t.closeWhenIdle()
}

// Phase returns the current phase and the number of requests in flight.
func (t *Lifecycle) Phase() (Phase, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.phase, t.inFlight
}

// Idle returns a channel that is closed once the process is draining and no
// request is in flight.
func (t *Lifecycle) Idle() <-chan struct{} { return t.idle }

// closeWhenIdle closes idle if the process is draining and no request is in
// flight. The caller holds mu.
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
