package membership

import (
	"time"

	"fescuespar/internal/core"
)

// RecordMissed records that a member did not answer a heartbeat.
func (v *View) RecordMissed(now time.Time, vm core.VMID) {
	e, found := v.entries[vm]
	if !found {
		return
	}
	e.missed++
	v.checkSuspicion(now, e)
}

// isUnreachable reports whether the member has missed enough heartbeats of this
// process. If another process has reported it, fewer are required.
func (v *View) isUnreachable(e *entry) bool {
	if len(e.reporters) > 0 {
		return e.missed >= minMissed
	}
	return e.missed >= missLimit(v.aliveCount())
}

// checkSuspicion marks an unreachable member as suspect once enough other members
// have reported it. A process that reaches only few members needs fewer reports.
func (v *View) checkSuspicion(now time.Time, e *entry) {
	for reporter, at := range e.reporters {
		if now.Sub(at) > ReportLifetime {
			delete(e.reporters, reporter)
		}
	}
	if e.member.State != core.MemberAlive || !v.isUnreachable(e) {
		return
	}
	if len(e.reporters) < min(minReporters, v.countReachableExcept(e)) {
		return
	}
	v.setState(now, e, core.MemberSuspect)
	v.clearEvidence(e)
	v.queueUpdate(e)
	v.urgentRoundsLeft = urgentRounds
}

// countReachableExcept returns the number of alive members, other than the given one,
// that have sent a heartbeat and not missed any.
func (v *View) countReachableExcept(except *entry) int {
	reachable := 0
	for _, e := range v.order {
		if e != except && e.member.State == core.MemberAlive && e.missed == 0 && !e.lastHeartbeat.IsZero() {
			reachable++
		}
	}
	return reachable
}

func (v *View) clearEvidence(e *entry) {
	e.missed = 0
	e.reporters = nil
	e.confirmers = nil
}

// unreachableMembers returns the alive members that this process cannot reach.
func (v *View) unreachableMembers() []core.VMID {
	var vms []core.VMID
	for _, e := range v.order {
		if e.missed > 0 && e.member.State == core.MemberAlive && len(vms) < maxUnreached && v.isUnreachable(e) {
			vms = append(vms, e.member.VM)
		}
	}
	return vms
}

// ObserveVMs merges the platform's VM list. The address of an entry VM in the list
// is its peer address.
func (v *View) ObserveVMs(now time.Time, vms []core.VM) {
	present := make(map[core.VMID]bool, len(v.order))
	for _, vm := range vms {
		id := core.VMID(vm.ID)
		if vm.Kind != core.KindEntry || id == v.self.VM {
			continue
		}
		present[id] = true
		v.observe(now, id, vm)
	}
	for _, e := range v.order {
		if e.listed && !present[e.member.VM] && e.unlistedSince.IsZero() {
			e.unlistedSince = now
		}
	}
}

func (v *View) observe(now time.Time, id core.VMID, vm core.VM) {
	e, found := v.entries[id]
	if !found {
		e = v.add(now, core.Member{VM: id, PeerAddress: vm.Address, Zone: vm.Zone, Region: vm.Region})
	}
	e.listed = true
	e.listedLeaving = vm.State == core.VMLeaving
	e.unlistedSince = time.Time{}
}

// expire marks members as gone, and removes gone members, when their state has
// lasted for its timeout.
func (v *View) expire(now time.Time) {
	var expired []*entry
	for _, e := range v.order {
		if e.member.State == core.MemberAlive {
			continue
		}
		duration := now.Sub(e.stateSince)
		switch e.member.State {
		case core.MemberSuspect:
			removedFromList := !e.unlistedSince.IsZero() && now.Sub(e.unlistedSince) >= UnlistedTimeout
			if removedFromList || duration >= SuspectTimeout {
				v.setState(now, e, core.MemberGone)
			}
		case core.MemberLeaving:
			if duration >= LeavingTimeout && now.Sub(e.lastHeartbeat) >= LeavingTimeout {
				v.setState(now, e, core.MemberGone)
			}
		case core.MemberGone:
			stillListed := e.listed && e.unlistedSince.IsZero()
			if duration >= GoneRetention && !stillListed {
				expired = append(expired, e)
			}
		}
	}
	for _, e := range expired {
		v.remove(e)
	}
}
