package backendtest

import (
	"context"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// EngineServer is one server of a fake Engine.
type EngineServer struct {
	options EngineOptions

	// mu guards all fields below.
	mu      lockrank.Mutex
	faults  EngineFaults
	counts  EngineCounts
	report  core.EngineStatus
	more    map[core.AdapterName]core.WeightVersion // adapters beside the report's
	events  []core.CacheEvent                       // event i has number i+1
	fence   core.Fence
	pending *core.Order // load that waits for FinishSwap
	held    bool        // loads wait for FinishSwap
	dead    bool
	streams map[string]*fakeStream
	changed chan struct{} // closed and replaced at every change
}

func newEngineServer(options EngineOptions) *EngineServer {
	return &EngineServer{
		options: options, mu: lockrank.New(lockrank.RankOutside),
		report:  core.EngineStatus{Model: options.Model, Adapter: options.Adapter, Version: options.Version},
		more:    make(map[core.AdapterName]core.WeightVersion),
		streams: make(map[string]*fakeStream), changed: make(chan struct{}),
	}
}

// version is what streams of an adapter start on. The lock is held.
func (s *EngineServer) version(adapter core.AdapterName) core.WeightVersion {
	if version, ok := s.more[adapter]; ok {
		return version
	}
	return s.report.Version
}

// WaitAdapter waits until new streams of an adapter start on the version.
func (s *EngineServer) WaitAdapter(ctx context.Context, adapter core.AdapterName, version core.WeightVersion) error {
	return s.waitUntil(ctx, func() bool {
		held, ok := s.more[adapter]
		return ok && held == version
	})
}

// update changes the state under the lock and wakes all who wait for it.
func (s *EngineServer) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces the fault orders.
func (s *EngineServer) SetFaults(faults EngineFaults) { s.update(func() { s.faults = faults }) }

// SetLoad sets the load that Status reports.
func (s *EngineServer) SetLoad(running, queued, queuedTokens int) {
	s.update(func() {
		s.report.RunningCount, s.report.QueuedCount, s.report.QueuedTokens = running, queued, queuedTokens
	})
}

// AddCacheEvents appends events for Status to report.
func (s *EngineServer) AddCacheEvents(events ...core.CacheEvent) {
	s.update(func() { s.events = append(s.events, events...) })
}

// HoldSwaps makes later loads wait for FinishSwap.
func (s *EngineServer) HoldSwaps() { s.update(func() { s.held = true }) }

// FinishSwap lets a load that waits take effect, and later ones at once.
func (s *EngineServer) FinishSwap() {
	s.update(func() {
		s.held = false
		if s.pending != nil {
			s.load(*s.pending)
		}
	})
}

// Crash loses all streams; the server refuses everything until Revive.
func (s *EngineServer) Crash() { s.update(s.crash) }

// Revive ends the state after a crash.
func (s *EngineServer) Revive() { s.update(func() { s.dead = false }) }

// Counts returns what the server has done.
func (s *EngineServer) Counts() EngineCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// WaitVersion waits until new streams start on the version.
func (s *EngineServer) WaitVersion(ctx context.Context, version core.WeightVersion) error {
	return s.waitUntil(ctx, func() bool { return s.report.Version == version })
}

// WaitLoaded waits until no load is going on, whether it took effect or not.
func (s *EngineServer) WaitLoaded(ctx context.Context) error {
	return s.waitUntil(ctx, func() bool { return s.pending == nil })
}

// WaitStreams waits until the server has accepted so many streams.
func (s *EngineServer) WaitStreams(ctx context.Context, count int) error {
	return s.waitUntil(ctx, func() bool { return s.counts.Streams >= count })
}

func (s *EngineServer) waitUntil(ctx context.Context, holds func() bool) error {
	for {
		s.mu.Lock()
		ok, changed := holds(), s.changed
		s.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return contextError(ctx, core.VM{})
		}
	}
}

// enter applies the fault orders that hold for every call.
func (s *EngineServer) enter(ctx context.Context, server core.VM) error {
	if ctx.Err() != nil {
		return contextError(ctx, server)
	}
	if err := s.waitUntil(ctx, func() bool { return !s.faults.Freeze }); err != nil {
		return err
	}
	s.mu.Lock()
	dead, millis := s.dead, s.faults.DelayMillis
	s.mu.Unlock()
	if dead {
		return refusedBy(server)
	}
	return delay(ctx, server, millis)
}

// crash is called with the lock held.
func (s *EngineServer) crash() {
	s.counts.Crashes++
	s.dead = true
	s.pending = nil
	s.report.Loading = 0
	for _, stream := range s.streams {
		stream.gone = true
	}
	clear(s.streams)
	clear(s.more)
}

func (s *EngineServer) status(id core.ServerID, cursor uint64) core.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.report
	status.Server = id
	if len(s.more) > 0 {
		status.Versions = []core.AdapterVersion{{Adapter: status.Adapter, Version: status.Version, Loading: status.Loading}}
	}
	for adapter, version := range s.more {
		status.Versions = append(status.Versions, core.AdapterVersion{Adapter: adapter, Version: version})
	}
	first := min(max(cursor, 1)-1, uint64(len(s.events)))
	status.CacheEvents = slices.Clone(s.events[first:])
	status.NextEvent = uint64(len(s.events)) + 1
	return status
}

func (s *EngineServer) order(server core.VM, order core.Order) (err error) {
	s.update(func() { err = s.obey(server, order) })
	return err
}

// obey is called with the lock held.
func (s *EngineServer) obey(server core.VM, order core.Order) error {
	switch {
	case s.faults.Refuse || s.dead:
		return refusedBy(server)
	case !s.options.IgnoresFencing && order.Fence < s.fence:
		return errkind.New(errkind.Fenced, "%s has seen fencing number %d", server.ID, s.fence)
	}
	if _, held := s.more[order.Adapter]; s.addsAdapter(order) && !held && len(s.more) >= s.options.MoreAdapters {
		return refusedBy(server)
	}
	s.fence = max(s.fence, order.Fence)
	s.counts.Orders++
	if order.Kind != core.OrderSetRole {
		if !s.addsAdapter(order) {
			s.report.Loading = order.Version
		}
		s.pending = &order
		if !s.held {
			s.load(order)
		}
	}
	if s.faults.DropOrderReply {
		s.faults.DropOrderReply = false
		return errkind.New(errkind.OutcomeUnknown, "reply of %s lost", server.ID)
	}
	return nil
}

// addsAdapter reports whether an order is for an adapter beside the report's.
func (s *EngineServer) addsAdapter(order core.Order) bool {
	return order.Kind == core.OrderLoadVersion && s.options.MoreAdapters > 0 && order.Adapter != s.report.Adapter
}

// load is called with the lock held.
func (s *EngineServer) load(order core.Order) {
	s.pending = nil
	s.report.Loading = 0
	if s.faults.FailNextSwap {
		s.faults.FailNextSwap = false
		return
	}
	s.counts.Swaps++
	if s.addsAdapter(order) {
		s.more[order.Adapter] = order.Version
		return
	}
	s.report.Version = order.Version
	if order.Kind == core.OrderLoadModel {
		s.report.Model, s.report.Adapter = order.Model, order.Adapter
	}
}
