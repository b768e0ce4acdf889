package tables

import (
	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// Configuration holds the current configuration.
type Configuration struct {
	// mu guards current. The configuration that it points to is never changed.
	mu      lockrank.Mutex
	current *core.Configuration
}

// NewConfiguration returns a table with the empty configuration of generation 0.
func NewConfiguration() *Configuration {
	return &Configuration{mu: lockrank.New(lockrank.RankConfiguration), current: &core.Configuration{}}
}

// Current returns the current configuration, which must not be changed.
func (t *Configuration) Current() *core.Configuration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Apply replaces the configuration if the offered one has a higher generation,
// and reports whether it did.
func (t *Configuration) Apply(offered *core.Configuration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offered.Generation <= t.current.Generation {
		return false
	}
	t.current = offered
	return true
}
