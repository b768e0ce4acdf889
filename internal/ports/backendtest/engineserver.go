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
	mu            lockrank.Mutex
	faults        EngineFaults
	counts        EngineCounts
	report        core.EngineStatus
	extraAdapters map[core.AdapterName]core.WeightVersion // loaded adapters other than report.Adapter
	events        []core.CacheEvent                       // events[i] has number i+1
	fence         core.Fence                              // highest fencing number of an order
	pending       *core.Order                             // load that waits for FinishSwap
	holdsSwaps    bool                                    // loads wait for FinishSwap
	crashed       bool                                    // crashed and not revived
	streams       map[string]*fakeStream
	changed       chan struct{} // closed and replaced on every change
}

func newEngineServer(options EngineOptions) *EngineServer {
	return &EngineServer{
		options: options, mu: lockrank.New(lockrank.RankExternal),
		report:        core.EngineStatus{Model: options.Model, Adapter: options.Adapter, Version: options.Version},
		extraAdapters: make(map[core.AdapterName]core.WeightVersion),
		streams:       make(map[string]*fakeStream), changed: make(chan struct{}),
	}
}

// versionOf returns the version that an adapter's tokens are generated with. The
// caller holds mu.
func (s *EngineServer) versionOf(adapter core.AdapterName) core.WeightVersion {
	if version, ok := s.extraAdapters[adapter]; ok {
		return version
	}
	return s.report.Version
}

// WaitAdapter waits until new streams of an additional adapter use the version.
func (s *EngineServer) WaitAdapter(ctx context.Context, adapter core.AdapterName, version core.WeightVersion) error {
	return s.waitUntil(ctx, func() bool {
		loaded, ok := s.extraAdapters[adapter]
		return ok && loaded == version
	})
}

// update runs change under the lock and wakes all calls that wait for a change.
func (s *EngineServer) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFaults replaces the faults.
func (s *EngineServer) SetFaults(faults EngineFaults) { s.update(func() { s.faults = faults }) }

// SetLoad sets the load that Status reports.
func (s *EngineServer) SetLoad(running, queued, queuedTokens int) {
	s.update(func() {
		s.report.RunningCount, s.report.QueuedCount, s.report.QueuedTokens = running, queued, queuedTokens
	})
}

// AddCacheEvents appends events that Status reports.
func (s *EngineServer) AddCacheEvents(events ...core.CacheEvent) {
	s.update(func() { s.events = append(s.events, events...) })
}

// HoldSwaps makes later loads wait for FinishSwap.
func (s *EngineServer) HoldSwaps() { s.update(func() { s.holdsSwaps = true }) }

// FinishSwap completes a waiting load and makes later loads complete at once.
func (s *EngineServer) FinishSwap() {
	s.update(func() {
		s.holdsSwaps = false
		if s.pending != nil {
			s.completeLoad(*s.pending)
		}
	})
}

// Crash drops all streams. The server refuses all calls until Revive.
func (s *EngineServer) Crash() { s.update(s.crash) }

// Revive makes a crashed server accept calls again.
func (s *EngineServer) Revive() { s.update(func() { s.crashed = false }) }

// Counts returns the counts of the server's work so far.
func (s *EngineServer) Counts() EngineCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// WaitVersion waits until new streams use the version.
func (s *EngineServer) WaitVersion(ctx context.Context, version core.WeightVersion) error {
	return s.waitUntil(ctx, func() bool { return s.report.Version == version })
}

// WaitLoaded waits until no load is pending, whether it succeeded or not.
func (s *EngineServer) WaitLoaded(ctx context.Context) error {
	return s.waitUntil(ctx, func() bool { return s.pending == nil })
}

// WaitStreams waits until the server has accepted at least count streams.
func (s *EngineServer) WaitStreams(ctx context.Context, count int) error {
	return s.waitUntil(ctx, func() bool { return s.counts.Streams >= count })
}

