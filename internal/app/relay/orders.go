package relay

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/weights"
	"fescuespar/internal/errkind"
)

// Rollout of weight versions. A version is loaded by a part of the engines at a
// time: engines load more slowly while many load (more than 2 of 9, more than 9 of
// 44), and training steps accept samples of the previous version.
const (
	minConcurrentLoads  = 2               // engines of a small service
	concurrentLoadShare = 0.2             // of the engines of a large service
	rolloutTarget       = 6 * time.Second // the users' objective for a new version on all engines
	loadTimeout         = 5 * time.Second // several times the longest observed load
	assumedLoadTime     = 2 * time.Second // of a load whose end has not been reported
	loadRetryDelay      = 500 * time.Millisecond
	maxLoadRetryDelay   = 4 * time.Second
	orderTimeout        = 500 * time.Millisecond
	reportInterval      = 150 * time.Millisecond // between reports requested from a loading engine
)

// rolloutPolicy returns the rollout policy for a service of the given size.
func rolloutPolicy(engines int) weights.Policy {
	return weights.Policy{
		TargetTime: rolloutTarget, SwapTimeout: loadTimeout, BackoffBase: loadRetryDelay, BackoffMax: maxLoadRetryDelay,
		MaxLoading: max(minConcurrentLoads, int(math.Round(concurrentLoadShare*float64(engines)))), OneLoadPerEngine: true,
	}
}

// orderVersions orders the engines of a service to load the newest weight versions
// of their models.
func (s *Service) orderVersions(service string) {
	// One decision at a time: a decision on an older view of the engines than the
	// previous one would order versions that they have loaded.
	if !s.jobStorage.BeginOrders(service) {
		return
	}
	defer s.jobStorage.EndOrders(service)
	now := s.ports.Clock.Now()
	byModel, vms := s.enginesByModel(service)
	assigned := s.assignEngines(service, byModel, vms)
	for model, engines := range byModel {
		engines = slices.DeleteFunc(engines, func(e weights.Engine) bool { return !slices.Contains(assigned[model], e.Server) })
		name := core.DeploymentName(model)
		version := s.weights.Newest(name)
		if version == 0 {
			continue
		}
		policy := rolloutPolicy(len(vms))
		engines = s.excludeLoadingEngines(model, engines, &policy, now)
		decision := s.weights.SelectEngines(name, engines, version, policy, now)
		for _, id := range decision.FailedEngines {
			s.metrics.OrdersFailed.Inc(1)
			s.log.Warn().Str("server", string(id)).Str("model", string(model)).Uint64("version", uint64(version)).Msg("weight version not loaded in time")
		}
		for _, id := range decision.EnginesToOrder {
			s.sendLoadOrder(service, vms[id], model, version)
		}
	}
}

// assignEngines returns the engines of a service that serve each of its models.
func (s *Service) assignEngines(service string, byModel map[core.ModelName][]weights.Engine, vms map[core.ServerID]core.VM) map[core.ModelName][]core.ServerID {
	var demand map[core.ModelName]float64
	s.jobs.WithScheduler(service, func(scheduler *job.Scheduler) { demand = scheduler.Demand() })
	// Callers may name any model, but get engines for those that the service has.
	maps.DeleteFunc(demand, func(model core.ModelName, _ float64) bool { return byModel[model] == nil })
	for model := range byModel {
		demand[model] += 0 // a model without requests keeps the minimum of engines
	}
	return s.weights.AssignModels(service, slices.Sorted(maps.Keys(vms)), demand)
}

// excludeLoadingEngines removes the engines that are loading another model, which
// accept no orders, and subtracts them from the policy's concurrent loads.
func (s *Service) excludeLoadingEngines(model core.ModelName, engines []weights.Engine, policy *weights.Policy, now time.Time) []weights.Engine {
	for other, loading := range s.engineSpeeds.LoadingEngines(now) {
		if other == model {
			continue
		}
		policy.MaxLoading = max(1, policy.MaxLoading-len(loading))
		engines = slices.DeleteFunc(engines, func(e weights.Engine) bool { return slices.Contains(loading, e.Server) })
	}
	return engines
}

