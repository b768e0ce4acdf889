// Package quicguard bounds the connections that unknown senders open at a QUIC port:
// handshakes in progress, and open connections.
package quicguard

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"fescuespar/internal/lockrank"
)

const (
	// maxHandshakes bounds the handshakes in progress. A handshake takes some 100 KB and
	// a few round trips; all processes of a site do not connect at a time.
	maxHandshakes = 64
	// unverifiedHandshakes is the number of handshakes in progress from which a sender
	// must first show that it receives at its address (a QUIC Retry, one round trip),
	// which costs the process no memory. More are seldom in progress between processes.
	unverifiedHandshakes = 8
	// idleTime is how long a connection must have had no call to be closed for a new
	// one. Peers that still need it connect again.
	idleTime = 2 * time.Second
)

// codeTooMany is the application error code of connections that are closed for others.
const codeTooMany = 2

var errTooMany = errors.New("too many connections")

// Gate bounds the incoming connections of one port. It is safe for concurrent use.
type Gate struct {
	maxConnections int
	refused        func() // called for each refused or closed connection

	// mu guards the fields below and all entries.
	mu          lockrank.Mutex
	handshaking int
	open        map[*entry]struct{}
}

// entry is an incoming connection.
type entry struct {
	conn     *quic.Conn // nil during the handshake
	ended    bool
	calls    int       // in progress
	lastCall time.Time // end of the last one
}

type entryKey struct{}

// New returns a gate for at most maxConnections open connections. refused is called for
// each connection that is refused or closed for another one; it may be nil.
func New(maxConnections int, refused func()) *Gate {
	if refused == nil {
		refused = func() {}
	}
	return &Gate{
		maxConnections: maxConnections, refused: refused, mu: lockrank.New(lockrank.RankAdapter), open: make(map[*entry]struct{}),
	}
}

// Protect lets the gate decide on a transport's incoming connections. It is called before
// the transport listens.
func (g *Gate) Protect(transport *quic.Transport) {
	transport.VerifySourceAddress = func(net.Addr) bool { return g.handshakes() >= unverifiedHandshakes }
	transport.ConnContext = func(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
		e := &entry{}
		if !g.beginHandshake() {
			g.refused()
			return nil, errTooMany
		}
		context.AfterFunc(ctx, func() { g.remove(e) })
		return context.WithValue(ctx, entryKey{}, e), nil
	}
}

func (g *Gate) handshakes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.handshaking
}

func (g *Gate) beginHandshake() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.handshaking >= maxHandshakes {
		return false
	}
	g.handshaking++
	return true
}

// remove forgets a connection that has ended.
func (g *Gate) remove(e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.ended = true
	if e.conn == nil {
		g.handshaking--
	}
	delete(g.open, e)
}

// Accept admits a connection whose handshake is complete. If there are too many, it
// closes the one that has been idle the longest, or else this one and returns false.
func (g *Gate) Accept(conn *quic.Conn) bool {
	victim := g.admit(conn, time.Now())
	if victim == nil {
		return true
	}
	g.refused()
	_ = victim.CloseWithError(codeTooMany, errTooMany.Error())
	return victim != conn
}

// admit adds a connection and returns the one to close, nil for none.
func (g *Gate) admit(conn *quic.Conn, now time.Time) *quic.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := entryOf(conn)
	if e == nil || e.ended {
		return nil // it has ended already
	}
	e.conn, e.lastCall = conn, now
	g.handshaking--
	if len(g.open) < g.maxConnections {
		g.open[e] = struct{}{}
		return nil
	}
	oldest := g.idleLongest(now)
	if oldest == nil {
		return conn
	}
	delete(g.open, oldest)
	g.open[e] = struct{}{}
	return oldest.conn
}

// idleLongest returns the connection without a call for the longest time, nil if there
// is none. The caller holds mu.
func (g *Gate) idleLongest(now time.Time) *entry {
	var oldest *entry
	for e := range g.open {
		if e.calls == 0 && now.Sub(e.lastCall) >= idleTime && (oldest == nil || e.lastCall.Before(oldest.lastCall)) {
			oldest = e
		}
	}
	return oldest
}

// BeginCall and EndCall tell that a call on a connection is in progress.
func (g *Gate) BeginCall(conn *quic.Conn) { g.count(conn, 1) }

// EndCall ends what BeginCall began.
func (g *Gate) EndCall(conn *quic.Conn) { g.count(conn, -1) }

func (g *Gate) count(conn *quic.Conn, change int) {
	e := entryOf(conn)
	if e == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e.calls += change
	e.lastCall = time.Now()
}

// entryOf returns the entry of an incoming connection, nil for one that was dialed.
func entryOf(conn *quic.Conn) *entry {
	e, _ := conn.Context().Value(entryKey{}).(*entry)
	return e
}
