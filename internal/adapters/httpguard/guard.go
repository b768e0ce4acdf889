// Package httpguard protects HTTP servers against clients outside the limits: it bounds
// open connections, the time and size of a request's head, the progress of bodies and
// answers, and the memory that all of them hold. net/http does the HTTP; the guard wraps
// its connections, whose reads and writes it counts and ends.
package httpguard

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/core"
	"fescuespar/internal/core/connection"
	"fescuespar/internal/lockrank"
)

// Defaults of limits that are not known or not set.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

const (
	// bodyGrace is the time that a request's body may take in any case. It is the time
	// for which a request without a deadline or a route timeout is kept waiting.
	bodyGrace = 30 * time.Second
	// minRate is the number of bytes a second that a client must send or read on
	// average once the grace is over, as servers in wide use demand.
	minRate = 500
	// lingerTime is how long a connection stays open after a request was refused whose
	// body has not arrived. Without it, the reset that answers the rest of the body
	// may overtake the refusal. It covers some round trips between regions.
	lingerTime = 300 * time.Millisecond
	// maxDrainedBytes is how much of the body of a refused request is read in that time.
	maxDrainedBytes = 1 << 20
	// smallBodyBytes is the size up to which the body of a refused request is read, so
	// that its connection can be used again. net/http's own bound is 256 KB.
	smallBodyBytes = 64 << 10
	// maxNetHTTPHeader is net/http's own limit of a head. The guard's is lower.
	maxNetHTTPHeader = 1 << 20
)

// Options configure a guard.
type Options struct {
	Name           string // of the listener, in log lines
	MaxConnections int
	Memory         *memorybudget.Budget     // shared by all guards of a process
	Limits         func() core.CallerLimits // in force; zero fields mean the defaults
	BodyTime       time.Duration            // that a body may take in any case; zero for bodyGrace
	Count          func(Event)              // called for each event; may be nil
	Log            zerolog.Logger
}

// Guard protects one HTTP server. It is safe for concurrent use.
type Guard struct {
	options Options
	events  *eventLog

	// mu guards the fields below.
	mu        lockrank.Mutex
	conns     map[*conn]struct{} // from their acceptance until net/http has finished with them
	noneUntil time.Time          // no connection can be closed for another one until then
}

// New returns a guard.
func New(options Options) *Guard {
	if options.BodyTime <= 0 {
		options.BodyTime = bodyGrace
	}
	return &Guard{
		options: options, events: newEventLog(&options), mu: lockrank.New(lockrank.RankAdapter),
		conns: make(map[*conn]struct{}, options.MaxConnections),
	}
}

// Server is an HTTP server whose connections are guarded.
type Server struct {
	*http.Server
	Guard *Guard
}

// NewServer returns a server for the handler. The time limits of net/http are not set:
// they can't follow the configuration in force, nor a client's progress.
func (g *Guard) NewServer(handler http.Handler) *Server {
	return &Server{Guard: g, Server: &http.Server{ //nolint:gosec // the guard has the time limits
		Handler: g.handler(handler), MaxHeaderBytes: maxNetHTTPHeader,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			guarded, ok := c.(*conn)
			switch {
			case !ok:
			case state == http.StateIdle:
				guarded.becomeIdle(time.Now())
			case state == http.StateClosed || state == http.StateHijacked:
				g.remove(guarded)
			}
		},
	}}
}

// Serve accepts connections on the listener until the server is shut down.
func (s *Server) Serve(listener net.Listener) error {
	return s.Server.Serve(s.Guard.Listener(listener))
}

// limits returns the limits in force.
func (g *Guard) limits() core.CallerLimits {
	limits := g.options.Limits()
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// event counts an event and logs it.
func (g *Guard) event(e Event) {
	if g.options.Count != nil {
		g.options.Count(e)
	}
	g.events.add(e, time.Now())
}

// listener is a listener whose connections are guarded.
type listener struct {
	net.Listener
	guard *Guard
}

// Listener returns a listener that guards the connections of another one. They must be
// served by a server of NewServer.
func (g *Guard) Listener(inner net.Listener) net.Listener { return &listener{inner, g} }

// Accept implements net.Listener. It refuses connections beyond the bound.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.guard.admit(accepted, time.Now()); guarded != nil {
			return guarded, nil
		}
		l.guard.event(ConnectionRefused)
		reset(accepted)
	}
}

// reset closes a connection without leaving anything behind.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = c.Close()
}

// noneDelay is the time for which the search for a connection to close is not repeated
// after it found none, so that refusals cost little.
const noneDelay = 10 * time.Millisecond

// admit returns a guarded connection, or nil if there are too many. At the bound it
// closes another connection for it, if there is one whose client is outside the limits.
func (g *Guard) admit(accepted net.Conn, now time.Time) *conn {
	guarded := newConn(g, accepted, now)
	candidates, admitted := g.add(guarded, now)
	if admitted {
		return guarded
	}
	views := make([]connection.View, len(candidates))
	for i, other := range candidates {
		views[i] = other.view()
	}
	first, found := connection.First(views, now)
	if found && candidates[first].closeEarly(views[first].Phase) {
		g.event(ConnectionClosed)
		g.force(guarded)
		return guarded
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noneUntil = now.Add(noneDelay)
	return nil
}

// slack is the share of the bound by which connections may exceed it while those closed
// for them end.
const slack = 8

// add adds a connection. If there are too many, it returns the connections of which one
// may be closed for it, none if that is not worth a search.
func (g *Guard) add(guarded *conn, now time.Time) ([]*conn, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := g.options.MaxConnections
	if len(g.conns) < most {
		g.conns[guarded] = struct{}{}
		return nil, true
	}
	if len(g.conns) >= most+most/slack || now.Before(g.noneUntil) {
		return nil, false
	}
	candidates := make([]*conn, 0, len(g.conns))
	for other := range g.conns {
		candidates = append(candidates, other)
	}
	return candidates, false
}

// force adds a connection for which another one was closed.
func (g *Guard) force(guarded *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[guarded] = struct{}{}
}

// remove forgets a connection that net/http has finished with.
func (g *Guard) remove(guarded *conn) {
	g.mu.Lock()
	delete(g.conns, guarded)
	g.mu.Unlock()
	guarded.hold.Release()
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}
