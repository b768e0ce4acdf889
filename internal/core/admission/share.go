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
	Gone     time.Duration // since a peer was heard last
	Settle   time.Duration // from the first look at the members to a larger part
}

const (
	// lendDivisor: a process keeps one part in so many of its own part.
	lendDivisor = 4
	// rolloutsShare and rolloutsOf: of its own part in a deployment for people, a
	// process lends so many parts of so many to rollouts of another.
	rolloutsShare, rolloutsOf = 2, 5
	// unsettledDivisor is the part of a process that does not know the members yet.
	unsettledDivisor = 32
)

// account is what a process has agreed with one peer. The counters only grow
// within an epoch, so that lost, late and repeated news do no harm.
type account struct {
	mine     core.AccountEpoch // of this process's side
	theirs   core.AccountEpoch // of the peer's side
	given    uint64            // units that this process gave to the peer
	received uint64            // units that the peer gave to this process
	demand   Demand
	held     int
	heard    time.Time // when the peer's news came last
	answered time.Time // when the newest heartbeat that the peer answered was sent
	listed   bool      // the peer is in the platform's list
}

// net is what this process holds of the peer's part; negative when it lent.
func (a *account) net() int { return int(a.received) - int(a.given) }

// Share decides how much of one deployment's limit this process may use. Each
// process owns an equal part by the list of members and lends what it does not
// need. A unit is usable in one place only: whoever gives it stops using it
// before the news is sent.
type Share struct {
	self      core.VMID
	epoch     core.AccountEpoch // newest given to an account
	timing    ShareTiming
	limit     int
	class     core.Class  // of the deployment's callers
	listed    []core.VMID // entry VMs in the platform's list, sorted
	others    int         // listed ones but this process
	before    int         // of the others, those that sort before this process
	peers     map[core.VMID]*account
	members   int // processes that share the limit, this one included
	part      int // this process's own part
	wanted    int // its part by the present members
	wantedFor time.Time
}

// NewShare returns a share that knows no other process.
func NewShare(self core.VMID, incarnation core.Incarnation, limit int, timing ShareTiming, now time.Time) *Share {
	s := &Share{
		self: self, epoch: core.AccountEpoch{Incarnation: incarnation}, timing: timing,
		limit: limit, peers: make(map[core.VMID]*account),
	}
	s.wanted = -1
	s.Tick(now)
	return s
}

// SetClass says which class the deployment's callers have.
func (s *Share) SetClass(class core.Class) { s.class = class }

// SetLimit changes the limit; all loans end.
func (s *Share) SetLimit(limit int, now time.Time) {
	if limit == s.limit {
		return
	}
	s.limit = limit
	for _, a := range s.peers {
		s.reset(a)
	}
	s.Tick(now)
}

// reset ends all loans with a peer and makes the peer do so when it hears.
func (s *Share) reset(a *account) {
	s.epoch.Reset++
	a.mine = s.epoch
	a.given, a.received = 0, 0
}

// ApplyListed takes the entry VMs of the platform's list.
func (s *Share) ApplyListed(vms []core.VMID, now time.Time) {
	s.listed = append(s.listed[:0], vms...)
	slices.Sort(s.listed)
	at, found := slices.BinarySearch(s.listed, s.self)
	s.before = at
	s.others = len(s.listed)
	if found {
		s.others--
	}
	for vm, a := range s.peers {
		a.listed = s.isListed(vm)
	}
	s.Tick(now)
}

func (s *Share) isListed(vm core.VMID) bool {
	_, found := slices.BinarySearch(s.listed, vm)
	return found
}

// Tick forgets peers that were silent for too long and adapts the own part: a
// smaller one at once, a larger one when the members have stayed the same.
func (s *Share) Tick(now time.Time) {
	for vm, a := range s.peers {
		if now.Sub(a.heard) < s.timing.Gone {
			continue
		}
		if a.given != 0 || a.received != 0 {
			s.reset(a)
		}
		if !a.listed {
			delete(s.peers, vm)
		}
	}
	wanted := s.ownPart()
	if wanted != s.wanted {
		s.wanted = wanted
		s.wantedFor = now
	}
	settled := now.Sub(s.wantedFor) >= s.timing.Settle
	if wanted < s.part || settled {
		s.part = wanted
	}
}

