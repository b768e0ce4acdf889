package membership

import (
	"time"

	"fescuespar/internal/core"
)

// HeartbeatResult holds the content of a heartbeat that the application must act on.
type HeartbeatResult struct {
	Generation core.Generation     // generation newer than the applied one; zero if there is none
	From       string              // peer address of a process that has applied Generation
	Weights    []core.WeightUpdate // versions newer than those known
}

// Receive merges a heartbeat and returns the answer to it.
func (v *View) Receive(now time.Time, beat core.Heartbeat) (core.Heartbeat, HeartbeatResult) {
	e, found := v.entries[beat.Sender.VM]
	var suspected *core.Member
	if found && e.member.State != core.MemberAlive {
		suspected = &core.Member{}
		*suspected = e.member
	}
	result := v.merge(now, beat)
	answer := v.buildHeartbeat(int(beat.Known))
	if suspected != nil && suspected.Incarnation == beat.Sender.Incarnation {
		answer.Members = append(answer.Members, *suspected)
	}
	return answer, result
}

// ReceiveAnswer merges the answer to a heartbeat that this process sent.
func (v *View) ReceiveAnswer(now time.Time, beat core.Heartbeat) HeartbeatResult {
	return v.merge(now, beat)
}

// merge merges the content of a heartbeat into the view.
func (v *View) merge(now time.Time, beat core.Heartbeat) HeartbeatResult {
	if beat.Sender.VM == v.self.VM {
		return HeartbeatResult{}
	}
	v.raiseNewest(max(beat.Newest, beat.Sender.Generation))
	v.mergeSender(now, beat.Sender)
	for _, member := range beat.Members {
		v.mergeMember(now, member)
	}
	for _, vm := range beat.Unreached {
		v.mergeUnreached(now, beat.Sender.VM, vm)
	}
	if beat.Newest == v.newest {
		v.mergeAppliedTags(beat.Applied)
	}
	return v.resultOf(beat)
}

// resultOf returns the content of a heartbeat that the application must act on.
func (v *View) resultOf(beat core.Heartbeat) HeartbeatResult {
	var result HeartbeatResult
	if beat.Sender.Generation > v.self.Generation {
		result.Generation = beat.Sender.Generation
		result.From = beat.Sender.PeerAddress
	}
	for _, w := range beat.Weights {
		if v.SetWeights(w) {
			result.Weights = append(result.Weights, w)
		}
	}
	return result
}

// raiseNewest records a newer generation and discards the tags of members that
// applied the one before.
func (v *View) raiseNewest(generation core.Generation) {
	if generation <= v.newest {
		return
	}
	v.newest = generation
	for _, e := range v.applied {
		e.tagSendsLeft = 0
	}
	v.applied = v.applied[:0]
}

// mergeSender merges the record that a process sent of itself.
func (v *View) mergeSender(now time.Time, sender core.Member) {
	e := v.mergeMember(now, sender)
	if e == nil || e.member.Incarnation != sender.Incarnation {
		return
	}
	e.lastHeartbeat = now
	v.clearEvidence(e)
	e.member.Load = sender.Load
	if e.member.Sequence == sender.Sequence && e.member.State != sender.State {
		v.setState(now, e, sender.State)
	}
	v.raiseGeneration(e, sender.Generation)
}

// mergeMember merges a record and returns the member's entry, or nil for this
// process and for unknown members that are gone.
func (v *View) mergeMember(now time.Time, member core.Member) *entry {
	if member.VM == v.self.VM {
		v.refute(member)
		return nil
	}
	e, found := v.entries[member.VM]
	switch {
	case !found && member.State == core.MemberGone:
		return nil
	case !found:
		e = v.add(now, member)
		v.queueUpdate(e)
	case isNewer(member, e.member):
		changed := hasChanged(member, e.member)
		v.replace(now, e, member)
		v.clearEvidence(e)
		if changed {
			v.queueUpdate(e)
		}
	case !isNewer(e.member, member):
		e.sendsLeft-- // the sender already has this record
	}
	if member.Incarnation == e.member.Incarnation {
		v.raiseGeneration(e, member.Generation)
	}
	return e
}

// isNewer reports whether a is a later record of a member than b. It compares the
// incarnation, then the sequence, then the state, of which the larger wins.
func isNewer(a, b core.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.State > b.State
}

func hasChanged(a, b core.Member) bool {
	return a.Incarnation != b.Incarnation || a.Sequence != b.Sequence || a.State != b.State
}

// refute raises the own sequence above that of a record with a wrong state of this
// process, so that the own record replaces it.
func (v *View) refute(member core.Member) {
	if member.Incarnation != v.self.Incarnation || member.State == v.self.State || member.Sequence < v.self.Sequence {
		return
	}
	v.self.Sequence = member.Sequence + 1
	v.urgentRoundsLeft = urgentRounds
}

// preventSuspicion raises the own sequence after a report that this process is
// unreachable and before a member suspects it, at most once per MinDenialInterval.
func (v *View) preventSuspicion(now time.Time) {
	if now.Sub(v.lastDenial) < MinDenialInterval {
		return
	}
	v.lastDenial = now
	v.self.Sequence++
	v.urgentRoundsLeft = urgentRounds
}

// mergeUnreached records a report that the reporter cannot reach a member.
func (v *View) mergeUnreached(now time.Time, reporter, vm core.VMID) {
	if vm == v.self.VM {
		v.preventSuspicion(now)
		return
	}
	e, found := v.entries[vm]
	if !found || e.member.State != core.MemberAlive {
		return
	}
	if e.reporters == nil {
		e.reporters = make(map[core.VMID]time.Time)
	}
	e.reporters[reporter] = now
	v.checkSuspicion(now, e)
}

// mergeAppliedTags records that the members with these tags have applied the newest
// generation.
func (v *View) mergeAppliedTags(tags []core.MemberTag) {
	for _, tag := range tags {
		if e := v.tags[tag]; e != nil {
			v.raiseGeneration(e, v.newest)
		}
	}
}

// raiseGeneration records that a member has applied a generation. If it is the
// newest, it queues the tag of the member for other processes.
func (v *View) raiseGeneration(e *entry, generation core.Generation) {
	if generation < e.member.Generation {
		return
	}
	raised := generation > e.member.Generation
	e.member.Generation = generation
	if !raised || generation != v.newest {
		return
	}
	if e.tagSendsLeft == 0 {
		v.applied = append(v.applied, e)
	}
	e.tagSendsLeft = tagTransmits
}

// queueUpdate queues a changed member for transmission, as the newest change.
func (v *View) queueUpdate(e *entry) {
	for at, other := range v.updates {
		if other == e {
			v.updates = append(v.updates[:at], v.updates[at+1:]...)
			break
		}
	}
	e.sendsLeft = transmitLimit(v.aliveCount(), e.member.State)
	v.updates = append(v.updates, e)
}
