package admission

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Roster is the set of processes that share the limits, as known to one entry
// process: the entry VMs of the platform's list and unlisted ones that sent
// heartbeats. A listed process is never removed for being silent.
type Roster struct {
	self    core.VMID
	timing  ShareTiming
	started time.Time

	listed         []core.VMID             // in the platform's list or known to be live, sorted
	unlisted       map[core.VMID]time.Time // unlisted processes with the time of their last heartbeat
	members        []core.VMID             // all of them and this process, sorted
	settledMembers []core.VMID             // members as of the last time that they were unchanged for PeerTimeout
	changedAt      time.Time               // when members last changed
	version        uint64                  // incremented with every change of members
	selfListed     bool                    // this process is listed
}

// NewRoster returns the roster of a process that starts and knows no other
// process.
func NewRoster(self core.VMID, timing ShareTiming, now time.Time) *Roster {
	r := &Roster{self: self, timing: timing, started: now, unlisted: make(map[core.VMID]time.Time)}
	r.rebuild(now)
	return r
}

// SetListed sets the listed processes: the entry VMs of the platform's list,
// and those known to be live without being in it.
func (r *Roster) SetListed(vms []core.VMID, now time.Time) {
	listed := slices.Clone(vms)
	slices.Sort(listed)
	listed = slices.Compact(listed)
	if slices.Equal(listed, r.listed) {
		return
	}
	r.listed = listed
	r.selfListed = r.isListed(r.self)
	for vm := range r.unlisted {
		if r.isListed(vm) {
			delete(r.unlisted, vm)
		}
	}
	r.rebuild(now)
}

// RecordHeartbeat records a heartbeat or an answer of a process.
func (r *Roster) RecordHeartbeat(vm core.VMID, now time.Time) {
	if vm == r.self || r.isListed(vm) {
		return
	}
	_, known := r.unlisted[vm]
	r.unlisted[vm] = now
	if !known {
		r.rebuild(now)
	}
}

// Tick removes unlisted processes that were silent for PeerTimeout.
func (r *Roster) Tick(now time.Time) {
	removed := false
	for vm, at := range r.unlisted {
		if now.Sub(at) >= r.timing.PeerTimeout {
			delete(r.unlisted, vm)
			removed = true
		}
	}
	if removed {
		r.rebuild(now)
	}
	if now.Sub(r.changedAt) >= r.timing.PeerTimeout {
		r.settledMembers = r.members
	}
}

// MemberCount returns the number of processes that share the limits.
func (r *Roster) MemberCount() int { return len(r.members) }

func (r *Roster) isListed(vm core.VMID) bool {
	_, found := slices.BinarySearch(r.listed, vm)
	return found
}

// rebuild computes the members and increments the version if they changed.
func (r *Roster) rebuild(now time.Time) {
	members := append(slices.Clone(r.listed), r.self)
	for vm := range r.unlisted {
		members = append(members, vm)
	}
	slices.Sort(members)
	members = slices.Compact(members)
	if slices.Equal(members, r.members) {
		return
	}
	r.members = members
	r.changedAt = now
	r.version++
}
