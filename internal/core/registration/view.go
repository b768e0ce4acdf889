// Package registration decides which registered backend servers to believe in.
//
// Registrations lapse while the platform is away, although the servers live.
// So a server that is missing right after an outage stays in the list, as it
// was, until the platform has answered for the time in which living servers
// register again; missing at any other time it is gone.
package registration

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Server is a believed registration.
type Server struct {
	core.ServerEntry
	Since   time.Time // when it was first read as it is
	Orders  uint64    // orders accepted since its start, as it reported
	Ordered bool      // it has reported them
}

// View is what one process believes. It is not safe for concurrent use.
type View struct {
	back    time.Duration // after an outage, until all living servers are registered again
	known   map[core.ServerID]Server
	listed  int       // servers that were registered when last read
	steady  time.Time // when the platform began to answer after the last failure
	failing bool
}

// NewView returns a view without servers.
func NewView(back time.Duration) *View {
	return &View{back: back, known: make(map[core.ServerID]Server), failing: true}
}

// Failed notes that the registrations could not be read.
func (v *View) Failed() { v.failing = true }

// Observe takes all registrations as read at a time and returns the servers
// to believe in and those that have gone.
func (v *View) Observe(entries []core.ServerEntry, now time.Time) (believed []Server, gone []core.ServerID) {
	if v.failing {
		v.failing, v.steady = false, now
	}
	v.listed = len(entries)
	listed := make(map[core.ServerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.VM.ID] = true
		before, found := v.known[entry.VM.ID]
		if !found || !same(before.ServerEntry, entry) {
			server := Server{ServerEntry: entry, Since: now}
			if before.Born == entry.Born {
				server.Orders, server.Ordered = before.Orders, before.Ordered
			}
			v.known[entry.VM.ID] = server
		}
	}
	settled := now.Sub(v.steady) >= v.back
	for id, entry := range v.known {
		if !listed[id] && (settled || replaced(entry, entries)) {
			delete(v.known, id)
			gone = append(gone, id)
		}
	}
	for _, entry := range v.known {
		believed = append(believed, entry)
	}
	return believed, gone
}

// Same reports whether a read at a time that brings the entries of the last one
// changes nothing: no outage is being bridged.
func (v *View) Same(now time.Time) bool {
	return !v.failing && now.Sub(v.steady) >= v.back && len(v.known) == v.listed
}

func same(a, b core.ServerEntry) bool {
	return a.VM == b.VM && a.Born == b.Born && slices.Equal(a.Models, b.Models)
}

// Ordered notes how many orders a server has accepted, as it reported. Reports
// lag, so that a smaller number than before tells nothing.
func (v *View) Ordered(id core.ServerID, orders uint64) {
	if server, found := v.known[id]; found && (orders > server.Orders || !server.Ordered) {
		server.Orders, server.Ordered = orders, true
		v.known[id] = server
	}
}

// Orders returns how many orders a server has accepted, if it has reported.
func (v *View) Orders(id core.ServerID) (orders uint64, known bool) {
	server := v.known[id]
	return server.Orders, server.Ordered
}

// replaced reports whether another server is registered at a missing one's
// address.
func replaced(missing Server, entries []core.ServerEntry) bool {
	for _, entry := range entries {
		if entry.VM.Address == missing.VM.Address {
			return true
		}
	}
	return false
}