// waitUntil waits until condition, which runs under the lock, returns true.
func (s *EngineServer) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		s.mu.Lock()
		ok, changed := condition(), s.changed
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

// applyCallFaults applies the faults that affect every call.
func (s *EngineServer) applyCallFaults(ctx context.Context, server core.VM) error {
	if ctx.Err() != nil {
		return contextError(ctx, server)
	}
	if err := s.waitUntil(ctx, func() bool { return !s.faults.Freeze }); err != nil {
		return err
	}
	s.mu.Lock()
	dead, millis := s.crashed, s.faults.DelayMillis
	s.mu.Unlock()
	if dead {
		return refusedError(server)
	}
	return delay(ctx, server, millis)
}

// crash drops all streams and additional adapters. The caller holds mu.
func (s *EngineServer) crash() {
	s.counts.Crashes++
	s.crashed = true
	s.pending = nil
	s.report.Loading = 0
	for _, stream := range s.streams {
		stream.removed = true
	}
	clear(s.streams)
	clear(s.extraAdapters)
}

func (s *EngineServer) status(id core.ServerID, cursor uint64) core.EngineStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.report
	status.Server = id
	if len(s.extraAdapters) > 0 {
		status.Versions = []core.AdapterVersion{{Adapter: status.Adapter, Version: status.Version, Loading: status.Loading}}
	}
	for adapter, version := range s.extraAdapters {
		status.Versions = append(status.Versions, core.AdapterVersion{Adapter: adapter, Version: version})
	}
	first := min(max(cursor, 1)-1, uint64(len(s.events)))
	status.CacheEvents = slices.Clone(s.events[first:])
	status.NextEvent = uint64(len(s.events)) + 1
	return status
}

func (s *EngineServer) order(server core.VM, order core.Order) (err error) {
	s.update(func() { err = s.executeOrder(server, order) })
	return err
}

// executeOrder executes an order. The caller holds mu.
func (s *EngineServer) executeOrder(server core.VM, order core.Order) error {
	switch {
	case s.faults.Refuse || s.crashed:
		return refusedError(server)
	case !s.options.IgnoresFencing && order.Fence < s.fence:
		return errkind.New(errkind.Fenced, "engine %s has accepted fencing number %d, got an order with a lower one", server.ID, s.fence)
	}
	if _, loaded := s.extraAdapters[order.Adapter]; s.addsAdapter(order) && !loaded && len(s.extraAdapters) >= s.options.ExtraAdapters {
		return refusedError(server)
	}
	s.fence = max(s.fence, order.Fence)
	s.counts.Orders++
	if order.Kind != core.OrderSetRole {
		if !s.addsAdapter(order) {
			s.report.Loading = order.Version
		}
		s.pending = &order
		if !s.holdsSwaps {
			s.completeLoad(order)
		}
	}
	if s.faults.DropOrderReply {
		s.faults.DropOrderReply = false
		return errkind.New(errkind.OutcomeUnknown, "engine %s did not answer an order", server.ID)
	}
	return nil
}

// addsAdapter reports whether an order is for an adapter other than
// report.Adapter.
func (s *EngineServer) addsAdapter(order core.Order) bool {
	return order.Kind == core.OrderLoadVersion && s.options.ExtraAdapters > 0 && order.Adapter != s.report.Adapter
}

// completeLoad completes a load, successfully or not. The caller holds mu.
func (s *EngineServer) completeLoad(order core.Order) {
	s.pending = nil
	s.report.Loading = 0
	if s.faults.FailNextSwap {
		s.faults.FailNextSwap = false
		return
	}
	s.counts.Swaps++
	if s.addsAdapter(order) {
		s.extraAdapters[order.Adapter] = order.Version
		return
	}
	s.report.Version = order.Version
	if order.Kind == core.OrderLoadModel {
		s.report.Model, s.report.Adapter = order.Model, order.Adapter
	}
}
