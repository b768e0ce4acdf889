package tables

import (
	"math/rand/v2"
	"time"

	"fescuespar/internal/lockrank"
)

// Random is the process's shared random source for delays and jitter.
type Random struct {
	// mu guards source.
	mu     lockrank.Mutex
	source *rand.Rand
}

// NewRandom returns a table that guards a source.
func NewRandom(source *rand.Rand) *Random {
	return &Random{mu: lockrank.New(lockrank.RankTimers), source: source}
}

// Duration returns a uniformly random duration from 0 to bound inclusive.
func (t *Random) Duration(bound time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.source.Int64N(int64(bound) + 1))
}

// WithSource calls use with the source under the lock. use must not block or
// keep the source.
func (t *Random) WithSource(use func(*rand.Rand)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	use(t.source)
}