// enginesByModel returns the live engines of a service by the models that they have
// loaded.
func (s *Service) enginesByModel(service string) (map[core.ModelName][]weights.Engine, map[core.ServerID]core.VM) {
	byModel := make(map[core.ModelName][]weights.Engine)
	vms := make(map[core.ServerID]core.VM)
	for _, view := range s.servers.EnginesOf(service) {
		if view.VM.State != core.VMLive {
			continue
		}
		vms[view.VM.ID] = view.VM
		for _, loaded := range view.Status.Versions {
			model := core.ModelName(loaded.Adapter)
			byModel[model] = append(byModel[model], weights.Engine{
				Server: view.VM.ID, Zone: view.VM.Zone, Region: view.VM.Region,
				Version: loaded.Version, Loading: loaded.Loading, InFlight: view.OwnTokens, MeasuredAt: view.ReportedAt,
			})
		}
	}
	return byModel, vms
}

// sendLoadOrder sends one order if the coordinator lease is still valid.
func (s *Service) sendLoadOrder(service string, vm core.VM, model core.ModelName, version core.WeightVersion) {
	name := core.DeploymentName(model)
	leaseName := coordinatorLease(service)
	holding, allowed := s.startOrder(leaseName)
	if !allowed {
		s.weights.WithdrawOrder(name, vm.ID)
		return
	}
	order := core.Order{
		Kind: core.OrderLoadVersion, Model: model, Version: version, Mode: core.SwapRetain,
		Holder: s.options.Self.VM, Fence: holding.Fence,
	}
	// An order that arrives late, after newer ones, would load older weights. The
	// number of orders accepted before it makes the engine refuse it.
	accepted, known := s.registry.AcceptedOrders(vm.ID)
	if !known {
		s.weights.WithdrawOrder(name, vm.ID)
		s.fetchAcceptedOrders(vm)
		return
	}
	order.Orders = &accepted
	err := s.lanes.orders.Go(func(ctx context.Context) {
		// Again, as the order may have waited: the release of the lease counts from here.
		if current, allowed := s.startOrder(leaseName); !allowed || current.Fence != order.Fence {
			s.weights.WithdrawOrder(name, vm.ID)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		s.engineSpeeds.BeginLoad(vm.ID, order.Model, s.ports.Clock.Now().Add(assumedLoadTime))
		sent := s.ports.Clock.Now()
		reply, err := s.ports.Backend.Order(ctx, vm, order)
		s.noteServer(vm.ID, sent, reply.ServerNotice)
		s.pool.MustEnqueue(core.ClassControl, func() { s.handleOrderReply(service, vm, order, reply, err) })
	})
	if err != nil {
		s.weights.WithdrawOrder(name, vm.ID)
	}
}

// startOrder reports whether an order may be sent now, and under which holding. The lease
// is not released until the order has ended.
func (s *Service) startOrder(name string) (lease.Holding, bool) {
	now := s.ports.Clock.Now()
	_, allowed := s.leases.StartOrder(name, now)
	holding, held := s.leases.Holding(name, now)
	return holding, allowed && held
}

// fetchAcceptedOrders reads an engine's number of accepted orders, with one request
// per engine at a time.
func (s *Service) fetchAcceptedOrders(vm core.VM) {
	if !s.servers.BeginCheck(vm.ID) {
		return
	}
	err := s.lanes.orders.Go(func(ctx context.Context) {
		defer s.servers.EndCheck(vm.ID)
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		sent := s.ports.Clock.Now()
		report, err := s.ports.Backend.Report(ctx, vm)
		s.noteServer(vm.ID, sent, report.ServerNotice)
		if err != nil {
			s.log.Info().Err(err).Str("server", string(vm.ID)).Msg("accepted orders not read; order postponed")
			return
		}
		s.registry.RecordAcceptedOrders(vm.ID, report.Orders)
		s.pool.MustEnqueue(core.ClassControl, s.coordinateServices)
	})
	if err != nil {
		s.servers.EndCheck(vm.ID)
	}
}

// handleOrderReply records the outcome of an order and begins to poll the engine's
// reports.
func (s *Service) handleOrderReply(service string, vm core.VM, order core.Order, reply core.OrderReply, err error) {
	s.metrics.WeightOrders.Inc(1)
	line := s.log.Info()
	if err != nil {
		line = s.log.Warn().Err(err)
	}
	line.Str("server", string(vm.ID)).Str("model", string(order.Model)).Uint64("version", uint64(order.Version)).
		Uint64("fence", uint64(order.Fence)).Str("mode", string(order.Mode)).Msg("order given")
	switch {
	case err == nil && reply.Accepted:
		s.registry.RecordAcceptedOrders(vm.ID, *order.Orders+1)
	case err == nil: // the engine holds the version; a report will show it
	case errkind.Is(err, errkind.ServerRefused):
		// The known number of accepted orders may be too high, which would make the
		// engine refuse every further order.
		s.registry.ForgetAcceptedOrders(vm.ID)
		s.recordOrderFailure(vm, order)
	case !errkind.Is(err, errkind.OutcomeUnknown):
		s.recordOrderFailure(vm, order)
	}
	poll := reportPoll{service: service, vm: vm, order: order, acceptanceUnknown: err != nil, deadline: s.ports.Clock.Now().Add(loadTimeout)}
	s.timers.After(reportInterval, core.ClassControl, func() { s.pollReport(poll) })
}

// recordOrderFailure records that an engine will not execute an order.
func (s *Service) recordOrderFailure(vm core.VM, order core.Order) {
	s.metrics.OrdersFailed.Inc(1)
	s.engineSpeeds.EndLoad(vm.ID, order.Model, s.ports.Clock.Now())
	s.weights.OrderRefused(core.DeploymentName(order.Model), vm.ID, order.Version, rolloutPolicy(0), s.ports.Clock.Now())
}

// reportPoll is the state of polling an engine's reports after an order.
type reportPoll struct {
	service           string
	vm                core.VM
	order             core.Order
	acceptanceUnknown bool // the order got no reply
	idleReports       int  // consecutive reports of an idle engine without the order
	deadline          time.Time
}

// Reports of an idle engine without an order after which the order was not accepted.
// Reports lag by less than one interval.
const (
	maxIdleReports = 2 // of an order without a reply
	// maxIdleReportsAfterReply applies to an order that the engine accepted by its
	// reply, which may have been a late copy of the reply to an earlier order.
	maxIdleReportsAfterReply = 6
)

// pollReport requests reports from a loading engine until one shows the version.
// The engine's registration shows it much later.
func (s *Service) pollReport(poll reportPoll) {
	if !s.ports.Clock.Now().Before(poll.deadline) {
		return
	}
	err := s.lanes.orders.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		began := s.ports.Clock.Now()
		report, err := s.ports.Backend.Report(ctx, poll.vm)
		s.noteServer(poll.vm.ID, began, report.ServerNotice)
		s.pool.MustEnqueue(core.ClassControl, func() {
			if err == nil && s.applyReport(&poll, &report, began) {
				return
			}
			s.timers.After(reportInterval, core.ClassControl, func() { s.pollReport(poll) })
		})
	})
	if err != nil {
		s.log.Debug().Err(err).Str("server", string(poll.vm.ID)).Msg("report skipped")
	}
}

