package platform

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// vmList holds the current VMs and the served VMs. Changes appear in the
// served list with a delay of lag.
type vmList struct {
	// mu guards the fields below.
	mu      lockrank.Mutex
	lag     time.Duration
	current map[core.ServerID]core.VM
	served  map[core.ServerID]core.VM
	pending []vmChange // changes not served yet, oldest first
	reads   uint64
}

// vmChange adds, changes or removes a VM.
type vmChange struct {
	at      time.Time
	vm      core.VM
	removed bool
}

func newVMList(lag time.Duration) *vmList {
	return &vmList{
		mu:      lockrank.New(rankStandin),
		lag:     lag,
		current: make(map[core.ServerID]core.VM),
		served:  make(map[core.ServerID]core.VM),
	}
}

func (l *vmList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

func (l *vmList) put(now time.Time, vm core.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(vmChange{at: now, vm: vm})
}

// setState returns false if the VM is not registered.
func (l *vmList) setState(now time.Time, id core.ServerID, state core.VMState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	vm, found := l.current[id]
	if !found {
		return false
	}
	vm.State = state
	l.record(vmChange{at: now, vm: vm})
	return true
}

func (l *vmList) remove(now time.Time, id core.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(vmChange{at: now, vm: core.VM{ID: id}, removed: true})
}

// list returns the VMs as they were one lag ago, sorted by id.
func (l *vmList) list(now time.Time) []core.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	due := 0
	for due < len(l.pending) && !l.pending[due].at.Add(l.lag).After(now) {
		l.pending[due].apply(l.served)
		due++
	}
	l.pending = slices.Delete(l.pending, 0, due)
	byID := func(a, b core.VM) int { return cmp.Compare(a.ID, b.ID) }
	return slices.SortedFunc(maps.Values(l.served), byID)
}

func (l *vmList) readCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *vmList) record(c vmChange) {
	c.apply(l.current)
	l.pending = append(l.pending, c)
}

func (c vmChange) apply(vms map[core.ServerID]core.VM) {
	if c.removed {
		delete(vms, c.vm.ID)
		return
	}
	vms[c.vm.ID] = c.vm
}
