package admission

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Times and bounds of heartbeats out of turn.
const (
	firstAskInterval = 250 * time.Millisecond // between questions while short, or starting
	lastAskInterval  = 8 * time.Second        // the same after many that brought nothing
	renewInterval    = 15 * time.Second       // between heartbeats that keep a loan
	returnInterval   = 2 * time.Second        // the same when units are to be returned
	askedAtOnce      = 2                      // holders asked together
	recallTime       = 10 * time.Second       // for it, people are believed to wait at a peer
	maxLenders       = 16                     // peers of which a process borrows
	maxAskedStarting = 32                     // members that a started process asks
)

// asking is when a process next sends heartbeats out of turn.
type asking struct {
	next     time.Time
	interval time.Duration
	turn     int // next holder to ask
	usable   int // at the last question
}

// Asks returns the peers that are to get a heartbeat now, out of turn: holders
// while the process is short, lenders whose trust must be renewed or who get
// units back, and after a start all members of a small fleet.
func (s *Share) Asks(need Need, now time.Time) []core.VMID {
	usable := s.Usable(now)
	asks := s.renewals(need, usable, now)
	short := need.Demand > usable
	if !short && !s.asksAll() {
		s.asking.next, s.asking.interval = time.Time{}, 0
		return asks
	}
	if now.Before(s.asking.next) {
		return asks
	}
	s.backOff(usable, now)
	if s.asksAll() {
		asks = append(asks, s.unclear()...)
	}
	if short {
		asks = append(asks, s.nextHolders()...)
	}
	if short && need.People > 0 {
		asks = append(asks, s.borrowers()...)
	}
	return asks
}

// backOff doubles the interval unless the last question brought units.
func (s *Share) backOff(usable int, now time.Time) {
	if usable > s.asking.usable {
		s.asking.interval = 0
	}
	s.asking.usable = usable
	s.asking.interval = min(max(firstAskInterval, 2*s.asking.interval), lastAskInterval)
	s.asking.next = now.Add(s.asking.interval)
}

// asksAll reports whether the process needs the word of all members to use its
// part before Gone has passed.
func (s *Share) asksAll() bool {
	return s.starting && s.settled != s.current && s.options.Roster.Members() <= maxAskedStarting
}

// unclear returns the members that have not cleared this process yet.
func (s *Share) unclear() []core.VMID {
	var asks []core.VMID
	for _, vm := range s.options.Roster.members {
		if a := s.accounts[vm]; vm != s.options.Self && (a == nil || !a.cleared) {
			asks = append(asks, vm)
		}
	}
	return asks
}

func (s *Share) nextHolders() []core.VMID {
	if s.lenders() >= maxLenders {
		return nil
	}
	if s.asking.turn == 0 {
		s.asking.turn, _ = slices.BinarySearch(s.owners, s.options.Self)
	}
	var asks []core.VMID
	for range s.owners {
		s.asking.turn++
		vm := s.owners[s.asking.turn%len(s.owners)]
		if vm != s.options.Self {
			asks = append(asks, vm)
		}
		if len(asks) == askedAtOnce {
			break
		}
	}
	return asks
}

// borrowers returns the peers that have most of this process's units.
func (s *Share) borrowers() []core.VMID {
	var lent []core.VMID
	for vm, a := range s.accounts {
		if a.net() < 0 {
			lent = append(lent, vm)
		}
	}
	slices.SortFunc(lent, func(a, b core.VMID) int {
		return cmp.Or(cmp.Compare(s.accounts[a].net(), s.accounts[b].net()), cmp.Compare(a, b))
	})
	return lent[:min(len(lent), askedAtOnce)]
}

func (s *Share) lenders() (lenders int) {
	for _, a := range s.accounts {
		if a.net() > 0 {
			lenders++
		}
	}
	return lenders
}

// renewals returns the lenders that are due, and the borrowers that have not
// seen that their loans were called back.
func (s *Share) renewals(need Need, usable int, now time.Time) []core.VMID {
	var asks []core.VMID
	for vm, a := range s.accounts {
		interval := renewInterval
		if (need.Demand < usable && a.net() > 0) || a.given > a.arrived || a.owed > 0 {
			interval = returnInterval
		}
		if s.recalled(a, usable-need.Firm, now) > 0 {
			interval = firstAskInterval
		}
		concerned := a.net() > 0 || a.owed > 0 || (a.given > a.arrived && a.received > 0)
		if concerned && now.Sub(a.asked) >= interval {
			asks = append(asks, vm)
		}
	}
	slices.Sort(asks)
	return asks
}

func (s *Share) owns(peer core.VMID) bool {
	_, found := slices.BinarySearch(s.owners, peer)
	return found
}