// applyReport records an engine's report. It returns true when polling is over: the
// version is loaded, or the order was not accepted.
func (s *Service) applyReport(poll *reportPoll, report *core.EngineReport, began time.Time) bool {
	order, vm := &poll.order, poll.vm
	s.registry.RecordAcceptedOrders(vm.ID, report.Orders)
	status := engineStatus(&core.ServerEntry{VM: vm, Models: report.Models})
	s.servers.ApplyStatus(status, began)
	loaded, _ := status.Holds(core.AdapterName(order.Model))
	if loaded.Version >= order.Version {
		s.engineSpeeds.EndLoad(vm.ID, order.Model, s.ports.Clock.Now())
		s.log.Info().Str("server", string(vm.ID)).Str("model", string(order.Model)).
			Uint64("version", uint64(loaded.Version)).Msg(logs.VersionLoaded)
		s.coordinateService(poll.service)
		return true
	}
	accepted := report.Orders > *order.Orders
	if report.Busy || accepted {
		poll.idleReports = 0
		return false
	}
	limit := maxIdleReportsAfterReply
	if poll.acceptanceUnknown {
		limit = maxIdleReports
	}
	if poll.idleReports++; poll.idleReports < limit {
		return false
	}
	s.log.Info().Str("server", string(vm.ID)).Uint64("version", uint64(order.Version)).Uint64("orders", report.Orders).
		Msg("order not accepted")
	s.recordOrderFailure(vm, *order)
	return true
}
