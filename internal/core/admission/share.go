package admission

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// ShareTiming holds the times after which a process no longer relies on what it
// received. LoanTimeout must be shorter than PeerTimeout, so that a borrower
// stops using units before the lender reclaims them.
type ShareTiming struct {
	LoanTimeout  time.Duration // validity of a loan, from sending the newest heartbeat that the lender answered
	PeerTimeout  time.Duration // silence after which a peer's loans end; also the delay from a change of members to a larger part
	StartupDelay time.Duration // delay from a start to using the units that a process never lends
}

const (
	// equalReserveDivisor: a process reserves one in equalReserveDivisor of its
	// units where all own equal parts, since all have callers.
	equalReserveDivisor = 4
	// ownerReserveDivisor is the same, rounded up, where only some own the
	// limit.
	ownerReserveDivisor = 8
	// startupDivisor: a started process uses one in startupDivisor of its units
	// while an earlier run of it may have lent the others. This is at most what
	// is reserved, even if the part was slightly larger during the earlier run.
	startupDivisor = 8
)

// ShareOptions configures a Share.
type ShareOptions struct {
	Deployment core.DeploymentName
	Self       core.VMID
	Limit      int  // requests in flight over all processes
	Rollouts   bool // the deployment has rollouts: few processes own its limit
	Timing     ShareTiming
	Roster     *Roster
	Epoch      *core.AccountEpoch // newest epoch of this process, incremented by all its shares
}

// Need is how many units of a limit a process could use.
type Need struct {
	Demand      int // requests in flight and waiting
	Interactive int // waiting interactive requests
	Urgent      int // requests in flight and waiting interactive requests
}

// Share computes how much of one deployment's limit this process may use. Some
// or all processes of the roster own equal parts of it and lend the units that
// they do not need. A unit allows one request in flight and is usable in one
// process only: a process that gives a unit stops using it before it sends the
// update, and a part grows only when no other process can still use the added
// units.
type Share struct {
	options  ShareOptions
	accounts map[core.VMID]*account

	rosterVersion uint64      // version of the roster that currentRank is for
	members       []core.VMID // of the same roster
	currentRank   memberRank  // by the current members
	settledRank   memberRank  // rank that determines the owned part
	rankChangedAt time.Time   // when currentRank last changed the part
	starting      bool        // no rank is settled yet
	owners        []core.VMID // processes that own a part, sorted
	schedule      heartbeatSchedule
}

// NewShare returns a share without accounts. In a process that has run for
// longer than PeerTimeout it owns its part at once.
func NewShare(options ShareOptions, now time.Time) *Share {
	s := &Share{options: options, accounts: make(map[core.VMID]*account), starting: true}
	roster := options.Roster
	if now.Sub(roster.started) >= options.Timing.PeerTimeout && len(roster.settledMembers) > 0 {
		s.settledRank = rankOf(options.Deployment, options.Self, roster.settledMembers)
		s.starting = false
	}
	s.Tick(now)
	s.rankChangedAt = roster.changedAt
	s.settleRank(now)
	return s
}

// SetLimit changes the limit and recalls the loans if the new part does not
// cover them.
func (s *Share) SetLimit(limit int, rollouts bool, now time.Time) {
	if limit == s.options.Limit && rollouts == s.options.Rollouts {
		return
	}
	s.options.Limit, s.options.Rollouts = limit, rollouts
	s.owners = s.computeOwners()
	s.Tick(now)
}

// Tick applies changes of the roster, ends expired loans and adjusts the owned
// part: a smaller part takes effect at once, a larger one when no other process
// can still use its units.
func (s *Share) Tick(now time.Time) {
	if s.rosterVersion != s.options.Roster.version {
		s.applyRoster(now)
	}
	s.expireAccounts(now)
	s.settleRank(now)
	if s.balance(now) < 0 {
		s.recallLoans(now)
	}
}

