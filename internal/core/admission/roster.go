package admission

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Roster is who shares the limits, as one entry process knows it: the entry
// VMs of the platform's list and those that it heard without being listed.
// Silence removes no listed one.
type Roster struct {
	self    core.VMID
	timing  ShareTiming
	started time.Time

	listed  []core.VMID             // of the platform's list or otherwise live, sorted
	heard   map[core.VMID]time.Time // unlisted ones, with the time of the last heartbeat
	members []core.VMID             // sorted, this process included
	settled []core.VMID             // members before the changes of the last Gone
	changed time.Time               // when members changed last
	version uint64                  // grows with every change of members
	selfIn  bool                    // the list names this process
}

// NewRoster returns the roster of a process that starts and knows nobody else.
func NewRoster(self core.VMID, timing ShareTiming, now time.Time) *Roster {
	r := &Roster{self: self, timing: timing, started: now, heard: make(map[core.VMID]time.Time)}
	r.rebuild(now)
	return r
}

// ApplyListed takes the entry VMs of the platform's list, and those that are
// known to be live without being in it.
func (r *Roster) ApplyListed(vms []core.VMID, now time.Time) {
	listed := slices.Clone(vms)
	slices.Sort(listed)
	listed = slices.Compact(listed)
	if slices.Equal(listed, r.listed) {
		return
	}
	r.listed = listed
	r.selfIn = r.isListed(r.self)
	for vm := range r.heard {
		if r.isListed(vm) {
			delete(r.heard, vm)
		}
	}
	r.rebuild(now)
}

// Heard notes a heartbeat or answer of a process.
func (r *Roster) Heard(vm core.VMID, now time.Time) {
	if vm == r.self || r.isListed(vm) {
		return
	}
	_, known := r.heard[vm]
	r.heard[vm] = now
	if !known {
		r.rebuild(now)
	}
}

// Tick forgets unlisted processes that were silent for too long.
func (r *Roster) Tick(now time.Time) {
	forgotten := false
	for vm, at := range r.heard {
		if now.Sub(at) >= r.timing.Gone {
			delete(r.heard, vm)
			forgotten = true
		}
	}
	if forgotten {
		r.rebuild(now)
	}
	if now.Sub(r.changed) >= r.timing.Gone {
		r.settled = r.members
	}
}

// Members returns the number of processes that share the limits.
func (r *Roster) Members() int { return len(r.members) }

func (r *Roster) isListed(vm core.VMID) bool {
	_, found := slices.BinarySearch(r.listed, vm)
	return found
}

func (r *Roster) rebuild(now time.Time) {
	members := append(slices.Clone(r.listed), r.self)
	for vm := range r.heard {
		members = append(members, vm)
	}
	slices.Sort(members)
	members = slices.Compact(members)
	if slices.Equal(members, r.members) {
		return
	}
	r.members = members
	r.changed = now
	r.version++
}
