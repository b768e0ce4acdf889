package workers

import (
	"time"

	"fescuespar/internal/core"
)

// Timers puts steps into a pool's queue when they are due.
type Timers struct {
	pool *Pool
}

// NewTimers returns timers for the pool.
func NewTimers(pool *Pool) *Timers { return &Timers{pool: pool} }

// After enqueues the step once the delay has passed. The returned function
// stops the timer if it has not fired.
func (t *Timers) After(delay time.Duration, class core.Class, step Step) (stop func() bool) {
	timer := time.AfterFunc(delay, func() { t.pool.MustEnqueue(class, step) })
	return timer.Stop
}
