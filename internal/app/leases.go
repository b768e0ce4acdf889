package app

import (
	"fescuespar/internal/app/leasing"
	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
)

// leaseTicksPerRenewal is how often leases are checked per renewal interval.
const leaseTicksPerRenewal = 8

// leaseMarginDivisor is the divisor of the lease term that gives the safety
// margin for clocks that run at different rates.
const leaseMarginDivisor = 10

func leaseSelf(self core.Member) lease.Self {
	return lease.Self{VM: self.VM, Incarnation: self.Incarnation, Address: self.PeerAddress}
}

func leaseTiming(options Options) lease.Timing {
	return lease.Timing{
		Term: options.LeaseTerm, RenewEvery: options.LeaseRenewInterval,
		Margin: options.LeaseTerm / leaseMarginDivisor, LongestOrder: options.OrderTimeout,
	}
}

// coordinatorLease returns the name of the lease on coordinating a deployment.
func coordinatorLease(deployment core.DeploymentName) string {
	return lease.CoordinatorLeaseName(deployment)
}

// ordersLease returns the name of the lease on giving orders to the engines of
// a model. All deployments that share the engines share it, since an engine
// knows only one highest fencing number.
func ordersLease(service string) string { return "orders/" + service }

// ownerLease returns the name of the lease whose holder is shown to operators
// as the deployment's owner.
func ownerLease(deployment *core.Deployment) string {
	if deployment.Rollout == nil {
		return ordersLease(deployment.Service)
	}
	return coordinatorLease(deployment.Name)
}

// candidateLeases returns the leases for which this process is a candidate.
func (s *Service) candidateLeases() map[string]bool {
	candidates := make(map[string]bool)
	if !s.isServing() {
		return candidates
	}
	live := s.members.Live()
	for _, deployment := range s.configuration.Current().Deployments {
		if !deployment.Coordinated() {
			continue
		}
		names := []string{ordersLease(deployment.Service)}
		if deployment.Rollout != nil {
			names = append(names, coordinatorLease(deployment.Name))
		}
		for _, name := range names {
			if !candidates[name] && lease.IsCandidate(name, s.options.Self.VM, live) {
				candidates[name] = true
			}
		}
	}
	return candidates
}

// maintainLeases follows the leases for which this process is a candidate and
// releases those that it no longer needs.
func (s *Service) maintainLeases() {
	candidates := s.candidateLeases()
	for name := range candidates {
		s.leases.Follow(name)
	}
	for _, name := range s.leases.Names() {
		if !candidates[name] && !s.leases.Forget(name) {
			s.leases.Release(name)
		}
		s.leaseRenewer.Advance(name)
	}
	s.coordinateDeployments()
	s.orderWeightsForModels()
}

// newLeaseRenewer returns the component that acquires and renews this process's
// leases.
func (s *Service) newLeaseRenewer() *leasing.Manager {
	return &leasing.Manager{
		Leases: s.leases, Pool: s.pool, Lane: s.lanes.leases, Committer: &s.committer, Clock: s.ports.Clock,
		CallTimeout: controlTimeout, NewAttempt: s.newAttemptID,
		OnAcquired: func(name string, holding lease.Holding) {
			s.metrics.LeasesAcquired.Inc(1)
			s.log.Info().Str("lease", name).Uint64("fence", uint64(holding.Fence)).Msg("lease acquired")
		},
		OnLost: func(name string) {
			s.metrics.LeasesLost.Inc(1)
			s.log.Info().Str("lease", name).Msg("lease lost")
		},
	}
}
