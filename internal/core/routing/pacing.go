package routing

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/pace"
)

const (
	// maxPacedLoss is the share of a pool's work that pacing may move to the servers in
	// full use, which a pool that is half used can bear. Paced servers get more than their
	// pace says where most of a pool is paced, as after a restart of the whole service.
	maxPacedLoss = 0.4
	// pacedLossInterval is the interval at which a pool's loss is computed anew. Shares
	// change by less than a tenth in it.
	pacedLossInterval = 100 * time.Millisecond
)

// ColdStart is an instance of a server that stays slow for some time after its start.
type ColdStart struct {
	Server        core.ServerID
	StartedUnixMs int64
	Until         time.Time
}

// PaceChange is the begin or the end of a server's pace.
type PaceChange struct {
	Server core.ServerID
	Reason pace.Reason
	Began  bool          // false for the end
	Share  float64       // of its usual work, at the time of the change
	Lasted time.Duration // of an end
}

// pacedServers are the paced servers of a pool.
type pacedServers struct {
	servers    []*server
	loss       float64 // share of the pool's work that their paces move to other servers
	computedAt time.Time
}

// lossFactor returns the factor on what paced servers lose, so that the pool's loss is at
// most maxPacedLoss.
func (p *pool) lossFactor(now time.Time) float64 {
	if now.Sub(p.paced.computedAt) >= pacedLossInterval {
		p.paced.loss = 0
		for _, srv := range p.paced.servers {
			p.paced.loss += (1 - srv.pace.Share(now)) / float64(p.serverCount)
		}
		p.paced.computedAt = now
	}
	if p.paced.loss <= maxPacedLoss {
		return 1
	}
	return maxPacedLoss / p.paced.loss
}

// paceShare returns the share of its usual work that a server gets.
func (s *State) paceShare(srv *server, now time.Time) float64 {
	if !srv.pace.IsActive() {
		return 1
	}
	return 1 - (1-srv.pace.Share(now))*srv.pool.lossFactor(now)
}

// ApplyColdStarts begins the pace of servers that have started since the last call.
func (s *State) ApplyColdStarts(starts []ColdStart, now time.Time) {
	if !s.policy.Pace {
		return
	}
	for _, start := range starts {
		srv := s.serversByID[start.Server]
		if srv == nil || srv.pacedStart == start.StartedUnixMs || !now.Before(start.Until) {
			continue
		}
		srv.pacedStart = start.StartedUnixMs
		srv.pace.BeginCold(start.Until, now)
		s.paceBegan(srv, now)
	}
}

// paceReturn begins the pace of a server that is eligible again after an ejection or
// after it could not be reached.
func (s *State) paceReturn(srv *server, now time.Time) {
	if !s.policy.Pace || !srv.eligible() || srv.health.Weight(srv.pool.detector.RampUp(), now) == 1 {
		return
	}
	srv.pace.BeginReturn(now)
	s.paceBegan(srv, now)
}

func (s *State) paceBegan(srv *server, now time.Time) {
	srv.pool.addPaced(srv)
	s.paceChanges = append(s.paceChanges, PaceChange{Server: srv.vm.ID, Reason: srv.pace.Reason(), Began: true, Share: srv.pace.Share(now)})
}

// endPaces ends the paces that are due.
func (s *State) endPaces(now time.Time) {
	for _, pool := range s.poolsByCreation {
		for i := len(pool.paced.servers) - 1; i >= 0; i-- {
			srv := pool.paced.servers[i]
			change := PaceChange{Server: srv.vm.ID, Reason: srv.pace.Reason(), Share: srv.pace.Share(now), Lasted: now.Sub(srv.pace.Began())}
			srv.sweptShare = change.Share
			if srv.pace.EndIfDue(now) {
				srv.sweptShare = 0
				pool.removePaced(srv)
				s.paceChanges = append(s.paceChanges, change)
			}
		}
	}
}

// PaceChanges returns the paces that began and ended since the last call.
func (s *State) PaceChanges() []PaceChange {
	changes := s.paceChanges
	s.paceChanges = nil
	return changes
}

// PacedCount returns the number of paced servers.
func (s *State) PacedCount() int {
	count := 0
	for _, pool := range s.poolsByCreation {
		count += len(pool.paced.servers)
	}
	return count
}

// recordPace tells a server's pace how a request ended that took some work.
func (s *State) recordPace(srv *server, ended *Dispatch, result Result, work float64, now time.Time) {
	expected := srv.pool.speed.expected(work, ended.loadBefore+float64(ended.ExpectedTokens))
	switch {
	case result.Refused || result.failed():
		srv.pace.RecordSetback(now)
	case result.succeeded() && expected > 0:
		srv.pace.RecordAnswer(now.Sub(ended.Started).Seconds()/expected, now)
	}
}
