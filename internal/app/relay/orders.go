package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/weights"
	"fescuespar/internal/errkind"
)

// Rolling of weight versions. Engines load more slowly while many load (more than
// 2 of 9, more than 9 of 44), and steps take samples of the version before, so
// that a version is rolled over a part of the engines at a time.
const (
	loadsAtOnce  = 2               // in a small service
	loadsShare   = 0.2             // of the engines of a large one
	swapTarget   = 6 * time.Second // as the users' aim for new weights on all engines
	swapTimeout  = 5 * time.Second // several times the longest load
	loadTime     = 2 * time.Second // for which an engine that tells nothing is taken to load
	swapBackoff  = 500 * time.Millisecond
	swapBackMax  = 4 * time.Second
	orderTimeout = 500 * time.Millisecond
	reportEvery  = 150 * time.Millisecond // of engines that load
)

func rollPolicy(engines int) weights.Policy {
	return weights.Policy{
		Target: swapTarget, SwapTimeout: swapTimeout, BackoffBase: swapBackoff, BackoffMax: swapBackMax,
		AtOnce: max(loadsAtOnce, int(loadsShare*float64(engines))),
	}
}

// orderVersions orders the engines of a service to load the newest versions of
// their models.
func (s *Service) orderVersions(service string) {
	// A decision on an older view of the engines than the one before it would
	// order what they hold already.
	if !s.stored.BeginOrders(service) {
		return
	}
	defer s.stored.EndOrders(service)
	now := s.ports.Clock.Now()
	byModel, vms := s.enginesOf(service)
	parts := s.divide(service, byModel, vms)
	for model, engines := range byModel {
		engines = slices.DeleteFunc(engines, func(e weights.Engine) bool { return !slices.Contains(parts[model], e.Server) })
		name := core.DeploymentName(model)
		version := s.weights.Newest(name)
		if version == 0 {
			continue
		}
		policy := rollPolicy(len(vms))
		engines = s.withoutOtherLoads(model, engines, &policy, now)
		decision := s.weights.Roll(name, engines, version, policy, now)
		for _, id := range decision.Failed {
			s.metrics.OrdersFailed.Inc(1)
			s.log.Warn().Str("server", string(id)).Str("model", string(model)).Uint64("version", uint64(version)).Msg("load failed")
		}
		for _, id := range decision.Orders {
			s.orderVersion(service, vms[id], model, version)
		}
	}
}

// divide returns which engines of a service serve which of its models.
func (s *Service) divide(service string, byModel map[core.ModelName][]weights.Engine, vms map[core.ServerID]core.VM) map[core.ModelName][]core.ServerID {
	var demand map[core.ModelName]float64
	s.jobs.With(service, func(b *job.Book) { demand = b.Demand() })
	for model := range byModel {
		demand[model] += 0 // a model that nobody has asked for keeps the fewest engines
	}
	return s.weights.Divide(service, slices.Sorted(maps.Keys(vms)), demand)
}

// withoutOtherLoads leaves out the engines that load another model, which take
// no order, and counts them among those that may load at one time.
func (s *Service) withoutOtherLoads(model core.ModelName, engines []weights.Engine, policy *weights.Policy, now time.Time) []weights.Engine {
	for other, loading := range s.paces.Loads(now) {
		if other == model {
			continue
		}
		policy.AtOnce = max(1, policy.AtOnce-len(loading))
		engines = slices.DeleteFunc(engines, func(e weights.Engine) bool { return slices.Contains(loading, e.Server) })
	}
	return engines
}

// enginesOf returns the live engines of a service by the models that they hold.
func (s *Service) enginesOf(service string) (map[core.ModelName][]weights.Engine, map[core.ServerID]core.VM) {
	byModel := make(map[core.ModelName][]weights.Engine)
	vms := make(map[core.ServerID]core.VM)
	for _, view := range s.servers.EnginesOf(service) {
		if view.VM.State != core.VMLive {
			continue
		}
		vms[view.VM.ID] = view.VM
		for _, held := range view.Status.Versions {
			model := core.ModelName(held.Adapter)
			byModel[model] = append(byModel[model], weights.Engine{
				Server: view.VM.ID, Zone: view.VM.Zone, Region: view.VM.Region,
				Version: held.Version, Loading: held.Loading, InFlight: view.InFlight, Measured: view.Reported,
			})
		}
	}
	return byModel, vms
}

