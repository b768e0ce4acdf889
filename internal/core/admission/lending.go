package admission

import "time"

// unitsToGive returns how many of the free units to give to the peer: to return
// what was borrowed from it, or to lend when it is short.
func (s *Share) unitsToGive(a *account, free int, now time.Time) int {
	if free <= 0 {
		return 0
	}
	if net := a.netBorrowed(); net > 0 {
		return min(net, (free+1)/2)
	}
	shortage := a.peerDemand - a.peerUsable
	if shortage <= 0 || s.starting {
		return 0
	}
	return max(0, min((free+1)/2, (shortage+1)/2, s.lendableUnits(now)))
}

// unitsToReturn returns how many of the peer's units to return for the
// interactive requests that wait at the peer, out of the free units, which only
// rollouts wait for here.
func (s *Share) unitsToReturn(a *account, free int, now time.Time) int {
	if now.Sub(a.lastHeard) >= waitingInteractiveTTL {
		return 0
	}
	return max(0, min(a.netBorrowed(), a.peerWaitingInteractive, free))
}

// WithheldFromRollouts returns how many usable units no rollout may start in
// because interactive requests wait for them at their owners. A fifth of the
// usable units stays available to rollouts, and all of them while interactive
// requests wait here too.
func (s *Share) WithheldFromRollouts(need Need, now time.Time) int {
	if need.Interactive > 0 {
		return 0
	}
	withheld, usable := 0, s.UsableUnits(now)
	for _, a := range s.accounts {
		if now.Sub(a.lastHeard) < waitingInteractiveTTL {
			withheld += max(0, min(a.netBorrowed(), a.peerWaitingInteractive))
		}
	}
	return min(withheld, usable-(usable+rolloutReserveDivisor-1)/rolloutReserveDivisor)
}

// lendableUnits returns how many units of its own part the process may still
// lend.
func (s *Share) lendableUnits(now time.Time) int {
	lent := 0
	for _, a := range s.accounts {
		lent += a.revoked + max(0, -a.netBorrowed())
	}
	owned := s.ownedUnits(now)
	return owned - s.reservedUnits(owned) - lent
}

// reservedUnits returns how many of its owned units the process never lends.
func (s *Share) reservedUnits(owned int) int {
	switch {
	case s.OwnerCount() == s.MemberCount():
		return owned / equalReserveDivisor
	case owned < ownerReserveDivisor:
		return 0
	default:
		return (owned + ownerReserveDivisor - 1) / ownerReserveDivisor
	}
}
