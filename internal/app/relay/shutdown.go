package relay

import (
	"context"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/tables"
)

// leavingGraceShare is the share of the grace period in which the process still
// accepts requests: callers may use cached addresses.
const leavingGraceShare = 0.6

// Shutdown ends the process gracefully until the context is done: it withdraws
// the address, releases the leases, still serves requests for a share of the grace
// period, then refuses new ones and waits for those in flight.
func (s *Service) Shutdown(ctx context.Context) {
	s.lifecycle.Advance(tables.PhaseLeaving)
	s.log.Info().Str("phase", "leaving").Msg("shutdown")
	s.pool.MustEnqueue(core.ClassControl, s.announceNow)
	s.pool.MustEnqueue(core.ClassControl, s.updateLeases)
	commits.Sleep(ctx, time.Duration(float64(s.graceNanos.Load())*leavingGraceShare))
	s.lifecycle.Advance(tables.PhaseDraining)
	s.log.Info().Str("phase", "draining").Msg("shutdown")
	select {
	case <-s.lifecycle.Idle():
	case <-ctx.Done():
	}
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
	s.lanes.calls.Stop()
	s.lanes.runs.Stop()
	s.lanes.scores.Stop()
	s.lanes.store.Stop()
	s.lanes.leases.Stop()
	s.lanes.orders.Stop()
	s.lanes.watch.Stop()
	s.lanes.crashes.Stop()
	s.pool.Stop()
	s.log.Info().Str("phase", "stopped").Msg("shutdown")
}
