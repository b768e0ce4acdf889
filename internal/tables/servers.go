package tables

import (
	"math/rand/v2"

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
	return &Servers{mu: lockrank.New(lockrank.RankServers), state: routing.NewState(), random: random}
}

// ApplyVMs replaces the set of servers by the backend servers of a VM list.
func (t *Servers) ApplyVMs(vms []core.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.ApplyVMs(vms)
}

// ApplyStatus takes in an engine's report.
func (t *Servers) ApplyStatus(status core.EngineStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.ApplyStatus(status)
}

// Acquire picks a server and counts the request's tokens as in flight on it.
// Errors: NoServer.
func (t *Servers) Acquire(query routing.Query) (core.VM, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	vm, err := t.state.Pick(query, t.random)
	if err != nil {
		return core.VM{}, err
	}
	t.state.Begin(vm.ID, query.Tokens)
	return vm, nil
}

// Release takes back what Acquire counted.
func (t *Servers) Release(id core.ServerID, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.End(id, tokens)
}

// Server returns a listed server.
func (t *Servers) Server(id core.ServerID) (core.VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Server(id)
}

// Views returns a snapshot of all servers.
func (t *Servers) Views() []routing.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Views()
}
