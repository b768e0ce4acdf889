// Package registration decides which backend servers count as registered.
//
// Registrations expire during an outage of the platform although the servers
// are live. A server whose registration is missing right after an outage
// therefore stays in the list unchanged until the platform has answered for the
// time in which live servers register again. At any other time a server without
// a registration is removed.
package registration

import (
	"fmt"
	"maps"
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
	ColdUntil         time.Time // when this instance is no longer slow after its start; in the past if it was not when first read
}

// instanceMemory is how long an instance is remembered after its registration was last
// read. It is longer than any list that a process may still hold is old.
const instanceMemory = 10 * time.Minute

// instance is one start of a server.
type instance struct {
	startedUnixMs int64
	firstRead     time.Time // when a registration of it was first read
	lastRead      time.Time
	software      core.SoftwareVersion
	brokenAt      time.Time // when a connection to it broke or was refused last, as this process saw
	leaving       bool      // it announced its shutdown in a response
	coldUntil     time.Time // by its first registration
}

// View is one process's view of the registered servers. It is not safe for
// concurrent use.
type View struct {
	recovery       time.Duration // time after an outage in which live servers register again
	servers        map[core.ServerID]Server
	instances      map[core.ServerID]*instance // the newest instance of each server, also of servers that are gone
	observedAt     time.Time                   // of the last read that Observe applied
	lastReadCount  int                         // number of registrations in the last successful read
	answeringSince time.Time                   // first successful read after the last failure
	readFailed     bool
}

// NewView returns a view without servers. After an outage, missing servers
// remain in the view for the recovery time.
func NewView(recovery time.Duration) *View {
	return &View{recovery: recovery, servers: make(map[core.ServerID]Server), instances: make(map[core.ServerID]*instance), readFailed: true}
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
	v.lastReadCount, v.observedAt = len(entries), now
	listed := make(map[core.ServerID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.VM.ID] = true
		known := v.observeInstance(&entry, now)
		if known.leaving {
			entry.VM.State = core.VMLeaving
		}
		before, found := v.servers[entry.VM.ID]
		if !found || !equalEntries(before.ServerEntry, entry) {
			server := Server{ServerEntry: entry, Since: now, ColdUntil: known.coldUntil}
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
	v.forgetInstances(now)
	return v.Registered(), removed
}

// Registered returns the servers that count as registered, in no particular order.
func (v *View) Registered() []Server { return slices.Collect(maps.Values(v.servers)) }

// observeInstance records that a registration was read and returns its instance.
func (v *View) observeInstance(entry *core.ServerEntry, now time.Time) *instance {
	known := v.instances[entry.VM.ID]
	if known == nil || known.startedUnixMs != entry.StartedUnixMs {
		known = &instance{startedUnixMs: entry.StartedUnixMs, firstRead: now, coldUntil: now.Add(entry.ColdFor)}
		v.instances[entry.VM.ID] = known
	}
	known.lastRead, known.software = now, entry.VM.Software
	return known
}

// RecordBroken records that a connection to a server broke or was refused.
func (v *View) RecordBroken(id core.ServerID, now time.Time) {
	if known := v.instances[id]; known != nil {
		known.brokenAt = now
	}
}

// IsUnbroken reports whether no connection to a server is known to have broken since its
// registration was read at a time, and reads fail since. A server that starts again breaks
// its connections.
func (v *View) IsUnbroken(id core.ServerID, readAt time.Time) bool {
	known := v.instances[id]
	return known != nil && v.readFailed && known.brokenAt.Before(readAt)
}

// SoftwareOf returns the software of the newest known instance of a server, when its
// registration was last read, and whether that was in the last read that changed the view.
func (v *View) SoftwareOf(id core.ServerID) (software core.SoftwareVersion, lastRead time.Time, isListed bool) {
	known := v.instances[id]
	if known == nil {
		return "", time.Time{}, false
	}
	return known.software, known.lastRead, known.lastRead.Equal(v.observedAt)
}

// InstanceOf returns the newest known instance of a server.
func (v *View) InstanceOf(id core.ServerID) core.ServerInstance {
	started := int64(0)
	if known := v.instances[id]; known != nil {
		started = known.startedUnixMs
	}
	return core.ServerInstance(fmt.Sprintf("%s@%d", id, started))
}

// forgetInstances removes the instances that are gone for longer than instanceMemory.
func (v *View) forgetInstances(now time.Time) {
	maps.DeleteFunc(v.instances, func(id core.ServerID, known *instance) bool {
		_, registered := v.servers[id]
		return !registered && now.Sub(known.lastRead) > instanceMemory
	})
}

// MarkLeaving records that a server announced its shutdown in the response to a
// request sent at a time. The mark holds for that instance, also when its registration
// lapses and returns. It returns false if that was known, the server is unknown, or the
// response is from an earlier instance.
func (v *View) MarkLeaving(id core.ServerID, sent time.Time) bool {
	known := v.instances[id]
	if known == nil || known.leaving || known.firstRead.After(sent) {
		return false
	}
	known.leaving = true
	if server, registered := v.servers[id]; registered {
		server.VM.State = core.VMLeaving
		v.servers[id] = server
	}
	return true
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

// ForgetAcceptedOrders discards the number of orders that a server has accepted. The next
// report sets it, also to a smaller one.
func (v *View) ForgetAcceptedOrders(id core.ServerID) {
	if server, found := v.servers[id]; found {
		server.AcceptedOrders, server.HasReportedOrders = 0, false
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
