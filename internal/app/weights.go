package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/weights"
	"fescuespar/internal/errkind"
)

const (
	// swapTarget is the time within which all engines shall serve a version.
	swapTarget = 6 * time.Second
	// swapTimeout is how long an engine may take to load a version before the
	// swap counts as failed.
	swapTimeout = 30 * time.Second
	// swapSilence is how long after an order a report that does not show its
	// load tells that the load has failed: longer than an order waits in its lane
	// and a report lags.
	swapSilence     = 5 * time.Second
	swapBackoffBase = time.Second
	swapBackoffMax  = 30 * time.Second
)

func weightKey(name core.DeploymentName) core.RowKey {
	return core.RowKey{Table: core.TableWeight, ID: string(name)}
}

// PublishWeights makes a version the newest of a deployment. An older one than
// the newest changes nothing.
func (s *Service) PublishWeights(ctx context.Context, trainer core.CallerName, name core.DeploymentName, version core.WeightVersion) error {
	if _, err := s.trainedBy(trainer, name); err != nil {
		return err
	}
	_, err := runOn(ctx, s.lanes.table, groupCommitTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.commitWeights(ctx, name, version)
	})
	if err != nil {
		return err
	}
	if s.learnWeights(name, version) {
		s.log.Info().Str("deployment", string(name)).Uint64("version", uint64(version)).Msg("new weight version")
	}
	return nil
}

func (s *Service) commitWeights(ctx context.Context, name core.DeploymentName, version core.WeightVersion) error {
	for ctx.Err() == nil {
		rows, err := s.read(ctx, weightKey(name))
		if err != nil {
			return err
		}
		if record, ok := rows[0].Record.(core.WeightRecord); ok && record.Version >= version {
			return nil
		}
		result, err := s.commit(ctx, core.Commit{
			Attempt:    s.newAttemptID(),
			Conditions: []core.Condition{{Key: weightKey(name), Version: rows[0].Version}},
			Writes:     []core.Write{{Key: weightKey(name), Record: core.WeightRecord{Version: version}}},
		})
		if err != nil || result.Applied {
			return err
		}
	}
	return errkind.Wrap(errkind.Timeout, ctx.Err(), "publishing weights")
}

// orderAll gives the orders to the engines of every model whose lease on orders
// this process holds, and forgets those given to others.
func (s *Service) orderAll() {
	config := s.configuration.InForce()
	for i := range config.Deployments {
		deployment := &config.Deployments[i]
		if !deployment.Coordinated() {
			continue
		}
		holding, held := s.leases.Held(ordersLease(deployment.Service), s.ports.Clock.Now())
		if !held {
			s.weights.StopRolling(deployment.Name)
			continue
		}
		s.orderWeights(deployment, holding)
	}
}

// orderWeights rolls the deployment's newest version, or the pinned one, over
// its engines.
func (s *Service) orderWeights(deployment *core.Deployment, holding lease.Holding) {
	version := s.weights.Newest(deployment.Name)
	if deployment.Versions.Pinned != 0 {
		version = deployment.Versions.Pinned
	}
	if version == 0 {
		return
	}
	engines, vms := s.enginesOf(deployment)
	decision := s.weights.Roll(deployment.Name, engines, version, weightPolicy(deployment), s.ports.Clock.Now())
	s.metrics.WeightSwapsFailed.Inc(int64(len(decision.Failed)))
	order := s.loadOrder(deployment, holding, version)
	if len(decision.Orders) > 0 {
		s.polls.Hasten(deployment.Service, s.ports.Clock.Now().Add(hastenTime))
	}
	for _, server := range decision.Orders {
		s.giveOrder(deployment, vms[server], order)
	}
}

// enginesOf returns the live engines that run a deployment's model and were
// asked for a report since this process coordinates the deployment: by an older
// one it would order what the engine holds already.
func (s *Service) enginesOf(deployment *core.Deployment) ([]weights.Engine, map[core.ServerID]core.VM) {
	since, coordinated := s.polls.CoordinatedSince(deployment.Service)
	if !coordinated {
		return nil, nil
	}
	var engines []weights.Engine
	vms := make(map[core.ServerID]core.VM)
	for _, view := range s.servers.EnginesOf(deployment.Service) {
		vm := view.VM
		if !runs(&vm, deployment) || view.Reported.Before(since.Add(-reportLag)) {
			continue
		}
		held, _ := view.Status.Holds(deployment.Adapter)
		engines = append(engines, weights.Engine{
			Server: vm.ID, Zone: vm.Zone, Region: vm.Region,
			Version: held.Version, Loading: held.Loading, InFlight: view.InFlight, Measured: view.Reported,
		})
		vms[vm.ID] = vm
	}
	return engines, vms
}

// servingIdleWeight is the idle weight of a deployment without a trainer: its
// capacity counts, and no sample grows stale.
const servingIdleWeight = 1.0

// runs reports whether a VM is a live engine of a deployment's model.
func runs(vm *core.VM, deployment *core.Deployment) bool {
	return vm.Kind == core.KindEngine && vm.Service == deployment.Service && vm.State == core.VMLive
}

func weightPolicy(deployment *core.Deployment) weights.Policy {
	policy := weights.Policy{
		Target: swapTarget, SwapTimeout: swapTimeout, Silence: swapSilence,
		BackoffBase: swapBackoffBase, BackoffMax: swapBackoffMax,
		IdleWeight: servingIdleWeight, Exact: deployment.Versions.Pinned != 0,
	}
	if deployment.Rollout != nil {
		policy.IdleWeight = deployment.Rollout.IdleWeight
	}
	return policy
}

func (s *Service) loadOrder(deployment *core.Deployment, holding lease.Holding, version core.WeightVersion) core.Order {
	return core.Order{
		Kind: core.OrderLoadVersion, Model: core.ModelName(deployment.Service),
		Adapter: deployment.Adapter, Version: version, Fence: holding.Fence,
	}
}

// giveOrder sends an order. One to an engine that ignores fencing numbers is
// sent only while the lease is trusted.
func (s *Service) giveOrder(deployment *core.Deployment, vm core.VM, order core.Order) {
	name := deployment.Name
	until, allowed := s.orderUntil(deployment)
	if !allowed {
		s.weights.WithdrawOrder(name, vm.ID)
		return
	}
	s.metrics.WeightOrders.Inc(1)
	err := s.lanes.control.Go(func(ctx context.Context) {
		if !until.IsZero() && !s.ports.Clock.Now().Before(until) {
			s.weights.WithdrawOrder(name, vm.ID)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		if err := s.ports.Engine.Order(ctx, vm, order); err != nil {
			s.metrics.WeightSwapsFailed.Inc(1)
			s.weights.OrderRefused(name, vm.ID, order.Version, weightPolicy(deployment), s.ports.Clock.Now())
		}
	})
	if err != nil {
		s.weights.WithdrawOrder(name, vm.ID)
	}
}

// orderUntil returns until when an order may be sent; zero sets no bound,
// since the engine itself refuses an order that comes too late.
func (s *Service) orderUntil(deployment *core.Deployment) (until time.Time, allowed bool) {
	if deployment.Fencing {
		return time.Time{}, true
	}
	return s.leases.StartOrder(ordersLease(deployment.Service), s.ports.Clock.Now())
}
