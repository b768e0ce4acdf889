package relay

import (
	"context"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/tables"
)

// leaveShare is the part of the grace in which callers may still come with the
// addresses that they keep.
const leaveShare = 0.6

// Shutdown ends the process gracefully within its grace: it withdraws its
// address and gives up its leases, serves those who still come, and finishes
// what is in flight.
func (s *Service) Shutdown(ctx context.Context) {
	s.lifecycle.Advance(tables.PhaseLeaving)
	s.log.Info().Str("phase", "leaving").Msg("shutdown")
	s.pool.MustEnqueue(core.ClassControl, s.announceNow)
	s.pool.MustEnqueue(core.ClassControl, s.tend)
	commits.Wait(ctx, time.Duration(float64(s.grace.Load())*leaveShare))
	s.lifecycle.Advance(tables.PhaseDraining)
	s.log.Info().Str("phase", "draining").Msg("shutdown")
	select {
	case <-s.lifecycle.Idle():
	case <-ctx.Done():
	}
}

func (s *Service) announceNow() {
	err := s.lanes.store.Go(func(ctx context.Context) { s.writeMember(ctx, time.Second) })
	if err != nil {
		s.log.Warn().Err(err).Msg("leaving is not announced")
	}
}

// Stop ends the process's work at once.
func (s *Service) Stop() {
	s.lifecycle.Advance(tables.PhaseStopped)
	s.lanes.calls.Stop()
	s.lanes.runs.Stop()
	s.lanes.scores.Stop()
	s.lanes.store.Stop()
	s.lanes.leases.Stop()
	s.lanes.orders.Stop()
	s.lanes.watch.Stop()
	s.pool.Stop()
	s.log.Info().Str("phase", "stopped").Msg("shutdown")
}
