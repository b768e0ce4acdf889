package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/polling"
)

// reportLag is the typical age of an engine's report when it is returned.
const reportLag = 250 * time.Millisecond

// fastPollTime is how long after an order a service's engines are polled at the
// shortest interval.
const fastPollTime = 2 * swapTarget

// pollServers polls the engines that are due, and probes every plain service
// that was unreachable.
func (s *Service) pollServers() {
	for _, poll := range s.polls.Due(s.ports.Clock.Now()) {
		s.pollEngine(poll)
	}
	for _, vm := range s.servers.UnreachableOf(core.KindPlain) {
		s.checkPlainServer(vm)
	}
}

func (s *Service) pollEngine(poll polling.Poll) {
	err := s.lanes.control.Go(func(ctx context.Context) {
		s.polls.EndPoll(poll.VM.ID, s.fetchEngineStatus(ctx, poll))
	})
	if err != nil {
		s.polls.EndPoll(poll.VM.ID, 0)
	}
}

// fetchEngineStatus applies an engine's report and returns the cursor of its
// next cache event, or zero if it sent no report.
func (s *Service) fetchEngineStatus(ctx context.Context, poll polling.Poll) uint64 {
	s.metrics.EnginePolls.Inc(1)
	nextCursor := uint64(0)
	err := s.queryServer(ctx, poll.VM.ID, func(ctx context.Context) error {
		requestedAt := s.ports.Clock.Now()
		status, err := s.ports.Engine.Status(ctx, poll.VM, poll.Cursor)
		if err != nil {
			return err
		}
		status.Server = poll.VM.ID
		s.servers.ApplyStatus(status, requestedAt.Add(-reportLag))
		nextCursor = status.NextEvent
		return nil
	})
	if err != nil {
		s.metrics.EnginePollFailures.Inc(1)
	}
	return nextCursor
}

// updateCoordinatedPolls polls all engines of the services that this process
// coordinates or gives orders to, since weight orders and samples need a report
// from each.
func (s *Service) updateCoordinatedPolls(deployments []core.Deployment) {
	now := s.ports.Clock.Now()
	held := make(map[string]int)
	for i := range deployments {
		deployment := &deployments[i]
		if !deployment.Coordinated() {
			continue
		}
		for _, name := range []string{coordinatorLease(deployment.Name), ordersLease(deployment.Service)} {
			if _, ok := s.leases.Holding(name, now); ok {
				held[deployment.Service]++
			}
		}
	}
	if polled, changed := s.polls.SetCoordinated(held, now); changed {
		s.servers.ApplyPolled(polled)
	}
}
