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
	mu     lockrank.Mutex
	state  *routing.State
	random *rand.Rand
	listed bool                   // a VM list has been taken
	asked  map[core.ServerID]bool // servers that are being asked whether they live
	out    []core.ServerID        // ejected at the last Sweep
}

// NewServers returns a table without servers.
func NewServers(random *rand.Rand) *Servers {
	return NewServersWith(routing.DefaultPolicy(), random)
}

// NewServersWith returns a table without servers that routes by a policy.
func NewServersWith(policy routing.Policy, random *rand.Rand) *Servers {
	return &Servers{
		mu: lockrank.New(lockrank.RankServers), state: routing.NewState(policy), random: random,
		asked: make(map[core.ServerID]bool),
	}
}

// ApplyVMs replaces the set of servers by the backend servers of a VM list.
func (t *Servers) ApplyVMs(vms []core.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = true
	t.state.ApplyVMs(vms)
}

// ApplyPolled tells which engines this process polls.
func (t *Servers) ApplyPolled(polled map[core.ServerID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.ApplyPolled(polled)
}

// SetProcesses tells how many entry processes there are in all and in this
// one's region, itself included.
func (t *Servers) SetProcesses(all, inRegion int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.SetProcesses(all, inRegion)
}

// ApplyStatus takes in an engine's report that was measured at a past time.
func (t *Servers) ApplyStatus(status core.EngineStatus, measured time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.ApplyStatus(status, measured)
}

// BeginAsk reports whether a server may be asked for its state now: one call at
// a time, so that servers that do not answer do not fill a lane. EndAsk must
// follow after true.
func (t *Servers) BeginAsk(id core.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asked[id] {
		return false
	}
	t.asked[id] = true
	return true
}

// EndAsk ends what BeginAsk began.
func (t *Servers) EndAsk(id core.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.asked, id)
}

// Unreachable takes a server out of service to which no connection could be
// made by an attempt that began at the given time.
func (t *Servers) Unreachable(id core.ServerID, tried time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Unreachable(id, tried)
}

// Silent takes a server out of service that did not answer in time, unless too
// many are out already.
func (t *Servers) Silent(id core.ServerID, tried time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Silent(id, tried)
}

// Reachable brings back a server to which a connection was made.
func (t *Servers) Reachable(id core.ServerID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Reachable(id, now)
}

// UnreachableOf returns the servers of a kind that cannot be reached.
func (t *Servers) UnreachableOf(kind core.ServerKind) []core.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.UnreachableOf(kind)
}

// Short reports whether a service has lost so many servers that the others have
// no room for work that is moved.
func (t *Servers) Short(kind core.ServerKind, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Short(kind, service)
}

// Acquire picks a server and counts the request's tokens as in flight on it.
// Before the first VM list it can't tell that no server runs the request.
// Errors: Starting, NoServer, Overloaded.
func (t *Servers) Acquire(query routing.Query, now time.Time) (routing.Dispatch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listed {
		return routing.Dispatch{}, errkind.New(errkind.Starting, "this entry process has no list of backend servers yet")
	}
	vm, err := t.state.Pick(query, now, t.random)
	if err != nil {
		return routing.Dispatch{}, err
	}
	return t.state.Begin(vm.ID, query, now), nil
}

// Release takes back what Acquire counted and judges the server by the result.
func (t *Servers) Release(ended routing.Dispatch, result routing.Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.End(ended, result, now, t.random)
}

// Ejection is a server that gets no more work, with what it is kept out for.
type Ejection struct {
	Server core.ServerID
	outlier.Finding
}

// Sweep ejects outlying servers and returns those whose time is over. It returns
// which servers get no more work, and which get work again, since the last Sweep.
func (t *Servers) Sweep(now time.Time) (ejected []Ejection, back []core.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Sweep(now, t.random)
	before := t.out
	t.out = t.state.Ejected()
	back = slices.DeleteFunc(without(before, t.out), func(id core.ServerID) bool {
		_, listed := t.state.Server(id)
		return !listed
	})
	for _, id := range without(t.out, before) {
		ejected = append(ejected, Ejection{Server: id, Finding: t.state.Finding(id, now)})
	}
	return ejected, back
}

// without returns the ids of a sorted list that are not in another one.
func without(ids, others []core.ServerID) []core.ServerID {
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

// EnginesOf returns a snapshot of the listed engines of a service.
func (t *Servers) EnginesOf(service string) []routing.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.EnginesOf(service)
}

// Views returns a snapshot of all servers.
func (t *Servers) Views() []routing.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Views()
}
