package outlier

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Pool compares the servers that run the same kind of work.
type Pool struct {
	policy           Policy
	servers          []*Server
	ejectedCount     int
	unreachableCount int
	degraded         degradation
	baseline         medians // moving average of the medians; zero until the first median
	lastSweep        time.Time
	medianBuffer     []float64
}

// medians are a pool's medians over the servers with recent results.
type medians struct {
	success  float64
	perToken float64 // seconds
	valid    bool    // enough servers had recent results
}

// NewPool returns a pool without servers.
func NewPool(policy Policy) *Pool { return &Pool{policy: policy} }

// Add adds a server to the pool.
func (p *Pool) Add(server *Server) { p.servers = append(p.servers, server) }

// Remove removes a server from the pool.
func (p *Pool) Remove(server *Server) {
	at := slices.Index(p.servers, server)
	if at < 0 {
		return
	}
	p.servers = slices.Delete(p.servers, at, at+1)
	if server.ejected {
		p.ejectedCount--
	}
	if !server.lastUnreachable.IsZero() {
		p.unreachableCount--
	}
}

// Ejected returns the number of servers ejected as outliers.
func (p *Pool) Ejected() int { return p.ejectedCount }

// UnreachableCount returns the number of unreachable servers.
func (p *Pool) UnreachableCount() int { return p.unreachableCount }

// IsDegraded reports whether the whole pool was slow or failing at the last Sweep.
func (p *Pool) IsDegraded() bool { return p.degraded != degradation{} }

// RampUp returns the time over which a restored server regains its full weight.
func (p *Pool) RampUp() time.Duration { return p.policy.RampUp }

// Record records a result in constant time and returns true if it ejected the
// server. Only consecutive failures eject here, since a comparison with the
// peers needs Sweep.
func (p *Pool) Record(server *Server, result Result, now time.Time, random *rand.Rand) bool {
	switch result.Outcome {
	case Abandoned:
		return false
	case CrashedByRequest:
		server.graceUntil = now.Add(p.policy.RestartGrace)
		return false
	}
	if server.Ejected() {
		return false
	}
	server.addResult(result, now)
	if server.consecutiveFailures < p.policy.ConsecutiveFailures {
		return false
	}
	return p.eject(server, reasonFailing, now, random)
}

// Sweep ends the ejections that are due, detects degradation of the whole pool
// and compares the servers with the pool's medians. It takes time linear in the
// number of servers and is called about once a second, separately from routing
// decisions.
func (p *Pool) Sweep(now time.Time, random *rand.Rand) {
	p.endEjections(now)
	current := p.medians(now)
	p.detectDegradation(current, now)
	p.updateBaseline(current, now)
	p.lastSweep = now
	if !current.valid {
		return
	}
	for _, server := range p.servers {
		if server.Ejected() {
			continue
		}
		if cause, found := p.checkOutlier(server, current, now); found {
			p.eject(server, cause, now, random)
		}
	}
}

func (p *Pool) endEjections(now time.Time) {
	for _, server := range p.servers {
		if !server.lastUnreachable.IsZero() && now.Sub(server.lastUnreachable) >= p.policy.UnreachableRetry {
			p.MarkReachable(server, now)
		}
		switch {
		case server.ejected && !now.Before(server.ejectedUntil):
			p.restore(server, now)
		case !server.ejected:
			server.forgive(p.policy.ForgivenessPeriod, now)
		}
	}
}

func (p *Pool) restore(server *Server, now time.Time) {
	server.restore(now)
	p.ejectedCount--
}

// eject ejects a server unless the pool is degraded in the same way or too many
// servers are ejected already.
func (p *Pool) eject(server *Server, cause reason, now time.Time, random *rand.Rand) bool {
	if p.degraded.explains(cause) || p.ejectedCount >= p.maxEjected() {
		return false
	}
	server.eject(&p.policy, cause, now, random)
	p.ejectedCount++
	return true
}

// maxEjected returns the largest number of ejected servers; at least one
// reachable server always stays in service.
func (p *Pool) maxEjected() int {
	reachable := len(p.servers) - p.unreachableCount
	bound := int(math.Ceil(p.policy.MaxEjectedShare * float64(reachable)))
	return min(bound, reachable-1)
}

// checkOutlier compares a server with the pool's medians.
func (p *Pool) checkOutlier(server *Server, current medians, now time.Time) (cause reason, found bool) {
	if server.resultCount < p.policy.MinResults || now.Sub(server.lastResult) > p.policy.PeerWindow {
		return 0, false
	}
	if server.success < p.policy.SuccessFactor*current.success {
		return reasonFailing, true
	}
	slowThreshold := max(p.policy.LatencyFactor*current.perToken, p.policy.LatencyFloor.Seconds())
	return reasonSlow, server.perToken > slowThreshold
}
