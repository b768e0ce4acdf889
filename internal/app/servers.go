package app

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/workers"
)

// acquire picks a server and counts the request as in flight on it. When every
// server was tried, those that failed before may be tried again.
func (s *Service) acquire(query routing.Query) (core.VM, error) {
	server, err := s.servers.Acquire(query)
	if errkind.Is(err, errkind.NoServer) && len(query.Exclude) > 0 {
		query.Exclude = nil
		return s.servers.Acquire(query)
	}
	return server, err
}

// pollVMs reads the platform's VM list. During an outage the last list stays in
// use.
func (s *Service) pollVMs() {
	s.onLane(s.lanes.table, func(ctx context.Context) {
		vms, err := s.ports.VMs.VMs(ctx)
		if err != nil {
			s.metrics.VMListFailures.Inc(1)
			return
		}
		s.servers.ApplyVMs(vms)
		s.members.ApplyVMs(vms)
	})
}

// onLane runs a short call under controlTimeout; a full lane drops it, since
// the next period repeats it.
func (s *Service) onLane(lane *workers.Lane, call workers.Call) {
	_ = lane.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		call(ctx)
	})
}

// pollStatus asks every engine for its report.
func (s *Service) pollStatus() {
	for _, view := range s.servers.Views() {
		if view.VM.Kind != core.KindEngine {
			continue
		}
		s.onLane(s.lanes.control, func(ctx context.Context) {
			status, err := s.ports.Engine.Status(ctx, view.VM, view.Status.NextEvent)
			if err != nil {
				return
			}
			status.Server = view.VM.ID
			s.servers.ApplyStatus(status)
		})
	}
}