// orderVersion sends one order while the lease is trusted.
func (s *Service) orderVersion(service string, vm core.VM, model core.ModelName, version core.WeightVersion) {
	name := core.DeploymentName(model)
	lease := coordinatorLease(service)
	until, allowed := s.leases.StartOrder(lease, s.ports.Clock.Now())
	holding, held := s.leases.Held(lease, s.ports.Clock.Now())
	if !allowed || !held {
		s.weights.WithdrawOrder(name, vm.ID)
		return
	}
	order := core.Order{
		Kind: core.OrderLoadVersion, Model: model, Version: version, Mode: core.SwapRetain,
		Holder: s.options.Self.VM, Fence: holding.Fence,
	}
	// An order that is carried out late, after newer ones, would take the engine
	// back to older weights: the count of orders before it keeps it from that.
	accepted, known := s.registry.Orders(vm.ID)
	if !known {
		s.weights.WithdrawOrder(name, vm.ID)
		s.learnOrders(vm)
		return
	}
	order.Orders = &accepted
	err := s.lanes.orders.Go(func(ctx context.Context) {
		if !s.ports.Clock.Now().Before(until) {
			s.weights.WithdrawOrder(name, vm.ID)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		s.paces.BeginLoad(vm.ID, order.Model, s.ports.Clock.Now().Add(loadTime))
		err := s.ports.Backend.Order(ctx, vm, order)
		s.pool.MustEnqueue(core.ClassControl, func() { s.ordered(service, vm, order, err) })
	})
	if err != nil {
		s.weights.WithdrawOrder(name, vm.ID)
	}
}

// learnOrders asks an engine how many orders it has accepted, once at a time.
func (s *Service) learnOrders(vm core.VM) {
	if !s.servers.BeginAsk(vm.ID) {
		return
	}
	err := s.lanes.orders.Go(func(ctx context.Context) {
		defer s.servers.EndAsk(vm.ID)
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		report, err := s.ports.Backend.Report(ctx, vm)
		if err != nil {
			s.log.Info().Err(err).Str("server", string(vm.ID)).Msg("no report before the first order")
			return
		}
		s.registry.Ordered(vm.ID, report.Orders)
		s.pool.MustEnqueue(core.ClassControl, s.tendAll)
	})
	if err != nil {
		s.servers.EndAsk(vm.ID)
	}
}

func (s *Service) ordered(service string, vm core.VM, order core.Order, err error) {
	s.metrics.WeightOrders.Inc(1)
	line := s.log.Info()
	if err != nil {
		line = s.log.Warn().Err(err)
	}
	line.Str("server", string(vm.ID)).Str("model", string(order.Model)).Uint64("version", uint64(order.Version)).
		Uint64("fence", uint64(order.Fence)).Str("mode", string(order.Mode)).Msg("order given")
	switch {
	case err == nil:
		s.registry.Ordered(vm.ID, *order.Orders+1)
	case !errkind.Is(err, errkind.OutcomeUnknown):
		s.orderRefused(vm, order)
	}
	asking := reportAsk{service: service, vm: vm, order: order, unknown: err != nil, until: s.ports.Clock.Now().Add(swapTimeout)}
	s.timers.After(reportEvery, core.ClassControl, func() { s.askReport(asking) })
}

// orderRefused notes that an order will not be carried out.
func (s *Service) orderRefused(vm core.VM, order core.Order) {
	s.metrics.OrdersFailed.Inc(1)
	s.paces.EndLoad(vm.ID, order.Model, s.ports.Clock.Now())
	s.weights.OrderRefused(core.DeploymentName(order.Model), vm.ID, order.Version, rollPolicy(0), s.ports.Clock.Now())
}

// reportAsk is what is asked of an engine that was given an order.
type reportAsk struct {
	service string
	vm      core.VM
	order   core.Order
	unknown bool // whether the order was accepted is not known
	idle    int  // reports since then in which the engine did nothing
	until   time.Time
}

// idleReports is how many reports without a trace of an order show that it was
// not accepted: they lag by less than one interval.
const idleReports = 2

// askReport asks an engine that loads until its report shows the version, which
// its registration tells much later.
func (s *Service) askReport(asking reportAsk) {
	if !s.ports.Clock.Now().Before(asking.until) {
		return
	}
	err := s.lanes.orders.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		began := s.ports.Clock.Now()
		report, err := s.ports.Backend.Report(ctx, asking.vm)
		s.pool.MustEnqueue(core.ClassControl, func() {
			if err == nil && s.applyReport(&asking, &report, began) {
				return
			}
			s.timers.After(reportEvery, core.ClassControl, func() { s.askReport(asking) })
		})
	})
	if err != nil {
		s.log.Debug().Err(err).Str("server", string(asking.vm.ID)).Msg("report passed over")
	}
}

// applyReport takes in a report. It returns true when nothing more is to be
// asked: the version is loaded, or the order was not accepted.
func (s *Service) applyReport(asking *reportAsk, report *core.EngineReport, began time.Time) bool {
	order, vm := &asking.order, asking.vm
	s.registry.Ordered(vm.ID, report.Orders)
	status := statusOf(&core.ServerEntry{VM: vm, Models: report.Models})
	s.servers.ApplyStatus(status, began)
	held, _ := status.Holds(core.AdapterName(order.Model))
	if held.Version >= order.Version {
		s.paces.EndLoad(vm.ID, order.Model, s.ports.Clock.Now())
		s.log.Info().Str("server", string(vm.ID)).Str("model", string(order.Model)).
			Uint64("version", uint64(held.Version)).Msg(logs.VersionLoaded)
		s.tendService(asking.service)
		return true
	}
	accepted := report.Orders > *order.Orders
	if !asking.unknown || report.Busy || accepted {
		asking.idle = 0
		return false
	}
	if asking.idle++; asking.idle < idleReports {
		return false
	}
	s.log.Info().Str("server", string(vm.ID)).Uint64("version", uint64(order.Version)).Uint64("orders", report.Orders).
		Msg("order was not accepted")
	s.orderRefused(vm, *order)
	return true
}
