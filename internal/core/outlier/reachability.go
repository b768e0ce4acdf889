package outlier

import "time"

// MarkUnreachable takes a server out of service because no connection to it can be
// made. As this does not depend on a comparison with its peers, the limit on
// ejections does not apply. It returns true if the server was reachable before.
func (p *Pool) MarkUnreachable(server *Server, now time.Time) bool {
	previous := server.lastUnreachable
	server.lastUnreachable = now
	if !previous.IsZero() {
		return false
	}
	p.unreachableCount++
	if server.ejected {
		server.ejections = max(0, server.ejections-1)
		p.ejectedCount--
		server.ejected = false
	}
	return true
}

// MarkReachable puts an unreachable server back into service. It returns false for
// a server that was reachable before.
func (p *Pool) MarkReachable(server *Server, now time.Time) bool {
	if server.lastUnreachable.IsZero() {
		return false
	}
	server.lastUnreachable = time.Time{}
	server.restore(now)
	p.unreachableCount--
	return true
}

// MarkUnresponsive takes a server out of service that did not answer in time.
// Unlike a failed connection this may be no fault of the server, as when all
// servers are slow, so the limit on ejections applies.
func (p *Pool) MarkUnresponsive(server *Server, now time.Time) bool {
	if server.lastUnreachable.IsZero() && (p.IsDegraded() || p.ejectedCount+p.unreachableCount >= p.maxEjected()) {
		return false
	}
	return p.MarkUnreachable(server, now)
}
