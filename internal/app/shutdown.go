package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/tables"
)

func (s *Service) isServing() bool {
	phase, _ := s.lifecycle.Phase()
	return phase == tables.PhaseServing
}

// Shutdown stops the process gracefully: it withdraws its address and informs
// its peers, waits until callers' cached addresses have expired, releases its
// leases and finishes the requests in flight. The context bounds the whole
// shutdown.
func (s *Service) Shutdown(ctx context.Context) {
	s.lifecycle.Advance(tables.PhaseLeaving)
	s.members.WithdrawAddress()
	s.log.Info().Str("phase", "leaving").Msg("shutdown")
	s.sendHeartbeatRound()
	waitFor(ctx, s.options.AddressCacheTime)
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

// releasePollInterval is the interval of checking whether all leases are
// released.
const releasePollInterval = 100 * time.Millisecond

// releaseLeases waits until every lease held here is released. Batches that are
// being committed end first, since their commits need the lease.
func (s *Service) releaseLeases(ctx context.Context) {
	for {
		s.pool.MustEnqueue(core.ClassControl, s.maintainLeases)
		if len(s.leases.Names()) == 0 || !waitFor(ctx, releasePollInterval) {
			return
		}
	}
}

func (s *Service) stopWork() {
	s.lanes.streams.Stop()
	s.lanes.plainCalls.Stop()
	s.lanes.scoring.Stop()
	s.lanes.control.Stop()
	s.lanes.table.Stop()
	s.lanes.leases.Stop()
	s.lanes.peers.Stop()
	s.pool.Stop()
}

// Stop stops the process's work at once, without a graceful shutdown.
func (s *Service) Stop() {
	s.lifecycle.Advance(tables.PhaseStopped)
	s.stopWork()
}