func (s *Share) applyRoster(now time.Time) {
	before, roster := s.members, s.options.Roster
	s.rosterVersion, s.members = roster.version, roster.members
	current := rankOf(s.options.Deployment, s.options.Self, s.members)
	if s.unitsAt(current) != s.unitsAt(s.currentRank) {
		s.rankChangedAt = now
	}
	s.currentRank = current
	s.owners = s.computeOwners()
	if s.starting {
		s.resetStartConfirmations(before)
	}
}

// resetStartConfirmations discards the confirmations of this process's start
// when a member was removed: the other members may still use that member's
// units, and did not know of its removal when they confirmed.
func (s *Share) resetStartConfirmations(before []core.VMID) {
	removed := func(vm core.VMID) bool {
		_, found := slices.BinarySearch(s.members, vm)
		return !found
	}
	if !slices.ContainsFunc(before, removed) {
		return
	}
	for _, a := range s.accounts {
		a.startConfirmed = false
	}
}

// computeOwners returns the owners among the current members, sorted by name.
func (s *Share) computeOwners() []core.VMID {
	members := s.options.Roster.members
	return ownersOf(s.options.Deployment, members, s.OwnerCount())
}

// expireAccounts ends loans with peers that were silent for PeerTimeout and deletes
// idle accounts.
func (s *Share) expireAccounts(now time.Time) {
	for vm, a := range s.accounts {
		if a.revoked > 0 && !now.Before(a.revokedUntil) {
			a.revoked = 0
		}
		if now.Sub(a.lastHeard) < s.options.Timing.PeerTimeout || a.revoked > 0 {
			continue
		}
		switch {
		case a.given != 0 || a.received != 0:
			a.endLoans(s.nextEpoch(), 0, now)
		case !s.starting && now.Sub(a.lastSent) >= s.options.Timing.PeerTimeout:
			delete(s.accounts, vm)
		}
	}
}

// settleRank settles the current rank when the part does not grow by it, or
// when no other process can still use the added units.
func (s *Share) settleRank(now time.Time) {
	if s.settledRank == s.currentRank {
		return
	}
	smaller := !s.starting && s.unitsAt(s.currentRank) <= s.unitsAt(s.settledRank)
	if smaller || now.Sub(s.rankChangedAt) >= s.options.Timing.PeerTimeout || (s.starting && s.startConfirmedByAll()) {
		s.settledRank = s.currentRank
		s.starting = false
	}
}

// startConfirmedByAll reports whether every other member counts this process as
// a member and uses none of the units that an earlier run of it lent. It is
// false for an unlisted process that knows no other process, which is too little
// to be sure.
func (s *Share) startConfirmedByAll() bool {
	roster := s.options.Roster
	if len(roster.listed) == 0 || (len(roster.members) == 1 && !roster.selfListed) {
		return false
	}
	for _, vm := range roster.members {
		if a := s.accounts[vm]; vm != s.options.Self && (a == nil || !a.startConfirmed) {
			return false
		}
	}
	return true
}

// recallLoans ends all loans to peers because this process no longer owns the
// lent units.
func (s *Share) recallLoans(now time.Time) {
	for _, a := range s.accounts {
		if lent := -a.netBorrowed(); lent > 0 {
			a.endLoans(s.nextEpoch(), a.revoked+lent, now.Add(s.options.Timing.PeerTimeout))
		}
	}
}

func (s *Share) nextEpoch() core.AccountEpoch {
	s.options.Epoch.Reset++
	return *s.options.Epoch
}

func (s *Share) unitsAt(rank memberRank) int { return rank.units(s.options.Limit, s.options.Rollouts) }

// ownedUnits returns how many units this process owns and may use or lend.
func (s *Share) ownedUnits(now time.Time) int {
	if !s.starting {
		return min(s.unitsAt(s.settledRank), s.unitsAt(s.currentRank))
	}
	roster := s.options.Roster
	if len(roster.listed) == 0 || now.Sub(s.rankChangedAt) < s.options.Timing.StartupDelay {
		return 0
	}
	return s.unitsAt(s.currentRank) / startupDivisor
}

