package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
)

// AcquireServer acquires a concurrency slot of a backend server. Rollouts get
// one only within the server's adaptive limit; interactive requests always do,
// because servers run them first.
func (t *Limits) AcquireServer(id core.ServerID, class core.Class, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.servers[id]
	if limit == nil {
		limit = admission.NewServerLimit(now)
		t.servers[id] = limit
	}
	if class == core.ClassRollout {
		return limit.Acquire(class)
	}
	limit.ForceAcquire()
	return true
}

// ReleaseServer releases a concurrency slot. latency must be comparable between
// runs, such as the time per token; it is zero when the run gives no measure.
func (t *Limits) ReleaseServer(id core.ServerID, latency time.Duration, overloaded bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.servers[id]
	if limit == nil {
		return
	}
	limit.Release()
	if overloaded {
		limit.RecordFailure()
	}
	if latency > 0 {
		limit.Observe(latency, now)
	}
}

// RetainServers drops the limits of servers that are not in the platform's VM
// list.
func (t *Limits) RetainServers(vms []core.VM) {
	listed := make(map[core.ServerID]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.servers {
		if !listed[id] {
			delete(t.servers, id)
		}
	}
}
