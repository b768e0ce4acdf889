package routing

import (
	"time"

	"fescuespar/internal/core"
)

// SetPolledEngines sets which engines this process polls; nil means all of them. The
// report of an engine that is no longer polled is discarded: the engine then
// counts as holding any adapter, matches queries for any version only, and is
// assumed to have the average load of its pool's polled engines. It takes time
// linear in the number of servers.
func (s *State) SetPolledEngines(polled map[core.ServerID]bool) {
	for _, srv := range s.sortedServers {
		if srv.vm.Kind != core.KindEngine {
			continue
		}
		unpolled := polled != nil && !polled[srv.vm.ID]
		if unpolled == srv.unpolled {
			continue
		}
		srv.unpolled = unpolled
		if unpolled {
			s.discardReport(srv)
		}
		srv.region.reindex(srv)
	}
}

// discardReport clears an engine's report. It leaves the engine's prefix index
// entries, which expire on their own.
func (s *State) discardReport(srv *server) {
	srv.hasReport = false
	srv.status = core.EngineStatus{}
	srv.load.otherTokens, srv.load.reportedAt = 0, time.Time{}
	srv.nextEvent = 0
	s.assignPool(srv)
}

// loadTokens returns the estimated tokens in flight on a server.
func (s *State) loadTokens(srv *server, peerRatio float64, now time.Time) float64 {
	if srv.unpolled {
		return float64(srv.load.own.tokens) + srv.pool.meanOtherTokens()
	}
	return srv.load.estimateTokens(peerRatio, s.policy.MaxReportAge, now)
}

// meanOtherTokens returns the smoothed mean of the tokens of other processes'
// requests on one engine, from the pool's reports.
func (p *pool) meanOtherTokens() float64 {
	return max(0, p.reportedStreams-p.ownStreams) * p.tokensPerStream
}

// versionLag returns how many versions the server is behind the newest version
// of an adapter, zero for an engine that this process does not poll.
func (r *server) versionLag(adapter core.AdapterName, version core.WeightVersion) uint64 {
	if r.unpolled {
		return 0
	}
	return r.pool.versionLag(adapter, version)
}
