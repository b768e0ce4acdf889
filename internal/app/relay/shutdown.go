package relay

import (
	"context"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/core/drain"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// Shutdown ends the process gracefully until the context is done: it withdraws
// the address, releases the leases, still serves requests that end in time, since
// callers may use cached addresses, then refuses new ones and waits for those in
// flight. Those that outlast the context are canceled.
func (s *Service) Shutdown(ctx context.Context) {
	plan := s.planShutdown(ctx)
	s.lifecycle.Leave(plan)
	s.log.Info().Str("phase", "leaving").Msg("shutdown")
	s.pool.MustEnqueue(core.ClassControl, s.announceNow)
	s.pool.MustEnqueue(core.ClassControl, s.updateLeases)
	commits.Sleep(ctx, plan.Closed().Sub(s.ports.Clock.Now()))
	s.lifecycle.Advance(tables.PhaseDraining)
	s.log.Info().Str("phase", "draining").Msg("shutdown")
	select {
	case <-s.lifecycle.Idle():
		s.flushUsage(ctx)
	case <-ctx.Done():
		s.cancelRequests()
	}
}

// cancelRequests ends the requests in flight while their callers can still be answered.
func (s *Service) cancelRequests() {
	_, inFlight := s.lifecycle.Phase()
	s.log.Warn().Int("requests", inFlight).Msg("requests outlast the shutdown")
	s.slots.RefuseWaiting(errkind.New(errkind.ShuttingDown, "this entry process ends before a slot became free"))
	s.lanes.calls.Cancel()
	s.lanes.store.Cancel()
	s.lanes.crashes.Cancel()
	s.lanes.resumptions.Cancel()
	s.lanes.software.Cancel()
}

// planShutdown returns the plan of a shutdown that begins now and ends with the context.
func (s *Service) planShutdown(ctx context.Context) drain.Plan {
	now, grace := s.ports.Clock.Now(), time.Duration(s.graceNanos.Load())
	end := now.Add(grace)
	if deadline, bounded := ctx.Deadline(); bounded {
		end = now.Add(time.Until(deadline)) // the clock of the service is not that of the context
	}
	return drain.NewPlan(now, grace, end)
}

// beginForwarded counts a forwarded request in flight. Errors: ShuttingDown, also if the
// process may end before a caller's request. A scorer call may be cut: the next
// coordinator of its job sends it again.
func (s *Service) beginForwarded(class core.Class, matched *core.Route, arrived, deadline time.Time) error {
	if class == core.ClassRollout {
		return s.beginJobCall()
	}
	request := drain.Request{Arrived: arrived, Deadline: deadline, Longest: s.routeDurations.Longest(matched.Name, arrived)}
	if !s.lifecycle.BeginBounded(request) {
		return errkind.New(errkind.ShuttingDown, "this entry process is shutting down and may end before the request")
	}
	return nil
}

// announceNow publishes without delay that this process is shutting down.
func (s *Service) announceNow() {
	err := s.lanes.store.Go(func(ctx context.Context) { s.writeAnnouncement(ctx, time.Second) })
	if err != nil {
		s.log.Warn().Err(err).Msg("shutdown not announced")
	}
}

// Stop stops all lanes and workers without waiting for requests in flight.
func (s *Service) Stop() {
	s.lifecycle.Advance(tables.PhaseStopped)
	s.slots.RefuseWaiting(errkind.New(errkind.ShuttingDown, "this entry process has stopped"))
	s.lanes.resumptions.Stop()
	s.lanes.software.Cancel() // streams that have not begun wait for it
	s.lanes.calls.Stop()
	s.lanes.software.Stop()
	s.lanes.runs.Stop()
	s.lanes.scores.Stop()
	s.lanes.store.Stop()
	s.lanes.leases.Stop()
	s.lanes.orders.Stop()
	s.lanes.watch.Stop()
	s.lanes.published.Stop()
	s.lanes.crashes.Stop()
	s.lanes.duties.Stop()
	s.lanes.platform.Stop()
	s.pool.Stop()
	s.log.Info().Str("phase", "stopped").Msg("shutdown")
}
