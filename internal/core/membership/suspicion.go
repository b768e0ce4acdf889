package membership

import (
	"time"

	"fescuespar/internal/core"
)

// Missed takes note that a member did not answer a heartbeat.
func (v *View) Missed(now time.Time, vm core.VMID) {
	e, found := v.entries[vm]
	if !found {
		return
	}
	e.missed++
	v.judge(now, e)
}

// unreachable reports whether this process itself misses the member. A report
// by others lowers the number of missed heartbeats that it takes.
func (v *View) unreachable(e *entry) bool {
	if len(e.witnesses) > 0 {
		return e.missed >= minMissed
	}
	return e.missed >= missLimit(v.count())
}

// judge makes an unreachable member suspect once enough others miss it too. A
// process that hardly reaches anybody has few to ask and needs fewer.
func (v *View) judge(now time.Time, e *entry) {
	for witness, at := range e.witnesses {
		if now.Sub(at) > WitnessLifetime {
			delete(e.witnesses, witness)
		}
	}
	if e.member.State != core.MemberAlive || !v.unreachable(e) {
		return
	}
	if len(e.witnesses) < min(minWitnesses, v.reachableBut(e)) {
		return
	}
	v.setState(now, e, core.MemberSuspect)
	v.clearDoubt(e)
	v.queueUpdate(e)
	v.urgent = urgentRounds
}

// reachableBut counts the alive members that are not being missed, without one.
func (v *View) reachableBut(except *entry) int {
	reachable := 0
	for _, e := range v.order {
		if e != except && e.member.State == core.MemberAlive && e.missed == 0 && !e.heard.IsZero() {
			reachable++
		}
	}
	return reachable
}

func (v *View) clearDoubt(e *entry) {
	e.missed = 0
	e.witnesses = nil
	e.asked = nil
}

// unreached returns the members that this process itself fails to reach.
func (v *View) unreached() []core.VMID {
	var vms []core.VMID
	for _, e := range v.order {
		if e.missed > 0 && e.member.State == core.MemberAlive && len(vms) < maxUnreached && v.unreachable(e) {
			vms = append(vms, e.member.VM)
		}
	}
	return vms
}

// ObserveVMs takes the platform's VM list. The address of an entry VM in the
// list is its peer address.
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
		if e.listed && !present[e.member.VM] && e.unlisted.IsZero() {
			e.unlisted = now
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
	e.unlisted = time.Time{}
}

// expire moves members on whose state has lasted long.
func (v *View) expire(now time.Time) {
	var forgotten []*entry
	for _, e := range v.order {
		if e.member.State == core.MemberAlive {
			continue
		}
		lasted := now.Sub(e.since)
		switch e.member.State {
		case core.MemberSuspect:
			dropped := !e.unlisted.IsZero() && now.Sub(e.unlisted) >= UnlistedGone
			if dropped || lasted >= SuspectGone {
				v.setState(now, e, core.MemberGone)
			}
		case core.MemberLeaving:
			if lasted >= LeavingGone && now.Sub(e.heard) >= LeavingGone {
				v.setState(now, e, core.MemberGone)
			}
		case core.MemberGone:
			stillListed := e.listed && e.unlisted.IsZero()
			if lasted >= GoneForgotten && !stillListed {
				forgotten = append(forgotten, e)
			}
		}
	}
	for _, e := range forgotten {
		v.remove(e)
	}
}
