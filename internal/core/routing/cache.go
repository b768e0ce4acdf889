package routing

import (
	"math"
	"time"

	"fescuespar/internal/core"
)

// maxEventsPerReport bounds the cache events taken in from one report; the rest
// counts as lost.
const maxEventsPerReport = 4096

// learnEvents takes in the cache events of a report that was measured at a
// past time. Lost events lower the trust in what was learnt before them, since
// some of them may have been evictions; a cursor that went back means that the
// engine was started anew with an empty cache.
func (s *State) learnEvents(row *server, status *core.EngineStatus, measured time.Time) {
	if row.cursor > 0 && status.NextEvent < row.cursor {
		s.loseCache(row)
	}
	events := status.CacheEvents
	if len(events) > maxEventsPerReport {
		events = events[len(events)-maxEventsPerReport:]
	}
	if row.cursor > 0 && status.NextEvent > row.cursor {
		row.loseEvents(int(min(status.NextEvent-row.cursor, math.MaxInt32)) - len(events))
	}
	row.cursor = status.NextEvent
	for _, event := range events {
		if event.Evicted {
			row.cached = max(0, row.cached-1)
			s.prefixes.forget(event.PrefixHash, row, measured)
			continue
		}
		row.cached++
		s.prefixes.learn(event.PrefixHash, row, true, measured)
	}
}

// loseEvents lowers the trust in the server's entries. Half of the lost events
// are taken for evictions, as in a cache that is full, and each for as likely
// to hit any entry.
func (r *server) loseEvents(count int) {
	if count <= 0 {
		return
	}
	held := float64(max(1, r.cached))
	r.survival += math.Log(held / (held + float64(count)/2))
}

// loseCache drops all that was learnt of a server's cache.
func (s *State) loseCache(row *server) {
	s.epochs++
	row.epoch = s.epochs
	row.survival = 0
	row.cached = 0
}

// swapWeights drops the cached prefixes that new weights make useless: all of
// them when the engine holds one adapter, otherwise an equal share, since cache
// events do not name the adapter.
func (s *State) swapWeights(row *server, status *core.EngineStatus) {
	if len(status.Versions) <= 1 {
		if status.Version != row.status.Version || status.Adapter != row.status.Adapter {
			s.loseCache(row)
		}
		return
	}
	swapped := 0
	for _, held := range status.Versions {
		if before, ok := row.status.Holds(held.Adapter); ok && before.Version != held.Version {
			swapped++
		}
	}
	if swapped == len(status.Versions) {
		s.loseCache(row)
		return
	}
	row.survival += math.Log(1 - float64(swapped)/float64(len(status.Versions)))
}

// cachedTokens returns the tokens of a prompt that a server is believed to hold.
func (s *State) cachedTokens(row *server, prefix []uint64, now time.Time) float64 {
	if len(prefix) == 0 {
		return 0
	}
	if share := s.prefixes.believed(prefix[len(prefix)-1], row, now); share > 0 {
		return share * float64(len(prefix)*tokensPerBlock)
	}
	for i := checkpointsBelow(len(prefix)) - 1; i >= 0; i-- {
		if share := s.prefixes.believed(prefix[checkpoints[i]], row, now); share > 0 {
			return share * float64((checkpoints[i]+1)*tokensPerBlock)
		}
	}
	return 0
}

// learnDispatch notes that a server is about to hold a prompt's prefixes.
func (s *State) learnDispatch(row *server, prefix []uint64, now time.Time) {
	if len(prefix) == 0 {
		return
	}
	for _, block := range checkpoints[:checkpointsBelow(len(prefix))] {
		s.prefixes.learn(prefix[block], row, false, now)
	}
	s.prefixes.learn(prefix[len(prefix)-1], row, false, now)
}
