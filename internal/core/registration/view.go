// Package registration decides which backend servers count as registered.
//
// Registrations expire during an outage of the platform although the servers
// are live. A server whose registration is missing right after an outage
// therefore stays in the list unchanged until the platform has answered for the
// time in which live servers register again. At any other time a server without
// a registration is removed.
package registration

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Server is a server that counts as registered.
type Server struct {
	core.ServerEntry
	Since             time.Time // when the registration was first read in its present form
	AcceptedOrders    uint64    // orders accepted since the server's start, as it reported
	HasReportedOrders bool      // the server has reported its accepted orders
}

// View is one process's view of the registered servers. It is not safe for
// concurrent use.
type View struct {
	recovery       time.Duration // time after an outage in which live servers register again
	servers        map[core.ServerID]Server
	lastReadCount  int       // number of registrations in the last successful read
	answeringSince time.Time // first successful read after the last failure
	readFailed     bool
}

// NewView returns a view without servers. After an outage, missing servers
// remain in the view for the recovery time.
func NewView(recovery time.Duration) *View {
	return &View{recovery: recovery, servers: make(map[core.ServerID]Server), readFailed: true}
}

// RecordReadFailure records that the registrations could not be read.
func (v *View) RecordReadFailure() { v.readFailed = true }

// Observe applies all registrations as read at a time. It returns the servers
// that count as registered and the servers that were removed, in no particular
// order.
func (v *View) Observe(entries []core.ServerEntry, now time.Time) (registered []Server, removed []core.ServerID) {
	if v.readFailed {
		v.readFailed, v.answeringSince = false, now
	}
	v.lastReadCount = len(entries)
	listed := make(map[core.ServerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.VM.ID] = true
		before, found := v.servers[entry.VM.ID]
		if !found || !equalEntries(before.ServerEntry, entry) {
			server := Server{ServerEntry: entry, Since: now}
			if before.StartedUnixMs == entry.StartedUnixMs {
				server.AcceptedOrders, server.HasReportedOrders = before.AcceptedOrders, before.HasReportedOrders
			}
			v.servers[entry.VM.ID] = server
		}
	}
	recovered := now.Sub(v.answeringSince) >= v.recovery
	for id, entry := range v.servers {
		if !listed[id] && (recovered || isAddressReused(entry, entries)) {
			delete(v.servers, id)
			removed = append(removed, id)
		}
	}
	for _, entry := range v.servers {
		registered = append(registered, entry)
	}
	return registered, removed
}

// IsUnchanged reports whether a read at a time that returns the same
// registrations as the last one would change nothing: the recovery time is over
// and no missing server is kept.
func (v *View) IsUnchanged(now time.Time) bool {
	return !v.readFailed && now.Sub(v.answeringSince) >= v.recovery && len(v.servers) == v.lastReadCount
}

func equalEntries(a, b core.ServerEntry) bool {
	return a.VM == b.VM && a.StartedUnixMs == b.StartedUnixMs && slices.Equal(a.Models, b.Models)
}

// RecordAcceptedOrders records how many orders a server reports to have
// accepted. Reports are delayed, so a smaller number than the recorded one is
// ignored.
func (v *View) RecordAcceptedOrders(id core.ServerID, orders uint64) {
	if server, found := v.servers[id]; found && (orders > server.AcceptedOrders || !server.HasReportedOrders) {
		server.AcceptedOrders, server.HasReportedOrders = orders, true
		v.servers[id] = server
	}
}

// AcceptedOrders returns how many orders a server has accepted, and whether it has
// reported the number.
func (v *View) AcceptedOrders(id core.ServerID) (orders uint64, known bool) {
	server := v.servers[id]
	return server.AcceptedOrders, server.HasReportedOrders
}

// isAddressReused reports whether another server is registered at the address of
// a missing server.
func isAddressReused(missing Server, entries []core.ServerEntry) bool {
	for _, entry := range entries {
		if entry.VM.Address == missing.VM.Address {
			return true
		}
	}
	return false
}
