package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/registration"
	"fescuespar/internal/lockrank"
)

// Registry holds the registrations of backend servers that are believed.
type Registry struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	view    *registration.View
	entries []registration.Server
	content uint64 // of the last read; zero for unknown
	readAt  time.Time
}

// NewRegistry returns a table without servers. Back is the time after an outage
// in which all living servers register again.
func NewRegistry(back time.Duration) *Registry {
	return &Registry{mu: lockrank.New(lockrank.RankVMList), view: registration.NewView(back)}
}

// Observe takes all registrations as read by a call that began at a time. It
// returns the servers that have gone, and false for changed if the same is
// believed as before.
func (t *Registry) Observe(read *core.Registrations, began time.Time) (gone []core.ServerID, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = began
	if read.Content != 0 && read.Content == t.content && t.view.Same(began) {
		return nil, false
	}
	t.entries, gone = t.view.Observe(read.Entries, began)
	t.content = read.Content
	return gone, true
}

// Failed notes that the registrations could not be read.
func (t *Registry) Failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.Failed()
}

// Entries returns the believed servers and when they were read. The result
// must not be changed.
func (t *Registry) Entries() ([]registration.Server, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries, t.readAt
}

// Ordered notes how many orders a server has accepted, as it said itself.
func (t *Registry) Ordered(id core.ServerID, orders uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.Ordered(id, orders)
}

// Orders returns how many orders a server has accepted, as far as known.
func (t *Registry) Orders(id core.ServerID) (orders uint64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.Orders(id)
}
