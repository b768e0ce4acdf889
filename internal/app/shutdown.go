package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/tables"
)

func (s *Service) servesNewWork() bool {
	phase, _ := s.lifecycle.Phase()
	return phase == tables.PhaseServing
}

// Shutdown ends the process gracefully: it withdraws its address, waits until
// callers' kept answers have run out, finishes what is in flight, releases its
// leases and tells its peers. The context bounds the whole.
func (s *Service) Shutdown(ctx context.Context) {
	s.lifecycle.Advance(tables.PhaseLeaving)
	s.members.Leave()
	s.log.Info().Str("phase", "leaving").Msg("shutdown")
	s.heartbeat()
	waitFor(ctx, s.options.AddressKeep)
	s.releaseLeases(ctx)
	s.lifecycle.Advance(tables.PhaseDraining)
	s.log.Info().Str("phase", "draining").Msg("shutdown")
	select {
	case <-s.lifecycle.Idle():
	case <-ctx.Done():
	}
	s.Stop()
	s.log.Info().Str("phase", "stopped").Msg("shutdown")
}

// releasePoll separates the looks at whether all leases were released.
const releasePoll = 100 * time.Millisecond

// releaseLeases waits until every lease held here was released. Batches that
// are being fixed end first, because their commits need the lease.
func (s *Service) releaseLeases(ctx context.Context) {
	for {
		s.pool.MustEnqueue(core.ClassControl, s.tendLeases)
		if len(s.leases.Names()) == 0 || !waitFor(ctx, releasePoll) {
			return
		}
	}
}

func (s *Service) stopWork() {
	s.lanes.streams.Stop()
	s.lanes.calls.Stop()
	s.lanes.scoring.Stop()
	s.lanes.control.Stop()
	s.lanes.table.Stop()
	s.lanes.leases.Stop()
	s.lanes.peers.Stop()
	s.pool.Stop()
}

// Stop ends the process's work at once, without a graceful shutdown.
func (s *Service) Stop() {
	s.lifecycle.Advance(tables.PhaseStopped)
	s.stopWork()
}
