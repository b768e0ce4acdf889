package admission

import "time"

// spare decides how many of the free units go to the peer.
func (s *Share) spare(a *account, free int, now time.Time) int {
	if free <= 0 {
		return 0
	}
	if net := a.net(); net > 0 {
		return min(net, (free+1)/2)
	}
	short := a.demand - a.held
	if short <= 0 || s.starting {
		return 0
	}
	return max(0, min((free+1)/2, (short+1)/2, s.lendable(now)))
}

// recalled is what the peer gets back of its units for the people who wait
// there: of the free places, those that only rollouts here wait for.
func (s *Share) recalled(a *account, free int, now time.Time) int {
	if now.Sub(a.heard) >= recallTime {
		return 0
	}
	return max(0, min(a.net(), a.people, free))
}

// Withheld returns how many of the usable places no rollout may start in, since
// people wait for them at their owners. A fifth stays for rollouts, and all when
// people wait here too.
func (s *Share) Withheld(need Need, now time.Time) int {
	if need.People > 0 {
		return 0
	}
	withheld, usable := 0, s.Usable(now)
	for _, a := range s.accounts {
		if now.Sub(a.heard) < recallTime {
			withheld += max(0, min(a.net(), a.people))
		}
	}
	return min(withheld, usable-(usable+trainingDivisor-1)/trainingDivisor)
}

// lendable is what the process may still lend of its own part.
func (s *Share) lendable(now time.Time) int {
	lent := 0
	for _, a := range s.accounts {
		lent += a.owed + max(0, -a.net())
	}
	part := s.part(now)
	return part - s.kept(part) - lent
}

// kept is what the process never lends of its own part.
func (s *Share) kept(part int) int {
	switch {
	case s.Holders() == s.Members():
		return part / equalKeepDivisor
	case part < ownerKeepDivisor:
		return 0
	default:
		return (part + ownerKeepDivisor - 1) / ownerKeepDivisor
	}
}
