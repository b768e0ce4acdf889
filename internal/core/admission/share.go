package admission

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// ShareTiming says when a process stops trusting what it last heard. Borrowed
// must be below Gone, so that a borrower stops before its lender takes back.
type ShareTiming struct {
	Borrowed time.Duration // since the borrower sent a heartbeat that the lender answered
	Gone     time.Duration // since a peer was heard last, and from a change of members to a larger part
	Settle   time.Duration // from a start to the use of what a process never lends
}

const (
	// equalKeepDivisor: a process keeps one part in so many of its own part
	// where all own equal parts, since all have callers.
	equalKeepDivisor = 4
	// ownerKeepDivisor is the same where few own the limit, rounded up.
	ownerKeepDivisor = 8
	// startDivisor is the part of its own part that a started process uses
	// while an earlier run of it may have lent the rest. It is at most what is
	// never lent, also when the part was a little larger then.
	startDivisor = 8
)

// ShareOptions are what a share is made for.
type ShareOptions struct {
	Deployment core.DeploymentName
	Self       core.VMID
	Limit      int  // requests in flight in all processes
	Rollouts   bool // the deployment has rollouts: few processes hold its limit
	Timing     ShareTiming
	Roster     *Roster
	Epoch      *core.AccountEpoch // newest of this process; all its shares count it up
}

// Need is what a process could use of a limit.
type Need struct {
	Demand int // requests in flight and waiting
	People int // people's requests that wait
	Firm   int // requests in flight and people's that wait
}

// Share decides how much of one deployment's limit this process may use. Some
// or all processes own equal parts of it by the roster and lend what they do
// not need. A unit is usable in one place only: whoever gives it stops using it
// before the news is sent, and a part grows only when no one can still use a
// unit of it.
type Share struct {
	options  ShareOptions
	accounts map[core.VMID]*account

	version  uint64      // of the roster that current stands for
	members  []core.VMID // the same roster's
	current  standing    // by the present members
	settled  standing    // by which the process owns its part
	since    time.Time   // when current came
	starting bool        // nothing is settled yet
	owners   []core.VMID // processes that own a part, sorted
	asking   asking
}

// NewShare returns a share without accounts. In a process that runs for longer
// than Gone it owns its part at once.
func NewShare(options ShareOptions, now time.Time) *Share {
	s := &Share{options: options, accounts: make(map[core.VMID]*account), starting: true}
	roster := options.Roster
	if now.Sub(roster.started) >= options.Timing.Gone && len(roster.settled) > 0 {
		s.settled = standingOf(options.Deployment, options.Self, roster.settled)
		s.starting = false
	}
	s.Tick(now)
	s.since = roster.changed
	s.settle(now)
	return s
}

// SetLimit changes the limit. Loans that the new part does not cover end.
func (s *Share) SetLimit(limit int, rollouts bool, now time.Time) {
	if limit == s.options.Limit && rollouts == s.options.Rollouts {
		return
	}
	s.options.Limit, s.options.Rollouts = limit, rollouts
	s.owners = s.ownersNow()
	s.Tick(now)
}

// Tick takes over the roster, ends what lapsed and adapts the own part: a
// smaller one at once, a larger one when no one can use its units any more.
func (s *Share) Tick(now time.Time) {
	if s.version != s.options.Roster.version {
		s.takeRoster(now)
	}
	s.expire(now)
	s.settle(now)
	if s.balance(now) < 0 {
		s.recall(now)
	}
}

func (s *Share) takeRoster(now time.Time) {
	before, roster := s.members, s.options.Roster
	s.version, s.members = roster.version, roster.members
	current := standingOf(s.options.Deployment, s.options.Self, s.members)
	if s.partOf(current) != s.partOf(s.current) {
		s.since = now
	}
	s.current = current
	s.owners = s.ownersNow()
	if s.starting {
		s.doubtCleared(before)
	}
}

// doubtCleared forgets who cleared this process when a member is gone: the
// others may still use its units, and did not know so when they answered.
func (s *Share) doubtCleared(before []core.VMID) {
	gone := func(vm core.VMID) bool {
		_, found := slices.BinarySearch(s.members, vm)
		return !found
	}
	if !slices.ContainsFunc(before, gone) {
		return
	}
	for _, a := range s.accounts {
		a.cleared = false
	}
}

func (s *Share) ownersNow() []core.VMID {
	members := s.options.Roster.members
	return holdersOf(s.options.Deployment, members, s.Holders())
}

// expire ends loans with peers that were silent for too long and forgets idle
// accounts.
func (s *Share) expire(now time.Time) {
	for vm, a := range s.accounts {
		if a.owed > 0 && !now.Before(a.owedUntil) {
			a.owed = 0
		}
		if now.Sub(a.heard) < s.options.Timing.Gone || a.owed > 0 {
			continue
		}
		switch {
		case a.given != 0 || a.received != 0:
			a.end(s.nextEpoch(), 0, now)
		case !s.starting && now.Sub(a.asked) >= s.options.Timing.Gone:
			delete(s.accounts, vm)
		}
	}
}