// ownPart divides the limit by the members; the first in order get the rest.
func (s *Share) ownPart() int {
	members, before := 1+s.others, s.before
	for vm, a := range s.peers {
		if a.listed {
			continue
		}
		members++
		if vm < s.self {
			before++
		}
	}
	s.members = members
	part := s.limit / members
	if before < s.limit%members {
		part++
	}
	return part
}

// Members returns the number of processes that share the limit.
func (s *Share) Members() int { return s.members }

// Usable returns how many requests this process may have in flight. It is at
// least one, so that no process is useless to its callers.
func (s *Share) Usable(now time.Time) int {
	usable := s.part
	if usable == 0 {
		usable = s.limit / unsettledDivisor
	}
	for _, a := range s.peers {
		net := a.net()
		if net > 0 && now.Sub(a.answered) >= s.timing.Borrowed {
			continue
		}
		usable += net
	}
	return max(1, usable)
}

// Heard takes the news of a peer's heartbeat or answer.
func (s *Share) Heard(peer core.VMID, news core.LimitNews, now time.Time) {
	a := s.peers[peer]
	if a == nil {
		a = &account{theirs: news.Epoch, listed: s.isListed(peer)}
		s.reset(a)
		s.peers[peer] = a
	}
	if news.Epoch.Before(a.theirs) {
		return
	}
	if a.theirs.Before(news.Epoch) {
		a.theirs = news.Epoch
		a.given, a.received = 0, 0
	}
	a.heard = now
	a.demand, a.held = Demand{All: int(news.Demand), Rollouts: int(news.Rollouts)}, int(news.Held)
	if news.Seen == a.mine {
		a.received = max(a.received, news.Given)
	}
}

// Answered notes that a peer answered a heartbeat that was sent at the time.
func (s *Share) Answered(peer core.VMID, sent time.Time) {
	if a := s.peers[peer]; a != nil && sent.After(a.answered) {
		a.answered = sent
	}
}

// News returns what a heartbeat to the peer carries, after it gave the peer
// what this process can spare: borrowed units that it does not need, or, when
// the peer is short, a part of its own.
func (s *Share) News(deployment core.DeploymentName, peer core.VMID, demand Demand, now time.Time) core.LimitNews {
	usable := s.Usable(now)
	news := core.LimitNews{
		Deployment: deployment, Demand: uint32(demand.All), Rollouts: uint32(demand.Rollouts), Held: uint32(usable),
	}
	a := s.peers[peer]
	if a == nil {
		news.Epoch = s.epoch
		return news
	}
	news.Epoch, news.Seen, news.Given = a.mine, a.theirs, a.given
	if now.Sub(a.heard) >= s.timing.Borrowed {
		return news
	}
	given := s.spare(a, usable-demand.All)
	a.given += uint64(given)
	news.Held -= uint32(given)
	news.Given = a.given
	return news
}

// spare decides how many of the free units go to the peer.
func (s *Share) spare(a *account, free int) int {
	if free <= 0 {
		return 0
	}
	if net := a.net(); net > 0 {
		return min(net, (free+1)/2)
	}
	short := a.demand.All - a.held
	if short <= 0 {
		return 0
	}
	each := (2*short + len(s.peers) - 1) / len(s.peers)
	return max(0, min(free/2, each, s.lendable(a)))
}

// lendable is what the process may still lend the peer of its own part. People
// come one by one and wait for no heartbeat, so it keeps more when only rollouts
// are short.
func (s *Share) lendable(a *account) int {
	lent := 0
	for _, a := range s.peers {
		if net := a.net(); net < 0 {
			lent -= net
		}
	}
	people := a.demand.All - a.demand.Rollouts
	if s.class == core.ClassPeople && people <= a.held {
		return s.part*rolloutsShare/rolloutsOf - lent
	}
	return s.part - s.part/lendDivisor - lent
}
