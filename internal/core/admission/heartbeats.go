package admission

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Intervals and limits of heartbeats sent outside the regular schedule.
const (
	minRequestInterval     = 250 * time.Millisecond // between requests for units while short of them or starting
	maxRequestInterval     = 8 * time.Second        // the same after many requests that brought no units
	loanRenewInterval      = 15 * time.Second       // between heartbeats that renew a loan
	unitReturnInterval     = 2 * time.Second        // the same while units are to be returned
	peersPerRequest        = 2                      // peers asked at once
	waitingInteractiveTTL  = 10 * time.Second       // for which a peer's last count of waiting interactive requests is used
	maxLenders             = 16                     // peers from which a process borrows
	maxMembersAskedAtStart = 32                     // members up to which a started process targets all of them
)

// heartbeatSchedule is when a process next sends heartbeats outside the regular
// schedule.
type heartbeatSchedule struct {
	nextAt     time.Time
	interval   time.Duration
	ownerIndex int // index into owners of the last one asked
	lastUsable int // usable units at the last request
}

// HeartbeatTargets returns the peers to which a heartbeat must be sent now,
// outside the regular schedule: owners while the process is short of units,
// lenders whose loans must be renewed or that get units back, and after a start
// all members of a small fleet.
func (s *Share) HeartbeatTargets(need Need, now time.Time) []core.VMID {
	usable := s.UsableUnits(now)
	targets := s.dueRenewals(need, usable, now)
	short := need.Demand > usable
	if !short && !s.needsStartConfirmation() {
		s.schedule.nextAt, s.schedule.interval = time.Time{}, 0
		return targets
	}
	if now.Before(s.schedule.nextAt) {
		return targets
	}
	s.backOffRequests(usable, now)
	if s.needsStartConfirmation() {
		targets = append(targets, s.unconfirmedMembers()...)
	}
	if short {
		targets = append(targets, s.nextOwners()...)
	}
	if short && need.Interactive > 0 {
		targets = append(targets, s.largestBorrowers()...)
	}
	return targets
}

// backOffRequests doubles the interval, unless units arrived since the last
// request.
func (s *Share) backOffRequests(usable int, now time.Time) {
	if usable > s.schedule.lastUsable {
		s.schedule.interval = 0
	}
	s.schedule.lastUsable = usable
	s.schedule.interval = min(max(minRequestInterval, 2*s.schedule.interval), maxRequestInterval)
	s.schedule.nextAt = now.Add(s.schedule.interval)
}

// needsStartConfirmation reports whether the process needs the confirmation of
// all members to use its part before PeerTimeout has passed.
func (s *Share) needsStartConfirmation() bool {
	return s.starting && s.settledRank != s.currentRank && s.options.Roster.MemberCount() <= maxMembersAskedAtStart
}

// unconfirmedMembers returns the members that have not confirmed this process's
// start.
func (s *Share) unconfirmedMembers() []core.VMID {
	var targets []core.VMID
	for _, vm := range s.options.Roster.members {
		if a := s.accounts[vm]; vm != s.options.Self && (a == nil || !a.startConfirmed) {
			targets = append(targets, vm)
		}
	}
	return targets
}

// nextOwners returns the next owners to ask for units, in turn.
func (s *Share) nextOwners() []core.VMID {
	if s.lenderCount() >= maxLenders {
		return nil
	}
	if s.schedule.ownerIndex == 0 {
		s.schedule.ownerIndex, _ = slices.BinarySearch(s.owners, s.options.Self)
	}
	var targets []core.VMID
	for range s.owners {
		s.schedule.ownerIndex++
		vm := s.owners[s.schedule.ownerIndex%len(s.owners)]
		if vm != s.options.Self {
			targets = append(targets, vm)
		}
		if len(targets) == peersPerRequest {
			break
		}
	}
	return targets
}

// largestBorrowers returns the peers that borrow most of this process's units.
func (s *Share) largestBorrowers() []core.VMID {
	var borrowers []core.VMID
	for vm, a := range s.accounts {
		if a.netBorrowed() < 0 {
			borrowers = append(borrowers, vm)
		}
	}
	slices.SortFunc(borrowers, func(a, b core.VMID) int {
		return cmp.Or(cmp.Compare(s.accounts[a].netBorrowed(), s.accounts[b].netBorrowed()), cmp.Compare(a, b))
	})
	return borrowers[:min(len(borrowers), peersPerRequest)]
}

func (s *Share) lenderCount() (lenders int) {
	for _, a := range s.accounts {
		if a.netBorrowed() > 0 {
			lenders++
		}
	}
	return lenders
}

// dueRenewals returns the lenders that are due for a heartbeat, and the
// borrowers that have not seen that their loans were recalled.
func (s *Share) dueRenewals(need Need, usable int, now time.Time) []core.VMID {
	var targets []core.VMID
	for vm, a := range s.accounts {
		interval := loanRenewInterval
		if (need.Demand < usable && a.netBorrowed() > 0) || a.given > a.givenConfirmed || a.revoked > 0 {
			interval = unitReturnInterval
		}
		if s.unitsToReturn(a, usable-need.Urgent, now) > 0 {
			interval = minRequestInterval
		}
		hasLoan := a.netBorrowed() > 0 || a.revoked > 0 || (a.given > a.givenConfirmed && a.received > 0)
		if hasLoan && now.Sub(a.lastSent) >= interval {
			targets = append(targets, vm)
		}
	}
	slices.Sort(targets)
	return targets
}

func (s *Share) isOwner(peer core.VMID) bool {
	_, found := slices.BinarySearch(s.owners, peer)
	return found
}
