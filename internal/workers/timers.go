package workers

import (
	"time"

	"fescuespar/internal/core"
)

// Timers enqueues steps in a pool when they are due.
type Timers struct {
	pool *Pool
}

// NewTimers returns timers that enqueue steps in the pool.
func NewTimers(pool *Pool) *Timers { return &Timers{pool: pool} }

// After enqueues the step once the delay has passed. The returned function
// stops the timer and reports whether it had not fired yet.
func (t *Timers) After(delay time.Duration, class core.Class, step Step) (stop func() bool) {
	timer := time.AfterFunc(delay, func() { t.pool.MustEnqueue(class, step) })
	return timer.Stop
}
