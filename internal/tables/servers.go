package tables

import (
	"math/rand/v2"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/lockrank"
)

// Servers holds the backend servers and routes requests to them.
type Servers struct {
	// mu guards state and random.
	mu     lockrank.Mutex
	state  *routing.State
	random *rand.Rand
}

// NewServers returns a table without servers.
func NewServers(random *rand.Rand) *Servers {
	return &Servers{mu: lockrank.New(lockrank.RankServers), state: routing.NewState(routing.DefaultPolicy()), random: random}
}

// ApplyVMs replaces the set of servers by the backend servers of a VM list.
func (t *Servers) ApplyVMs(vms []core.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// Acquire picks a server and counts the request's tokens as in flight on it.
// Errors: NoServer, Overloaded.
func (t *Servers) Acquire(query routing.Query, now time.Time) (routing.Dispatch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// Sweep ejects outlying servers and returns those whose time is over.
func (t *Servers) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Sweep(now, t.random)
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
