package tables

import (
	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// Configuration holds the configuration in force.
type Configuration struct {
	// mu guards inForce. The configuration that it points to never changes.
	mu      lockrank.Mutex
	inForce *core.Configuration
}

// NewConfiguration returns a table with the empty generation zero in force.
func NewConfiguration() *Configuration {
	return &Configuration{mu: lockrank.New(lockrank.RankConfiguration), inForce: &core.Configuration{}}
}

// InForce returns the configuration in force; it is read-only.
func (t *Configuration) InForce() *core.Configuration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce
}

// Apply puts a configuration in force if it is newer than the present one.
func (t *Configuration) Apply(offered *core.Configuration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if offered.Generation <= t.inForce.Generation {
		return false
	}
	t.inForce = offered
	return true
}
