package outlier

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Pool compares the servers that run the same work.
type Pool struct {
	policy  Policy
	servers []*Server
	ejected int
	away    int // unreachable servers
	sag     sag
	usual   medians // of long ago; zero until the first median
	swept   time.Time
	scratch []float64
}

// medians are a pool's medians over the servers with recent results.
type medians struct {
	success  float64
	perToken float64 // seconds
	ok       bool    // enough servers had results
}

// NewPool returns a pool without servers.
func NewPool(policy Policy) *Pool { return &Pool{policy: policy} }

// Add takes a server into the pool.
func (p *Pool) Add(server *Server) { p.servers = append(p.servers, server) }

// Remove takes a server out of the pool.
func (p *Pool) Remove(server *Server) {
	at := slices.Index(p.servers, server)
	if at < 0 {
		return
	}
	p.servers = slices.Delete(p.servers, at, at+1)
	if server.ejected {
		p.ejected--
	}
	if !server.unreachable.IsZero() {
		p.away--
	}
}

// Ejected returns the number of servers that are ejected.
func (p *Pool) Ejected() int { return p.ejected }

// Away returns the number of servers that cannot be reached.
func (p *Pool) Away() int { return p.away }

// Sagging reports whether the whole pool was slow or failing at the last Sweep.
func (p *Pool) Sagging() bool { return p.sag != sag{} }

// Ramp returns the time over which a returning server regains its weight.
func (p *Pool) Ramp() time.Duration { return p.policy.Ramp }

// Record takes in one result in constant time. It returns true when the server
// was ejected by it: only consecutive failures eject here, since a comparison
// with the peers needs Sweep.
func (p *Pool) Record(server *Server, result Result, now time.Time, random *rand.Rand) bool {
	switch result.Outcome {
	case Abandoned:
		return false
	case Killed:
		server.excusedUntil = now.Add(p.policy.RestartGrace)
		return false
	}
	if server.Ejected() {
		return false
	}
	server.add(result, now)
	if server.consecutive < p.policy.ConsecutiveFailures {
		return false
	}
	return p.eject(server, forFailing, now, random)
}

// Sweep ends the ejections that are due, looks for a sag and compares the
// servers with the pool's medians. It takes time linear in the pool and is
// called about once a second, apart from routing decisions.
func (p *Pool) Sweep(now time.Time, random *rand.Rand) {
	p.endEjections(now)
	current := p.medians(now)
	p.findSag(current, now)
	p.learnUsual(current, now)
	p.swept = now
	if !current.ok {
		return
	}
	for _, server := range p.servers {
		if server.Ejected() {
			continue
		}
		if why, found := p.outlier(server, current, now); found {
			p.eject(server, why, now, random)
		}
	}
}

func (p *Pool) endEjections(now time.Time) {
	for _, server := range p.servers {
		if !server.unreachable.IsZero() && now.Sub(server.unreachable) >= p.policy.Unreachable {
			p.Reachable(server, now)
		}
		switch {
		case server.ejected && !now.Before(server.until):
			p.restore(server, now)
		case !server.ejected:
			server.forgive(p.policy.Forgive, now)
		}
	}
}

func (p *Pool) restore(server *Server, now time.Time) {
	server.restore(now)
	p.ejected--
}

// eject takes a server out unless the pool sags in the same way or too many are
// out already.
func (p *Pool) eject(server *Server, why reason, now time.Time, random *rand.Rand) bool {
	if p.sag.covers(why) || p.ejected >= p.maxEjected() {
		return false
	}
	server.eject(&p.policy, why, now, random)
	p.ejected++
	return true
}

// maxEjected is the bound on ejected servers; one reachable server always stays.
func (p *Pool) maxEjected() int {
	reachable := len(p.servers) - p.away
	bound := int(math.Ceil(p.policy.MaxEjectedShare * float64(reachable)))
	return min(bound, reachable-1)
}

// outlier compares a server with its pool's medians.
func (p *Pool) outlier(server *Server, current medians, now time.Time) (why reason, found bool) {
	if server.results < p.policy.MinResults || now.Sub(server.lastResult) > p.policy.PeerWindow {
		return 0, false
	}
	if server.success < p.policy.SuccessFactor*current.success {
		return forFailing, true
	}
	slow := max(p.policy.LatencyFactor*current.perToken, p.policy.LatencyFloor.Seconds())
	return forSlowness, server.perToken > slow
}
