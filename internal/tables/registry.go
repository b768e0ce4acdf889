package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/registration"
	"fescuespar/internal/lockrank"
)

// Registry holds the backend servers whose registrations this process considers
// live.
type Registry struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	view    *registration.View
	entries []registration.Server
	content uint64 // content version of the last read, zero when unknown
	readAt  time.Time
	freshAt time.Time // start of the last read that was not a peer's earlier answer
}

// NewRegistry returns a table without servers. All live servers register again
// within the time reregister after an outage.
func NewRegistry(reregister time.Duration) *Registry {
	return &Registry{mu: lockrank.New(lockrank.RankVMList), view: registration.NewView(reregister)}
}

// Observe applies all registrations, read by a call that began at the given
// time. It returns the servers that are no longer live. changed is false if the
// table has not changed.
func (t *Registry) Observe(read *core.Registrations, began time.Time) (removed []core.ServerID, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = began
	if !read.Stale {
		t.freshAt = began
	}
	if read.ContentHash != 0 && read.ContentHash == t.content && t.view.IsUnchanged(began) {
		return nil, false
	}
	t.entries, removed = t.view.Observe(read.Entries, began)
	t.content = read.ContentHash
	return removed, true
}

// RecordReadFailure records that the registrations could not be read.
func (t *Registry) RecordReadFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.RecordReadFailure()
}

// Entries returns the live servers and when they were read. The result must not
// be changed.
func (t *Registry) Entries() ([]registration.Server, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries, t.readAt
}

// SoftwareAfter returns the software of a server if its registration was read by a call that
// began after a time, and false otherwise.
func (t *Registry) SoftwareAfter(id core.ServerID, after time.Time) (core.SoftwareVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	software, lastRead := t.softwareOf(id)
	return software, lastRead.After(after)
}

// softwareOf returns the software of a server and when it was last read. The caller holds mu.
func (t *Registry) softwareOf(id core.ServerID) (core.SoftwareVersion, time.Time) {
	if t.readAt.After(t.freshAt) { // a peer's earlier answer
		return "", time.Time{}
	}
	software, lastRead, isListed := t.view.SoftwareOf(id)
	if isListed && t.freshAt.After(lastRead) { // later reads did not change the list
		lastRead = t.freshAt
	}
	return software, lastRead
}

// IsReadAfter reports whether the registrations were read by a call that began after a time.
func (t *Registry) IsReadAfter(after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshAt.After(after)
}

// RecordBroken records that a connection to a server broke or was refused.
func (t *Registry) RecordBroken(id core.ServerID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.RecordBroken(id, now)
}

// IsUnbroken reports whether registrations can't be read now, and no connection to a server
// is known to have broken since they could.
func (t *Registry) IsUnbroken(id core.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, lastRead := t.softwareOf(id)
	return t.view.IsUnbroken(id, lastRead)
}

// InstanceOf returns the newest known instance of a server.
func (t *Registry) InstanceOf(id core.ServerID) core.ServerInstance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.InstanceOf(id)
}

// MarkLeaving records that a server announced its shutdown in the response to a
// request sent at a time. It returns false if that was known or the response is from an
// earlier instance of the server.
func (t *Registry) MarkLeaving(id core.ServerID, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.view.MarkLeaving(id, sent) {
		return false
	}
	t.entries = t.view.Registered()
	return true
}

// RecordAcceptedOrders records how many orders a server reports to have accepted.
func (t *Registry) RecordAcceptedOrders(id core.ServerID, orders uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.RecordAcceptedOrders(id, orders)
}

// ForgetAcceptedOrders discards the known number of orders that a server has accepted.
func (t *Registry) ForgetAcceptedOrders(id core.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.ForgetAcceptedOrders(id)
}

// AcceptedOrders returns the last known number of orders that a server has accepted.
func (t *Registry) AcceptedOrders(id core.ServerID) (orders uint64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.AcceptedOrders(id)
}
