package app

import (
	"fescuespar/internal/app/tenure"
	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
)

// leaseTicksPerRenewal is how often in a renewal interval leases are looked at.
const leaseTicksPerRenewal = 8

// leaseMarginFraction is the part of the term kept as margin for clocks that
// run at different rates.
const leaseMarginFraction = 10

func leaseSelf(self core.Member) lease.Self {
	return lease.Self{VM: self.VM, Incarnation: self.Incarnation, Address: self.PeerAddress}
}

func leaseTiming(options Options) lease.Timing {
	return lease.Timing{
		Term: options.LeaseTerm, RenewEvery: options.LeaseRenewal,
		Margin: options.LeaseTerm / leaseMarginFraction, LongestOrder: options.OrderTimeout,
	}
}

// leaseName returns the name of the lease on coordinating a deployment.
func leaseName(deployment core.DeploymentName) string { return lease.Name(deployment) }

// ordersLease returns the name of the lease on giving orders to the engines of
// a model. It is one for all deployments that share them, since an engine knows
// one highest fencing number only.
func ordersLease(service string) string { return "orders/" + service }

// ownerLease returns the name of the lease whose holder operators see as a
// deployment's owner.
func ownerLease(deployment *core.Deployment) string {
	if deployment.Rollout == nil {
		return ordersLease(deployment.Service)
	}
	return leaseName(deployment.Name)
}

// wantedLeases returns the leases for which this process is a candidate.
func (s *Service) wantedLeases() map[string]bool {
	wanted := make(map[string]bool)
	if !s.servesNewWork() {
		return wanted
	}
	live := s.members.Live()
	for _, deployment := range s.configuration.InForce().Deployments {
		if !deployment.Coordinated() {
			continue
		}
		names := []string{ordersLease(deployment.Service)}
		if deployment.Rollout != nil {
			names = append(names, leaseName(deployment.Name))
		}
		for _, name := range names {
			if !wanted[name] && lease.IsCandidate(name, s.options.Self.VM, live) {
				wanted[name] = true
			}
		}
	}
	return wanted
}

// tendLeases follows the leases for which this process is a candidate and
// drops those that it no longer needs.
func (s *Service) tendLeases() {
	wanted := s.wantedLeases()
	for name := range wanted {
		s.leases.Follow(name)
	}
	for _, name := range s.leases.Names() {
		if !wanted[name] && !s.leases.Forget(name) {
			s.leases.Leave(name)
		}
		s.tenure.Tend(name)
	}
	s.coordinateAll()
	s.orderAll()
}

// newTenure returns what follows this process's leases.
func (s *Service) newTenure() *tenure.Keeper {
	return &tenure.Keeper{
		Leases: s.leases, Pool: s.pool, Lane: s.lanes.leases, Store: &s.committer, Clock: s.ports.Clock,
		Timeout: controlTimeout, NewAttempt: s.newAttemptID,
		Acquired: func(name string, holding lease.Holding) {
			s.metrics.LeasesAcquired.Inc(1)
			s.log.Info().Str("lease", name).Uint64("fence", uint64(holding.Fence)).Msg("lease acquired")
		},
		Lost: func(name string) {
			s.metrics.LeasesLost.Inc(1)
			s.log.Info().Str("lease", name).Msg("lease lost")
		},
	}
}