func (s *Share) settle(now time.Time) {
	if s.settled == s.current {
		return
	}
	smaller := !s.starting && s.partOf(s.current) <= s.partOf(s.settled)
	if smaller || now.Sub(s.since) >= s.options.Timing.Gone || (s.starting && s.clearedByAll()) {
		s.settled = s.current
		s.starting = false
	}
}

// clearedByAll reports whether every other member counts this process and uses
// nothing that an earlier run of it lent. A process that the list does not name
// knows too little to say so when it knows nobody else.
func (s *Share) clearedByAll() bool {
	roster := s.options.Roster
	if len(roster.listed) == 0 || (len(roster.members) == 1 && !roster.selfIn) {
		return false
	}
	for _, vm := range roster.members {
		if a := s.accounts[vm]; vm != s.options.Self && (a == nil || !a.cleared) {
			return false
		}
	}
	return true
}

// recall ends all loans to peers, whose units this process no longer owns.
func (s *Share) recall(now time.Time) {
	for _, a := range s.accounts {
		if lent := -a.net(); lent > 0 {
			a.end(s.nextEpoch(), a.owed+lent, now.Add(s.options.Timing.Gone))
		}
	}
}

func (s *Share) nextEpoch() core.AccountEpoch {
	s.options.Epoch.Reset++
	return *s.options.Epoch
}

func (s *Share) partOf(place standing) int { return place.part(s.options.Limit, s.options.Rollouts) }

// part is what this process owns and may use or lend.
func (s *Share) part(now time.Time) int {
	if !s.starting {
		return min(s.partOf(s.settled), s.partOf(s.current))
	}
	roster := s.options.Roster
	if len(roster.listed) == 0 || now.Sub(s.since) < s.options.Timing.Settle {
		return 0
	}
	return s.partOf(s.current) / startDivisor
}

// balance is what this process may use; negative when it lent more than it owns.
func (s *Share) balance(now time.Time) int {
	balance := s.part(now)
	for _, a := range s.accounts {
		balance -= a.owed
		net := a.net()
		if net < 0 || now.Sub(a.answered) < s.options.Timing.Borrowed {
			balance += net
		}
	}
	return balance
}

// Members returns the number of processes that share the limit.
func (s *Share) Members() int { return s.current.members }

// Holders returns the number of processes that own a part of the limit.
func (s *Share) Holders() int {
	return max(1, holders(s.options.Limit, s.options.Roster.Members(), s.options.Rollouts))
}

// Accounts returns the number of peers with which the process has an account.
func (s *Share) Accounts() int { return len(s.accounts) }

// Usable returns how many requests this process may have in flight; none when
// it owns and borrows nothing.
func (s *Share) Usable(now time.Time) int { return max(0, s.balance(now)) }

// Heard takes the news of a peer's heartbeat. Sent is zero, or the time of the
// heartbeat of this process that the peer answered.
func (s *Share) Heard(peer core.VMID, news core.LimitNews, sent, now time.Time) {
	a := s.account(peer)
	a.hear(news, now)
	if sent.IsZero() {
		a.reply = true
	} else {
		a.answeredTo(sent)
	}
	s.settle(now)
}

func (s *Share) account(peer core.VMID) *account {
	a := s.accounts[peer]
	if a == nil {
		a = &account{mine: s.nextEpoch()}
		s.accounts[peer] = a
	}
	return a
}

// News returns what a heartbeat to the peer carries, after it gave the peer
// what this process can spare: borrowed units that it does not need, or, when
// the peer is short, a part of its own. Answer tells that the heartbeat answers
// one of the peer's. False means that there are no news.
func (s *Share) News(peer core.VMID, need Need, answer bool, now time.Time) (core.LimitNews, bool) {
	usable := s.Usable(now)
	if !s.concerns(peer, need.Demand > usable) {
		return core.LimitNews{}, false
	}
	a := s.account(peer)
	a.reply = false
	given := 0
	if now.Sub(a.heard) < s.options.Timing.Borrowed {
		given = max(s.spare(a, usable-need.Demand, now), s.recalled(a, usable-need.Firm, now))
	}
	a.given += uint64(given)
	a.held += given
	a.people -= min(a.people, given)
	if !answer {
		a.asked, a.carried = now, a.given
	}
	return core.LimitNews{
		Deployment: s.options.Deployment, Epoch: a.mine, Seen: a.theirs, Given: a.given,
		Demand: uint32(need.Demand), Held: uint32(usable - given), People: uint32(need.People), Cleared: s.clears(now),
	}, true
}

// concerns reports whether a heartbeat to the peer carries news.
func (s *Share) concerns(peer core.VMID, short bool) bool {
	a := s.accounts[peer]
	if a != nil && (a.reply || a.open() || a.owed > 0) {
		return true
	}
	if s.asksAll() && (a == nil || !a.cleared) {
		return true
	}
	return short && s.owns(peer)
}

// clears reports whether this process uses no unit that another member owns and
// does not lend it.
func (s *Share) clears(now time.Time) bool {
	return s.balance(now) >= 0 && (s.starting || s.settled == s.current)
}
