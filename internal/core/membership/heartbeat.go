package membership

import (
	"maps"
	"slices"

	"fescuespar/internal/core"
)

// buildHeartbeat returns a heartbeat for a receiver that knows receiverKnows
// members.
func (v *View) buildHeartbeat(receiverKnows int) core.Heartbeat {
	known := v.knownCount()
	beat := core.Heartbeat{
		Sender:    v.self,
		Known:     uint32(known),
		Members:   v.nextUpdates(),
		Unreached: v.unreachableMembers(),
		Newest:    v.newest,
		Applied:   v.nextAppliedTags(),
		Weights:   v.nextWeights(),
	}
	extra := 1
	if receiverKnows < known/2 {
		extra = maxJoinUpdate
	}
	beat.Members = v.appendUnchanged(beat.Members, extra)
	return beat
}

// nextUpdates returns the most recently changed members and counts the
// transmission.
func (v *View) nextUpdates() []core.Member {
	var members []core.Member
	for at := len(v.updates) - 1; at >= 0 && len(members) < maxUpdates; at-- {
		e := v.updates[at]
		e.sendsLeft--
		members = append(members, e.member)
	}
	v.updates = slices.DeleteFunc(v.updates, func(e *entry) bool { return e.sendsLeft <= 0 })
	return members
}

// appendUnchanged appends the next members in round-robin order, whether
// changed or not, so that a lost update still reaches every process eventually.
// It skips members that are gone.
func (v *View) appendUnchanged(members []core.Member, extra int) []core.Member {
	for range min(extra, len(v.order)) {
		v.orderCursor = (v.orderCursor + 1) % len(v.order)
		e := v.order[v.orderCursor]
		if e.member.State != core.MemberGone && e.member.Incarnation != 0 {
			members = append(members, e.member)
		}
	}
	return members
}

// nextAppliedTags returns the next tags of members that have applied the newest
// generation and counts the transmission.
func (v *View) nextAppliedTags() []core.MemberTag {
	count := min(len(v.applied), maxTags)
	if count == 0 {
		return nil
	}
	tags := make([]core.MemberTag, 0, count)
	var unfinished []*entry
	for _, e := range v.applied[:count] {
		tags = append(tags, tagOf(e.member))
		e.tagSendsLeft--
		if e.tagSendsLeft > 0 {
			unfinished = append(unfinished, e)
		}
	}
	v.applied = append(slices.Delete(v.applied, 0, count), unfinished...)
	return tags
}

// nextWeights returns the weight versions with transmissions left and, in
// round-robin order, one of the others.
func (v *View) nextWeights() []core.WeightUpdate {
	if len(v.weights) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(v.weights))
	v.weightCursor = (v.weightCursor + 1) % len(names)
	var updates []core.WeightUpdate
	for at, name := range names {
		w := v.weights[name]
		if (w.sendsLeft > 0 || at == v.weightCursor) && len(updates) < maxWeights {
			w.sendsLeft--
			updates = append(updates, w.update)
		}
	}
	return updates
}
