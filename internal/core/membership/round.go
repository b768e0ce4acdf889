package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Send is one heartbeat to be sent. VM is empty for a seed address whose
// process is not known yet.
type Send struct {
	VM      core.VMID
	Address string
	Beat    core.Heartbeat
}

// partner is a member that gets heartbeats in turn with the other partners.
// Few partners keep the number of connections and handshakes small.
type partner struct {
	vm    core.VMID
	until time.Time
}

// NextRound returns when the next round is due.
func (v *View) NextRound() time.Time {
	if v.urgent > 0 {
		return v.lastRound.Add(UrgentInterval)
	}
	return v.lastRound.Add(RoundInterval)
}

// Round returns the heartbeats of one round.
func (v *View) Round(now time.Time, random *rand.Rand) []Send {
	v.lastRound = now
	v.urgent = max(v.urgent-1, 0)
	v.expire(now)
	targets := v.targets(now, random)
	sends := make([]Send, 0, len(targets))
	for _, e := range targets {
		sends = append(sends, Send{e.member.VM, e.member.PeerAddress, v.beat(math.MaxInt)})
	}
	if v.alone() {
		sends = v.addSeeds(sends, random)
	}
	return sends
}

// alone reports whether no member is alive of which a heartbeat told.
func (v *View) alone() bool {
	return !slices.ContainsFunc(v.order, func(e *entry) bool {
		return e.member.State == core.MemberAlive && !e.heard.IsZero()
	})
}

func (v *View) addSeeds(sends []Send, random *rand.Rand) []Send {
	for at, index := range random.Perm(len(v.seeds)) {
		if at >= maxSeeds {
			break
		}
		sends = append(sends, Send{Address: v.seeds[index], Beat: v.beat(math.MaxInt)})
	}
	return sends
}

// targets returns some partners, members that were missed and those asked to
// confirm it, and now and then one that seems lost.
func (v *View) targets(now time.Time, random *rand.Rand) []*entry {
	v.refreshPartners(now, random)
	var targets []*entry
	for at, index := range random.Perm(len(v.partners)) {
		if at >= fanout(v.count()) {
			break
		}
		targets = append(targets, v.entries[v.partners[index].vm])
	}
	targets = v.addRetries(targets, random)
	if random.IntN(lostProbeOdds) == 0 {
		targets = v.addLost(targets, random)
	}
	return targets
}

// addRetries adds missed members, and for the unreachable ones those that
// shall confirm it.
func (v *View) addRetries(targets []*entry, random *rand.Rand) []*entry {
	var doubted []*entry
	for _, e := range v.order {
		if e.member.State == core.MemberAlive && (e.missed > 0 || len(e.witnesses) > 0) {
			doubted = append(doubted, e)
		}
	}
	random.Shuffle(len(doubted), func(i, j int) { doubted[i], doubted[j] = doubted[j], doubted[i] })
	for _, e := range doubted[:min(len(doubted), maxRetries)] {
		targets = addTarget(targets, e)
		if v.unreachable(e) {
			targets = v.addConfirmers(targets, e, random)
		}
	}
	return targets
}

// addConfirmers adds the same members in each round, as their answers tell
// whether they miss the member too.
func (v *View) addConfirmers(targets []*entry, missed *entry, random *rand.Rand) []*entry {
	if missed.asked == nil {
		missed.asked = v.drawConfirmers(missed, random)
	}
	for _, vm := range missed.asked {
		if e, found := v.entries[vm]; found && e.member.State == core.MemberAlive {
			targets = addTarget(targets, e)
		}
	}
	return targets
}

func (v *View) drawConfirmers(missed *entry, random *rand.Rand) []core.VMID {
	asked := make([]core.VMID, 0, maxConfirmers)
	candidates := v.partners
	for _, index := range random.Perm(len(candidates)) {
		e := v.entries[candidates[index].vm]
		if e != missed && e.missed == 0 && len(asked) < maxConfirmers {
			asked = append(asked, e.member.VM)
		}
	}
	return asked
}

// addLost adds one suspect, leaving or gone member, which may have come back.
func (v *View) addLost(targets []*entry, random *rand.Rand) []*entry {
	var lost []*entry
	for _, e := range v.order {
		if e.member.State != core.MemberAlive && e.member.PeerAddress != "" {
			lost = append(lost, e)
		}
	}
	if len(lost) == 0 {
		return targets
	}
	return addTarget(targets, lost[random.IntN(len(lost))])
}

func addTarget(targets []*entry, e *entry) []*entry {
	if slices.Contains(targets, e) {
		return targets
	}
	return append(targets, e)
}

// refreshPartners drops partners that are no longer alive or have served their
// time and draws new ones at random.
func (v *View) refreshPartners(now time.Time, random *rand.Rand) {
	v.partners = slices.DeleteFunc(v.partners, func(p partner) bool {
		e, found := v.entries[p.vm]
		return !found || e.member.State != core.MemberAlive || !now.Before(p.until)
	})
	wanted := maxPartners
	if v.count() <= SmallFleetSize {
		wanted = SmallFleetSize
	}
	if len(v.partners) >= min(wanted, v.count()-1) {
		return
	}
	for _, index := range random.Perm(len(v.order)) {
		if len(v.partners) >= wanted {
			return
		}
		v.addPartner(now, v.order[index], random)
	}
}

// addPartner adds a member for a random time, so that partners are replaced
// one by one.
func (v *View) addPartner(now time.Time, e *entry, random *rand.Rand) {
	isPartner := slices.ContainsFunc(v.partners, func(p partner) bool { return p.vm == e.member.VM })
	if isPartner || e.member.State != core.MemberAlive || e.member.PeerAddress == "" {
		return
	}
	lifetime := PartnerLifetime/2 + time.Duration(random.Int64N(int64(PartnerLifetime)))
	v.partners = append(v.partners, partner{e.member.VM, now.Add(lifetime)})
}
