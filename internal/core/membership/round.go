package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Send is a heartbeat to be sent. VM is empty for a seed address whose process is
// not known yet.
type Send struct {
	VM        core.VMID
	Address   string
	Heartbeat core.Heartbeat
}

// partner is a member that gets heartbeats regularly. A small set of partners
// limits the number of connections and handshakes.
type partner struct {
	vm    core.VMID
	until time.Time
}

// NextRound returns the time at which the next round is due.
func (v *View) NextRound() time.Time {
	if v.urgentRoundsLeft > 0 {
		return v.lastRound.Add(UrgentInterval)
	}
	return v.lastRound.Add(RoundInterval)
}

// Round starts a round and returns the heartbeats to send.
func (v *View) Round(now time.Time, random *rand.Rand) []Send {
	v.lastRound = now
	v.urgentRoundsLeft = max(v.urgentRoundsLeft-1, 0)
	v.expire(now)
	targets := v.targets(now, random)
	sends := make([]Send, 0, len(targets))
	for _, e := range targets {
		sends = append(sends, Send{e.member.VM, e.member.PeerAddress, v.buildHeartbeat(math.MaxInt)})
	}
	if v.isIsolated() {
		sends = v.addSeeds(sends, random)
	}
	return sends
}

// isIsolated reports whether no alive member has sent a heartbeat to this process.
func (v *View) isIsolated() bool {
	return !slices.ContainsFunc(v.order, func(e *entry) bool {
		return e.member.State == core.MemberAlive && !e.lastHeartbeat.IsZero()
	})
}

func (v *View) addSeeds(sends []Send, random *rand.Rand) []Send {
	for at, index := range random.Perm(len(v.seeds)) {
		if at >= maxSeeds {
			break
		}
		sends = append(sends, Send{Address: v.seeds[index], Heartbeat: v.buildHeartbeat(math.MaxInt)})
	}
	return sends
}

// targets returns the members that get a heartbeat in this round: some partners,
// members with missed heartbeats and their confirmers, and occasionally a member
// that is not alive.
func (v *View) targets(now time.Time, random *rand.Rand) []*entry {
	v.refreshPartners(now, random)
	var targets []*entry
	for at, index := range random.Perm(len(v.partners)) {
		if at >= fanout(v.aliveCount()) {
			break
		}
		targets = append(targets, v.entries[v.partners[index].vm])
	}
	targets = v.addRetries(targets, random)
	if random.IntN(roundsPerNonAliveProbe) == 0 {
		targets = v.addNonAlive(targets, random)
	}
	return targets
}

// addRetries adds members with missed heartbeats or reports, and the confirmers of
// those that are unreachable.
func (v *View) addRetries(targets []*entry, random *rand.Rand) []*entry {
	var unconfirmed []*entry
	for _, e := range v.order {
		if e.member.State == core.MemberAlive && (e.missed > 0 || len(e.reporters) > 0) {
			unconfirmed = append(unconfirmed, e)
		}
	}
	random.Shuffle(len(unconfirmed), func(i, j int) {
		unconfirmed[i], unconfirmed[j] = unconfirmed[j], unconfirmed[i]
	})
	for _, e := range unconfirmed[:min(len(unconfirmed), maxRetries)] {
		targets = addTarget(targets, e)
		if v.isUnreachable(e) {
			targets = v.addConfirmers(targets, e, random)
		}
	}
	return targets
}

// addConfirmers adds the confirmers of a member, the same in each round, because
// their answers report whether they cannot reach it either.
func (v *View) addConfirmers(targets []*entry, missed *entry, random *rand.Rand) []*entry {
	if missed.confirmers == nil {
		missed.confirmers = v.drawConfirmers(missed, random)
	}
	for _, vm := range missed.confirmers {
		if e, found := v.entries[vm]; found && e.member.State == core.MemberAlive {
			targets = addTarget(targets, e)
		}
	}
	return targets
}

// drawConfirmers selects random partners that have not missed a heartbeat.
func (v *View) drawConfirmers(missed *entry, random *rand.Rand) []core.VMID {
	confirmers := make([]core.VMID, 0, maxConfirmers)
	candidates := v.partners
	for _, index := range random.Perm(len(candidates)) {
		e := v.entries[candidates[index].vm]
		if e != missed && e.missed == 0 && len(confirmers) < maxConfirmers {
			confirmers = append(confirmers, e.member.VM)
		}
	}
	return confirmers
}

// addNonAlive adds one suspect, leaving or gone member, in case it is reachable
// again.
func (v *View) addNonAlive(targets []*entry, random *rand.Rand) []*entry {
	var nonAlive []*entry
	for _, e := range v.order {
		if e.member.State != core.MemberAlive && e.member.PeerAddress != "" {
			nonAlive = append(nonAlive, e)
		}
	}
	if len(nonAlive) == 0 {
		return targets
	}
	return addTarget(targets, nonAlive[random.IntN(len(nonAlive))])
}

func addTarget(targets []*entry, e *entry) []*entry {
	if slices.Contains(targets, e) {
		return targets
	}
	return append(targets, e)
}

// refreshPartners drops partners that are no longer alive or whose lifetime has
// ended and selects new ones at random.
func (v *View) refreshPartners(now time.Time, random *rand.Rand) {
	v.partners = slices.DeleteFunc(v.partners, func(p partner) bool {
		e, found := v.entries[p.vm]
		return !found || e.member.State != core.MemberAlive || !now.Before(p.until)
	})
	wanted := maxPartners
	if v.aliveCount() <= SmallFleetSize {
		wanted = SmallFleetSize
	}
	if len(v.partners) >= min(wanted, v.aliveCount()-1) {
		return
	}
	for _, index := range random.Perm(len(v.order)) {
		if len(v.partners) >= wanted {
			return
		}
		v.addPartner(now, v.order[index], random)
	}
}

// addPartner adds a member with a random lifetime, so that partners are not all
// replaced at once.
func (v *View) addPartner(now time.Time, e *entry, random *rand.Rand) {
	isPartner := slices.ContainsFunc(v.partners, func(p partner) bool { return p.vm == e.member.VM })
	if isPartner || e.member.State != core.MemberAlive || e.member.PeerAddress == "" {
		return
	}
	lifetime := PartnerLifetime/2 + time.Duration(random.Int64N(int64(PartnerLifetime)))
	v.partners = append(v.partners, partner{e.member.VM, now.Add(lifetime)})
}
