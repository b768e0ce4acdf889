package membership

import (
	"time"

	"fescuespar/internal/core"
)

// News is what a heartbeat told that the application acts on.
type News struct {
	Generation core.Generation // newer than the own one, zero when there is none
	From       string          // peer address of a process that has applied it
	Weights    []core.WeightNews
}

// Receive takes a heartbeat and returns the answer to it.
func (v *View) Receive(now time.Time, beat core.Heartbeat) (core.Heartbeat, News) {
	believed, found := v.entries[beat.Sender.VM]
	var doubted *core.Member
	if found && believed.member.State != core.MemberAlive {
		doubted = &core.Member{}
		*doubted = believed.member
	}
	news := v.take(now, beat)
	answer := v.beat(int(beat.Known))
	if doubted != nil && doubted.Incarnation == beat.Sender.Incarnation {
		answer.Members = append(answer.Members, *doubted)
	}
	return answer, news
}

// Answered takes the answer to a heartbeat that this process sent.
func (v *View) Answered(now time.Time, beat core.Heartbeat) News { return v.take(now, beat) }

// take merges all that a heartbeat tells.
func (v *View) take(now time.Time, beat core.Heartbeat) News {
	if beat.Sender.VM == v.self.VM {
		return News{}
	}
	v.raiseNewest(max(beat.Newest, beat.Sender.Generation))
	v.takeSender(now, beat.Sender)
	for _, member := range beat.Members {
		v.takeMember(now, member)
	}
	for _, vm := range beat.Unreached {
		v.takeUnreached(now, beat.Sender.VM, vm)
	}
	if beat.Newest == v.newest {
		v.takeApplied(beat.Applied)
	}
	return v.news(beat)
}

func (v *View) news(beat core.Heartbeat) News {
	var news News
	if beat.Sender.Generation > v.self.Generation {
		news.Generation = beat.Sender.Generation
		news.From = beat.Sender.PeerAddress
	}
	for _, w := range beat.Weights {
		if v.SetWeights(w) {
			news.Weights = append(news.Weights, w)
		}
	}
	return news
}

// raiseNewest starts to collect anew who has applied the newest generation.
func (v *View) raiseNewest(generation core.Generation) {
	if generation <= v.newest {
		return
	}
	v.newest = generation
	for _, e := range v.applied {
		e.tagSends = 0
	}
	v.applied = v.applied[:0]
}

// takeSender merges the record of a process that was just heard.
func (v *View) takeSender(now time.Time, sender core.Member) {
	e := v.takeMember(now, sender)
	if e == nil || e.member.Incarnation != sender.Incarnation {
		return
	}
	e.heard = now
	v.clearDoubt(e)
	e.member.Load = sender.Load
	if e.member.Sequence == sender.Sequence && e.member.State != sender.State {
		v.setState(now, e, sender.State)
	}
	v.raiseGeneration(e, sender.Generation)
}

// takeMember merges a record and returns the member's entry, or nil for the
// process itself and for unknown members that are gone.
func (v *View) takeMember(now time.Time, member core.Member) *entry {
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
	case newer(member, e.member):
		spread := differs(member, e.member)
		v.replace(now, e, member)
		v.clearDoubt(e)
		if spread {
			v.queueUpdate(e)
		}
	case !newer(e.member, member):
		e.sends-- // one who tells it need not be told
	}
	if member.Incarnation == e.member.Incarnation {
		v.raiseGeneration(e, member.Generation)
	}
	return e
}

// newer reports whether a is a later record of a member than b: by
// incarnation, then sequence, then the graver state.
func newer(a, b core.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.State > b.State
}

func differs(a, b core.Member) bool {
	return a.Incarnation != b.Incarnation || a.Sequence != b.Sequence || a.State != b.State
}

// refute answers a wrong belief about the process itself with a higher
// sequence.
func (v *View) refute(member core.Member) {
	if member.Incarnation != v.self.Incarnation || member.State == v.self.State || member.Sequence < v.self.Sequence {
		return
	}
	v.self.Sequence = member.Sequence + 1
	v.urgent = urgentRounds
}

// deny raises the sequence before a doubt has become a suspicion, at most once
// in a while.
func (v *View) deny(now time.Time) {
	if now.Sub(v.denied) < DenialInterval {
		return
	}
	v.denied = now
	v.self.Sequence++
	v.urgent = urgentRounds
}

// takeUnreached takes a report that its sender fails to reach a member.
func (v *View) takeUnreached(now time.Time, witness, vm core.VMID) {
	if vm == v.self.VM {
		v.deny(now)
		return
	}
	e, found := v.entries[vm]
	if !found || e.member.State != core.MemberAlive {
		return
	}
	if e.witnesses == nil {
		e.witnesses = make(map[core.VMID]time.Time)
	}
	e.witnesses[witness] = now
	v.judge(now, e)
}

// takeApplied marks members as having applied the newest generation.
func (v *View) takeApplied(tags []core.MemberTag) {
	for _, tag := range tags {
		if e := v.tags[tag]; e != nil {
			v.raiseGeneration(e, v.newest)
		}
	}
}

// raiseGeneration marks a member as having applied a generation and queues the
// tag that tells others.
func (v *View) raiseGeneration(e *entry, generation core.Generation) {
	if generation < e.member.Generation {
		return
	}
	rose := generation > e.member.Generation
	e.member.Generation = generation
	if !rose || generation != v.newest {
		return
	}
	if e.tagSends == 0 {
		v.applied = append(v.applied, e)
	}
	e.tagSends = tagTransmits
}

func (v *View) queueUpdate(e *entry) {
	for at, other := range v.updates {
		if other == e {
			v.updates = append(v.updates[:at], v.updates[at+1:]...)
			break
		}
	}
	e.sends = transmitLimit(v.count(), e.member.State)
	v.updates = append(v.updates, e)
}
