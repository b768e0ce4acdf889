package tables

import (
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// Servers holds the backend servers and routes requests to them.
type Servers struct {
	// mu guards all fields below.
	mu       lockrank.Mutex
	state    *routing.State
	random   *rand.Rand
	hasList  bool                   // a VM list has been applied
	checking map[core.ServerID]bool // servers with a liveness check in flight
	ejected  []core.ServerID        // servers ejected as of the last Sweep, sorted
}

// NewServers returns a table without servers.
func NewServers(random *rand.Rand) *Servers {
	return NewServersWith(routing.DefaultPolicy(), random)
}

// NewServersWith returns a table without servers that routes by the given policy.
func NewServersWith(policy routing.Policy, random *rand.Rand) *Servers {
	return &Servers{
		mu: lockrank.New(lockrank.RankServers), state: routing.NewState(policy), random: random,
		checking: make(map[core.ServerID]bool),
	}
}

// ApplyVMs replaces the set of servers by the backend servers of a VM list.
func (t *Servers) ApplyVMs(vms []core.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasList = true
	t.state.ApplyVMs(vms)
}

// ApplyColdStarts begins the pace of servers that have started since the last call.
func (t *Servers) ApplyColdStarts(starts []routing.ColdStart, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.ApplyColdStarts(starts, now)
}

// PaceChanges returns the paces that began and ended since the last call, and the number
// of servers that are paced.
func (t *Servers) PaceChanges() (changes []routing.PaceChange, paced int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.PaceChanges(), t.state.PacedCount()
}

// HasList reports whether a VM list has been applied. Before that Acquire refuses
// every request.
func (t *Servers) HasList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasList
}

// ApplyPolled sets which engines this process polls.
func (t *Servers) ApplyPolled(polled map[core.ServerID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.SetPolledEngines(polled)
}

// SetProcesses sets the number of entry processes in all regions and in this
// one's, including this process.
func (t *Servers) SetProcesses(all, inRegion int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.SetProcessCounts(all, inRegion)
}

// ApplyStatus applies an engine's report, measured at the given time.
func (t *Servers) ApplyStatus(status core.EngineStatus, measured time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.ApplyStatus(status, measured)
}

// BeginCheck reports whether a liveness check of a server may start now. Only one
// check of a server runs at a time, so that servers that do not answer do not
// fill a lane. EndCheck must be called after true.
func (t *Servers) BeginCheck(id core.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checking[id] {
		return false
	}
	t.checking[id] = true
	return true
}

// EndCheck ends the check that BeginCheck began.
func (t *Servers) EndCheck(id core.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.checking, id)
}

// RecordNotice records the rate limit that a server advertised, or no longer did, in the
// response to a request sent at a time. It reports whether that changed.
func (t *Servers) RecordNotice(id core.ServerID, notice core.ServerNotice, sent, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.RecordNotice(id, notice, sent, now, t.random)
}

// Rejections returns the counts of servers that were not eligible in decisions without a
// candidate.
func (t *Servers) Rejections() routing.Rejections {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Rejections()
}

// SetRateShares sets this process's share of the rate limits that servers advertise, by
// service, and that of other services.
func (t *Servers) SetRateShares(shares map[string]float64, others float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.SetRateShares(shares, others)
}

// Demand returns the requests a second that this process sends to each service, or would
// send without rate limits.
func (t *Servers) Demand(now time.Time) []core.ServiceDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Demand(now)
}

// MarkUnreachable takes a server out of service after a connection attempt that
// began at the given time failed.
func (t *Servers) MarkUnreachable(id core.ServerID, tried time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.MarkUnreachable(id, tried)
}

// MarkUnresponsive takes a server out of service after a call that began at the
// given time was not answered in time, unless too many servers are already out
// of service.
func (t *Servers) MarkUnresponsive(id core.ServerID, tried time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.MarkUnresponsive(id, tried)
}

// MarkReachable returns a server to service after a successful connection.
func (t *Servers) MarkReachable(id core.ServerID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.MarkReachable(id, now)
}

// UnreachableOf returns the servers of a kind that cannot be reached.
func (t *Servers) UnreachableOf(kind core.ServerKind) []core.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.UnreachableServers(kind)
}

// IsShortOfServers reports whether a service has lost so many servers that the
// others lack the capacity for migrated work.
func (t *Servers) IsShortOfServers(kind core.ServerKind, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.IsShortOfServers(kind, service)
}

// Acquire selects a server and counts the request's tokens as in flight on it.
// Errors: Starting before the first VM list, when it is not known which servers
// exist, NoServer, Overloaded.
func (t *Servers) Acquire(query routing.Query, now time.Time) (routing.Dispatch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasList {
		return routing.Dispatch{}, errkind.New(errkind.Starting, "this entry process has not received a VM list yet")
	}
	vm, err := t.state.Pick(query, now, t.random)
	if err != nil {
		if reasons, explained := t.state.ExplainLast(&query, now); explained {
			err = errkind.Wrap(errkind.Of(err), err, "servers by the reason why they are not eligible: %s", reasons)
		}
		return routing.Dispatch{}, err
	}
	return t.state.Begin(vm.ID, query, now), nil
}

// Release ends a dispatch that Acquire began and updates the server's health
// from the result.
func (t *Servers) Release(ended routing.Dispatch, result routing.Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.End(ended, result, now, t.random)
}

// Ejection is a server that gets no more work, and why.
type Ejection struct {
	Server core.ServerID
	outlier.Finding
}

// Sweep ejects outlier servers and readmits those whose ejection is over. It
// returns the servers ejected and the listed ones readmitted since the last
// Sweep.
func (t *Servers) Sweep(now time.Time) (ejected []Ejection, readmitted []core.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Sweep(now, t.random)
	before := t.ejected
	t.ejected = t.state.EjectedServers()
	readmitted = slices.DeleteFunc(difference(before, t.ejected), func(id core.ServerID) bool {
		_, listed := t.state.Server(id)
		return !listed
	})
	for _, id := range difference(t.ejected, before) {
		ejected = append(ejected, Ejection{Server: id, Finding: t.state.EjectionFinding(id, now)})
	}
	return ejected, readmitted
}

// difference returns the elements of ids that are not in the sorted list others.
func difference(ids, others []core.ServerID) []core.ServerID {
	var rest []core.ServerID
	for _, id := range ids {
		if _, found := slices.BinarySearch(others, id); !found {
			rest = append(rest, id)
		}
	}
	return rest
}

// Server returns a listed server.
func (t *Servers) Server(id core.ServerID) (core.VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Server(id)
}

// EnginesOf returns a snapshot of a service's listed engines.
func (t *Servers) EnginesOf(service string) []routing.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.EnginesOfService(service)
}

// ServesSoftware reports whether a service has a live server of a software version.
func (t *Servers) ServesSoftware(kind core.ServerKind, service string, version core.SoftwareVersion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.ServesSoftware(kind, service, version)
}

// Views returns a snapshot of all servers.
func (t *Servers) Views() []routing.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Views()
}
