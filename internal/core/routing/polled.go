package routing

import (
	"time"

	"fescuespar/internal/core"
)

// ApplyPolled tells which engines this process polls; a nil set stands for
// all. What an engine reported is forgotten once it is no longer polled: it
// then counts as holding any adapter at any version, and as loaded as the
// polled engines of its pool are on average. It takes time linear in the
// servers.
func (s *State) ApplyPolled(polled map[core.ServerID]bool) {
	for _, row := range s.rows {
		if row.vm.Kind != core.KindEngine {
			continue
		}
		unpolled := polled != nil && !polled[row.vm.ID]
		if unpolled == row.unpolled {
			continue
		}
		row.unpolled = unpolled
		if unpolled {
			s.forgetReport(row)
		}
		row.region.place(row)
	}
}

// forgetReport keeps what was learnt of the engine's cache, which has its own
// expiry.
func (s *State) forgetReport(row *server) {
	row.reported = false
	row.status = core.EngineStatus{}
	row.load.others, row.load.reported = 0, time.Time{}
	row.cursor = 0
	s.joinPool(row)
}

// loadOf returns the estimated tokens in flight on a server.
func (s *State) loadOf(row *server, peers float64, now time.Time) float64 {
	if row.unpolled {
		return float64(row.load.own.tokens) + row.pool.meanOthers()
	}
	return row.load.estimate(peers, s.policy.ReportLife, now)
}

// meanOthers returns the tokens of other processes' requests on an engine, as
// smoothed over the pool's reports.
func (p *pool) meanOthers() float64 {
	return max(0, p.reportedStreams-p.ownStreams) * p.tokensPerStream
}

// lag returns how many versions the server is behind the newest of an adapter;
// none when this process does not poll it.
func (r *server) lag(adapter core.AdapterName, version core.WeightVersion) uint64 {
	if r.unpolled {
		return 0
	}
	return r.pool.lag(adapter, version)
}
