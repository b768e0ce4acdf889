package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/polling"
)

// reportLag is the usual age of an engine's report when it is asked for it.
const reportLag = 250 * time.Millisecond

// hastenTime is how long after an order a service's engines are polled as often
// as possible.
const hastenTime = 2 * swapTarget

// pollServers asks the engines that are due for their reports, and every plain
// service that was unreachable whether it is back.
func (s *Service) pollServers() {
	for _, poll := range s.polls.Due(s.ports.Clock.Now()) {
		s.pollEngine(poll)
	}
	for _, vm := range s.servers.UnreachableOf(core.KindPlain) {
		s.askPlain(vm)
	}
}

func (s *Service) pollEngine(poll polling.Poll) {
	err := s.lanes.control.Go(func(ctx context.Context) {
		s.polls.Ended(poll.VM.ID, s.askEngine(ctx, poll))
	})
	if err != nil {
		s.polls.Ended(poll.VM.ID, 0)
	}
}

// askEngine takes in an engine's report and returns the cursor of its next
// cache event, zero when it gave none.
func (s *Service) askEngine(ctx context.Context, poll polling.Poll) uint64 {
	s.metrics.EnginePolls.Inc(1)
	next := uint64(0)
	err := s.ask(ctx, poll.VM.ID, func(ctx context.Context) error {
		asked := s.ports.Clock.Now()
		status, err := s.ports.Engine.Status(ctx, poll.VM, poll.Cursor)
		if err != nil {
			return err
		}
		status.Server = poll.VM.ID
		s.servers.ApplyStatus(status, asked.Add(-reportLag))
		next = status.NextEvent
		return nil
	})
	if err != nil {
		s.metrics.EnginePollFailures.Inc(1)
	}
	return next
}

// pollCoordinated has all engines polled of the services whose deployments this
// process coordinates or to whose engines it gives orders: weight orders and
// samples need the report of each.
func (s *Service) pollCoordinated(deployments []core.Deployment) {
	now := s.ports.Clock.Now()
	held := make(map[string]int)
	for i := range deployments {
		deployment := &deployments[i]
		if !deployment.Coordinated() {
			continue
		}
		for _, name := range []string{leaseName(deployment.Name), ordersLease(deployment.Service)} {
			if _, ok := s.leases.Held(name, now); ok {
				held[deployment.Service]++
			}
		}
	}
	if polled, changed := s.polls.Coordinate(held, now); changed {
		s.servers.ApplyPolled(polled)
	}
}