// balance returns how many units this process may use. It is negative when more
// units are lent than owned.
func (s *Share) balance(now time.Time) int {
	balance := s.ownedUnits(now)
	for _, a := range s.accounts {
		balance -= a.revoked
		net := a.netBorrowed()
		if net < 0 || now.Sub(a.lastAnswered) < s.options.Timing.LoanTimeout {
			balance += net
		}
	}
	return balance
}

// MemberCount returns the number of processes that share the limit.
func (s *Share) MemberCount() int { return s.currentRank.members }

// OwnerCount returns the number of processes that own a part of the limit.
func (s *Share) OwnerCount() int {
	return max(1, ownerCount(s.options.Limit, s.options.Roster.MemberCount(), s.options.Rollouts))
}

// AccountCount returns the number of peers with an account.
func (s *Share) AccountCount() int { return len(s.accounts) }

// UsableUnits returns how many requests this process may have in flight. It is zero
// when the process neither owns nor borrows units.
func (s *Share) UsableUnits(now time.Time) int { return max(0, s.balance(now)) }

// ApplyUpdate applies the update of a peer's heartbeat. If the heartbeat is an
// answer, sent is the time at which this process sent the answered heartbeat;
// otherwise it is zero.
func (s *Share) ApplyUpdate(peer core.VMID, update core.LimitUpdate, sent, now time.Time) {
	a := s.accountOf(peer)
	a.applyUpdate(update, now)
	if sent.IsZero() {
		a.replyDue = true
	} else {
		a.recordAnswer(sent)
	}
	s.settleRank(now)
}

// accountOf returns the account with the peer, creating it if there is none.
func (s *Share) accountOf(peer core.VMID) *account {
	a := s.accounts[peer]
	if a == nil {
		a = &account{localEpoch: s.nextEpoch()}
		s.accounts[peer] = a
	}
	return a
}

// PrepareUpdate returns the update to send in a heartbeat to the peer, and false if
// there is none. It first gives the peer the units that this process can spare:
// borrowed units that it does not need, or own units when the peer is short.
// answer is true if the heartbeat answers one of the peer.
func (s *Share) PrepareUpdate(peer core.VMID, need Need, answer bool, now time.Time) (core.LimitUpdate, bool) {
	usable := s.UsableUnits(now)
	if !s.hasUpdateFor(peer, need.Demand > usable) {
		return core.LimitUpdate{}, false
	}
	a := s.accountOf(peer)
	a.replyDue = false
	given := 0
	if now.Sub(a.lastHeard) < s.options.Timing.LoanTimeout {
		given = max(s.unitsToGive(a, usable-need.Demand, now), s.unitsToReturn(a, usable-need.Urgent, now))
	}
	a.given += uint64(given)
	a.peerUsable += given
	a.peerWaitingInteractive -= min(a.peerWaitingInteractive, given)
	if !answer {
		a.lastSent, a.givenSent = now, a.given
	}
	return core.LimitUpdate{
		Deployment: s.options.Deployment, Epoch: a.localEpoch, Seen: a.peerEpoch, Lent: a.given,
		Demand: uint32(need.Demand), Held: uint32(usable - given), WaitingInteractive: uint32(need.Interactive), Cleared: s.confirmsStart(now),
	}, true
}

// hasUpdateFor reports whether a heartbeat to the peer carries an update.
func (s *Share) hasUpdateFor(peer core.VMID, short bool) bool {
	a := s.accounts[peer]
	if a != nil && (a.replyDue || a.isOpen() || a.revoked > 0) {
		return true
	}
	if s.needsStartConfirmation() && (a == nil || !a.startConfirmed) {
		return true
	}
	return short && s.isOwner(peer)
}

// confirmsStart reports whether this process uses no unit that another member
// owns and has not lent to it.
func (s *Share) confirmsStart(now time.Time) bool {
	return s.balance(now) >= 0 && (s.starting || s.settledRank == s.currentRank)
}
