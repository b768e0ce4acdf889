package app

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/errkind"
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
		s.tendLease(name)
	}
	s.coordinateAll()
	s.orderAll()
}

// tendLease carries out a lease's next action, and the one after it.
func (s *Service) tendLease(name string) {
	action := s.leases.Begin(name, s.ports.Clock.Now(), s.newAttemptID())
	switch action.Kind {
	case lease.ActionWait:
		return
	case lease.ActionRead:
		s.onLeaseLane(name, func(ctx context.Context) func(*lease.Tracker) { return s.readLease(ctx, name) })
	default:
		s.onLeaseLane(name, func(ctx context.Context) func(*lease.Tracker) { return s.commitLease(ctx, action) })
	}
}

// onLeaseLane runs a call whose result goes to the lease's tracker. A full
// lane counts as a failed read.
func (s *Service) onLeaseLane(name string, call func(context.Context) func(*lease.Tracker)) {
	err := s.lanes.leases.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		outcome := call(ctx)
		s.pool.MustEnqueue(core.ClassControl, func() { s.leaseEnded(name, outcome) })
	})
	if err != nil {
		s.leases.End(name, func(t *lease.Tracker) { t.CommitLost(s.ports.Clock.Now()) })
	}
}

func (s *Service) leaseEnded(name string, outcome func(*lease.Tracker)) {
	now := s.ports.Clock.Now()
	_, before := s.leases.Held(name, now)
	s.leases.End(name, outcome)
	holding, after := s.leases.Held(name, now)
	switch {
	case after && !before:
		s.metrics.LeasesAcquired.Inc(1)
		s.log.Info().Str("lease", name).Uint64("fence", uint64(holding.Fence)).Msg("lease acquired")
	case before && !after:
		s.metrics.LeasesLost.Inc(1)
		s.log.Info().Str("lease", name).Msg("lease lost")
	}
	s.tendLease(name)
}

func (s *Service) readLease(ctx context.Context, name string) func(*lease.Tracker) {
	leaseKey, fenceKey := lease.Keys(name)
	rows, err := s.read(ctx, leaseKey, fenceKey)
	now := s.ports.Clock.Now()
	if err != nil {
		return func(t *lease.Tracker) { t.ReadFailed(now) }
	}
	return func(t *lease.Tracker) { t.Observe(rows[0], rows[1], now) }
}

func (s *Service) commitLease(ctx context.Context, action lease.Action) func(*lease.Tracker) {
	s.metrics.TableCommits.Inc(1)
	result, err := s.ports.Tables.Commit(ctx, action.Commit)
	now := s.ports.Clock.Now()
	switch {
	case err == nil:
		return func(t *lease.Tracker) { t.Committed(result, now) }
	case errkind.Is(err, errkind.StoreUnavailable):
		return func(t *lease.Tracker) { t.CommitRefused(now) }
	default:
		return func(t *lease.Tracker) { t.CommitLost(now) }
	}
}
