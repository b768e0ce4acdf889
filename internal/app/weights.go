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
	// swapTarget is the time within which all engines should serve a new version.
	swapTarget = 6 * time.Second
	// swapTimeout is how long an engine may take to load a version before the swap
	// counts as failed.
	swapTimeout = 30 * time.Second
	// loadReportTimeout is how long after an order a report must show the load;
	// otherwise the load counts as failed. It exceeds the time that an order waits
	// in its lane plus the lag of a report.
	loadReportTimeout = 5 * time.Second
	swapBackoffBase   = time.Second
	swapBackoffMax    = 30 * time.Second
)

func weightRowKey(name core.DeploymentName) core.RowKey {
	return core.RowKey{Table: core.TableWeight, ID: string(name)}
}

// PublishWeights makes a version the newest of a deployment. A version older
// than the newest changes nothing.
func (s *Service) PublishWeights(ctx context.Context, trainer core.CallerName, name core.DeploymentName, version core.WeightVersion) error {
	if _, err := s.findDeploymentOfTrainer(trainer, name); err != nil {
		return err
	}
	_, err := callOnLane(ctx, s.lanes.table, groupCommitTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.commitWeights(ctx, name, version)
	})
	if err != nil {
		return err
	}
	if s.recordWeightVersion(name, version) {
		s.log.Info().Str("deployment", string(name)).Uint64("version", uint64(version)).Msg("weight version published")
	}
	return nil
}

func (s *Service) commitWeights(ctx context.Context, name core.DeploymentName, version core.WeightVersion) error {
	for ctx.Err() == nil {
		rows, err := s.readRows(ctx, weightRowKey(name))
		if err != nil {
			return err
		}
		if record, ok := rows[0].Record.(core.WeightRecord); ok && record.Version >= version {
			return nil
		}
		result, err := s.commit(ctx, core.Commit{
			Attempt:    s.newAttemptID(),
			Conditions: []core.Condition{{Key: weightRowKey(name), Version: rows[0].Version}},
			Writes:     []core.Write{{Key: weightRowKey(name), Record: core.WeightRecord{Version: version}}},
		})
		if err != nil || result.Applied {
			return err
		}
	}
	return errkind.Wrap(errkind.Timeout, ctx.Err(), "publishing the weight version timed out")
}

// orderWeightsForModels orders weights for the engines of every model whose
// orders lease this process holds, and drops the state of the others.
func (s *Service) orderWeightsForModels() {
	config := s.configuration.Current()
	for i := range config.Deployments {
		deployment := &config.Deployments[i]
		if !deployment.Coordinated() {
			continue
		}
		holding, held := s.leases.Holding(ordersLease(deployment.Service), s.ports.Clock.Now())
		if !held {
			s.weights.StopUpdate(deployment.Name)
			continue
		}
		s.orderWeightsForDeployment(deployment, holding)
	}
}

// orderWeightsForDeployment rolls out the deployment's newest version, or the
// pinned one, to its engines.
func (s *Service) orderWeightsForDeployment(deployment *core.Deployment, holding lease.Holding) {
	version := s.weights.Newest(deployment.Name)
	if deployment.Versions.Pinned != 0 {
		version = deployment.Versions.Pinned
	}
	if version == 0 {
		return
	}
	engines, vms := s.reportedEngines(deployment)
	decision := s.weights.SelectEngines(deployment.Name, engines, version, weightPolicy(deployment), s.ports.Clock.Now())
	s.metrics.WeightSwapsFailed.Inc(int64(len(decision.FailedEngines)))
	order := s.newLoadOrder(deployment, holding, version)
	if len(decision.EnginesToOrder) > 0 {
		s.polls.PollFasterUntil(deployment.Service, s.ports.Clock.Now().Add(fastPollTime))
	}
	for _, server := range decision.EnginesToOrder {
		s.sendOrder(deployment, vms[server], order)
	}
}

// reportedEngines returns the live engines of a deployment's model that have
// been polled since this process began to coordinate it. Older reports could
// cause orders for weights that the engine already holds.
func (s *Service) reportedEngines(deployment *core.Deployment) ([]weights.Engine, map[core.ServerID]core.VM) {
	since, coordinated := s.polls.CoordinatedSince(deployment.Service)
	if !coordinated {
		return nil, nil
	}
	var engines []weights.Engine
	vms := make(map[core.ServerID]core.VM)
	for _, view := range s.servers.EnginesOf(deployment.Service) {
		vm := view.VM
		if !isLiveEngineOf(&vm, deployment) || view.ReportedAt.Before(since.Add(-reportLag)) {
			continue
		}
		held, _ := view.Status.Holds(deployment.Adapter)
		engines = append(engines, weights.Engine{
			Server: vm.ID, Zone: vm.Zone, Region: vm.Region,
			Version: held.Version, Loading: held.Loading, InFlight: view.OwnTokens, MeasuredAt: view.ReportedAt,
		})
		vms[vm.ID] = vm
	}
	return engines, vms
}

// servingIdleWeight is the idle weight of a deployment without a trainer: only
// its capacity counts, since it has no samples that become stale.
const servingIdleWeight = 1.0

// isLiveEngineOf reports whether a VM is a live engine of a deployment's model.
func isLiveEngineOf(vm *core.VM, deployment *core.Deployment) bool {
	return vm.Kind == core.KindEngine && vm.Service == deployment.Service && vm.State == core.VMLive
}

func weightPolicy(deployment *core.Deployment) weights.Policy {
	policy := weights.Policy{
		TargetTime: swapTarget, SwapTimeout: swapTimeout, LoadReportTimeout: loadReportTimeout,
		BackoffBase: swapBackoffBase, BackoffMax: swapBackoffMax,
		IdleWeight: servingIdleWeight, ExactVersion: deployment.Versions.Pinned != 0,
	}
	if deployment.Rollout != nil {
		policy.IdleWeight = deployment.Rollout.IdleWeight
	}
	return policy
}

func (s *Service) newLoadOrder(deployment *core.Deployment, holding lease.Holding, version core.WeightVersion) core.Order {
	return core.Order{
		Kind: core.OrderLoadVersion, Model: core.ModelName(deployment.Service),
		Adapter: deployment.Adapter, Version: version, Fence: holding.Fence,
	}
}

// sendOrder sends an order to an engine. If the engine does not check fencing
// numbers, the order is sent only while the lease is certain to be held.
func (s *Service) sendOrder(deployment *core.Deployment, vm core.VM, order core.Order) {
	name := deployment.Name
	if !s.startOrder(deployment) {
		s.weights.WithdrawOrder(name, vm.ID)
		return
	}
	s.metrics.WeightOrders.Inc(1)
	err := s.lanes.control.Go(func(ctx context.Context) {
		// Again, as the order may have waited: the release of the lease counts from here.
		if !s.startOrder(deployment) {
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

// startOrder reports whether an order may be sent now. Engines that check fencing numbers
// refuse a late one themselves.
func (s *Service) startOrder(deployment *core.Deployment) bool {
	if deployment.Fencing {
		return true
	}
	_, allowed := s.leases.StartOrder(ordersLease(deployment.Service), s.ports.Clock.Now())
	return allowed
}
