package outlier

import "time"

// Unreachable takes a server out of service because no connection to it can be
// made. This is a fact about the server and no comparison with its peers, so
// that the bound on ejections does not hold for it. It returns true when the
// server was reachable before.
func (p *Pool) Unreachable(server *Server, now time.Time) bool {
	before := server.unreachable
	server.unreachable = now
	if !before.IsZero() {
		return false
	}
	p.away++
	if server.ejected {
		server.ejections = max(0, server.ejections-1)
		p.ejected--
		server.ejected = false
	}
	return true
}

// Reachable puts an unreachable server back into service. It returns false for
// a server that was reachable before.
func (p *Pool) Reachable(server *Server, now time.Time) bool {
	if server.unreachable.IsZero() {
		return false
	}
	server.unreachable = time.Time{}
	server.restore(now)
	p.away--
	return true
}

// Silent takes a server out of service that did not answer in time. Unlike
// Unreachable it may be wrong, as when all servers are slow, and keeps to the
// bound on ejections.
func (p *Pool) Silent(server *Server, now time.Time) bool {
	if server.unreachable.IsZero() && (p.Sagging() || p.ejected+p.away >= p.maxEjected()) {
		return false
	}
	return p.Unreachable(server, now)
}
