package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
)

// AcquireServer takes a place at a backend server. Rollouts get one only if the
// server's latency allows it; people always do, as servers run them first.
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
	limit.Take()
	return true
}

// ReleaseServer gives a place back. Latency is of comparable work, such as the
// time per token; zero when the run tells nothing.
func (t *Limits) ReleaseServer(id core.ServerID, latency time.Duration, overloaded bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.servers[id]
	if limit == nil {
		return
	}
	limit.Release()
	if overloaded {
		limit.Failed()
	}
	if latency > 0 {
		limit.Observe(latency, now)
	}
}

// RetainServers drops the limits of servers that left the platform's list.
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
