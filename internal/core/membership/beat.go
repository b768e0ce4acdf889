package membership

import (
	"maps"
	"slices"

	"fescuespar/internal/core"
)

// beat builds a heartbeat for a process that knows so many members.
func (v *View) beat(receiverKnows int) core.Heartbeat {
	known := v.known()
	beat := core.Heartbeat{
		Sender:    v.self,
		Known:     uint32(known),
		Members:   v.takeUpdates(),
		Unreached: v.unreached(),
		Newest:    v.newest,
		Applied:   v.takeTags(),
		Weights:   v.takeWeights(),
	}
	spare := 1
	if receiverKnows < known/2 {
		spare = maxJoinUpdate
	}
	beat.Members = v.fill(beat.Members, spare)
	return beat
}

// takeUpdates returns the newest changes and counts their transmission.
func (v *View) takeUpdates() []core.Member {
	var members []core.Member
	for at := len(v.updates) - 1; at >= 0 && len(members) < maxUpdates; at-- {
		e := v.updates[at]
		e.sends--
		members = append(members, e.member)
	}
	v.updates = slices.DeleteFunc(v.updates, func(e *entry) bool { return e.sends <= 0 })
	return members
}

// fill adds members in turn, whether changed or not, so that a lost update
// reaches everyone in time. Members that are gone are left out.
func (v *View) fill(members []core.Member, spare int) []core.Member {
	for range min(spare, len(v.order)) {
		v.cursor = (v.cursor + 1) % len(v.order)
		e := v.order[v.cursor]
		if e.member.State != core.MemberGone && e.member.Incarnation != 0 {
			members = append(members, e.member)
		}
	}
	return members
}

// takeTags returns tags of members that have applied the newest generation.
func (v *View) takeTags() []core.MemberTag {
	taken := min(len(v.applied), maxTags)
	if taken == 0 {
		return nil
	}
	tags := make([]core.MemberTag, 0, taken)
	var again []*entry
	for _, e := range v.applied[:taken] {
		tags = append(tags, tagOf(e.member))
		e.tagSends--
		if e.tagSends > 0 {
			again = append(again, e)
		}
	}
	v.applied = append(slices.Delete(v.applied, 0, taken), again...)
	return tags
}

// takeWeights returns the weight news with transmissions left and, in turn,
// one of the others.
func (v *View) takeWeights() []core.WeightNews {
	if len(v.weights) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(v.weights))
	v.turn = (v.turn + 1) % len(names)
	var news []core.WeightNews
	for at, name := range names {
		w := v.weights[name]
		if (w.sends > 0 || at == v.turn) && len(news) < maxWeights {
			w.sends--
			news = append(news, w.news)
		}
	}
	return news
}
