package routing

import (
	"math"
	"time"

	"fescuespar/internal/core"
)

// maxEventsPerReport bounds the cache events applied from one report; older
// events of the report count as lost.
const maxEventsPerReport = 4096

// applyCacheEvents applies the cache events of a report measured at the given
// time. Lost events lower the survival probability of earlier entries, since
// some of them may have been evictions. An event cursor that moved backwards
// means that the engine restarted with an empty cache.
func (s *State) applyCacheEvents(srv *server, status *core.EngineStatus, measured time.Time) {
	if srv.nextEvent > 0 && status.NextEvent < srv.nextEvent {
		s.resetCache(srv)
	}
	events := status.CacheEvents
	if len(events) > maxEventsPerReport {
		events = events[len(events)-maxEventsPerReport:]
	}
	if srv.nextEvent > 0 && status.NextEvent > srv.nextEvent {
		srv.discountLostEvents(int(min(status.NextEvent-srv.nextEvent, math.MaxInt32)) - len(events))
	}
	srv.nextEvent = status.NextEvent
	for _, event := range events {
		if event.Evicted {
			srv.cachedCount = max(0, srv.cachedCount-1)
			s.prefixes.removeEvicted(event.PrefixHash, srv, measured)
			continue
		}
		srv.cachedCount++
		s.prefixes.record(event.PrefixHash, srv, true, measured)
	}
}

// discountLostEvents lowers the survival probability of the server's entries.
// It assumes that half of the lost events were evictions, as in a full cache,
// and that each eviction hit any entry with equal probability.
func (r *server) discountLostEvents(count int) {
	if count <= 0 {
		return
	}
	entries := float64(max(1, r.cachedCount))
	r.logSurvival += math.Log(entries / (entries + float64(count)/2))
}

// resetCache invalidates all prefix index entries of a server.
func (s *State) resetCache(srv *server) {
	s.lastCacheEpoch++
	srv.cacheEpoch = s.lastCacheEpoch
	srv.logSurvival = 0
	srv.cachedCount = 0
}

// invalidateChangedWeights discounts the cached prefixes that new weights
// invalidate: all of them when the engine holds one adapter, otherwise an equal
// share for each adapter, since cache events do not name the adapter.
func (s *State) invalidateChangedWeights(srv *server, status *core.EngineStatus) {
	if len(status.Versions) <= 1 {
		if status.Version != srv.status.Version || status.Adapter != srv.status.Adapter {
			s.resetCache(srv)
		}
		return
	}
	changed := 0
	for _, held := range status.Versions {
		if before, ok := srv.status.Holds(held.Adapter); ok && before.Version != held.Version {
			changed++
		}
	}
	if changed == len(status.Versions) {
		s.resetCache(srv)
		return
	}
	srv.logSurvival += math.Log(1 - float64(changed)/float64(len(status.Versions)))
}

// cachedTokens returns the expected number of a prompt's tokens in a server's
// cache.
func (s *State) cachedTokens(srv *server, prefix []uint64, now time.Time) float64 {
	if len(prefix) == 0 {
		return 0
	}
	if share := s.prefixes.hitProbability(prefix[len(prefix)-1], srv, now); share > 0 {
		return share * float64(len(prefix)*tokensPerBlock)
	}
	for i := checkpointCount(len(prefix)) - 1; i >= 0; i-- {
		if share := s.prefixes.hitProbability(prefix[checkpoints[i]], srv, now); share > 0 {
			return share * float64((checkpoints[i]+1)*tokensPerBlock)
		}
	}
	return 0
}

// recordDispatchedPrefixes adds a prompt's prefixes to the index for the server
// that the prompt is sent to.
func (s *State) recordDispatchedPrefixes(srv *server, prefix []uint64, now time.Time) {
	if len(prefix) == 0 {
		return
	}
	for _, block := range checkpoints[:checkpointCount(len(prefix))] {
		s.prefixes.record(prefix[block], srv, false, now)
	}
	s.prefixes.record(prefix[len(prefix)-1], srv, false, now)
}
