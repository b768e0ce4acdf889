package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/errkind"
)

// orderTimeout is how long an engine may take to load a version before the
// order counts as failed.
const orderTimeout = 30 * time.Second

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

// orderWeights orders the deployment's engines to load its newest version.
func (s *Service) orderWeights(deployment *core.Deployment, holding lease.Holding) {
	version := s.weights.Newest(deployment.Name)
	if deployment.Versions.Pinned != 0 {
		version = deployment.Versions.Pinned
	}
	if version == 0 {
		return
	}
	now := s.ports.Clock.Now()
	for _, view := range s.servers.Views() {
		vm := view.VM
		if vm.Kind != core.KindEngine || vm.Service != deployment.Service || vm.State != core.VMLive ||
			view.Status.Version >= version || view.Status.Loading >= version {
			continue
		}
		if !deployment.Fencing {
			if _, allowed := s.leases.StartOrder(leaseName(deployment.Name), now); !allowed {
				continue
			}
		}
		if s.weights.BeginOrder(vm.ID, version, now, now.Add(orderTimeout)) {
			s.giveOrder(vm, s.loadOrder(deployment, holding, version))
		}
	}
}

func (s *Service) loadOrder(deployment *core.Deployment, holding lease.Holding, version core.WeightVersion) core.Order {
	return core.Order{
		Kind: core.OrderLoadVersion, Model: core.ModelName(deployment.Service),
		Adapter: deployment.Adapter, Version: version, Fence: holding.Fence,
	}
}

func (s *Service) giveOrder(vm core.VM, order core.Order) {
	s.metrics.WeightOrders.Inc(1)
	s.onLane(s.lanes.control, func(ctx context.Context) {
		if err := s.ports.Engine.Order(ctx, vm, order); err != nil {
			s.metrics.WeightSwapsFailed.Inc(1)
			s.weights.EndOrder(vm.ID, order.Version)
		}
	})
}
