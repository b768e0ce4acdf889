// Package peerquic carries messages between entry processes over QUIC with
// mutual TLS 1.3, encoded in CBOR. A node keeps one outgoing connection to each
// peer, opens a stream on it for each request, and closes it after an idle
// timeout.
package peerquic

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"fescuespar/internal/adapters/keys"
	"fescuespar/internal/adapters/quicguard"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// protocol is the ALPN name of the message set. An incompatible change of the
// messages needs a new name.
const protocol = "fescuespar-peer/1"

const (
	idleTimeout      = 90 * time.Second // for connections without traffic
	handshakeTimeout = 2 * time.Second
	maxConnections   = 2048
	maxStreams       = 32 // requests in flight on one connection, per direction
	streamWindow     = 256 << 10
	maxStreamWindow  = 2 << 20
	maxConnWindow    = 8 << 20
	firstPacketBytes = 1200
)

// Application error codes of connections and streams.
const (
	codeClosed  = 0
	codeAborted = 1
)

// Node is the endpoint of an entry process for messages from and to its peers.
// It implements ports.Peers. Call Serve to accept requests as well. It is safe
// for concurrent use.
type Node struct {
	identity   *keys.Identity
	transport  *quic.Transport
	socket     *net.UDPConn
	gate       *quicguard.Gate
	onRefusal  atomic.Pointer[func()]
	ctx        context.Context // canceled by Close
	stop       context.CancelFunc
	handlers   sync.WaitGroup // requests being handled
	background sync.WaitGroup // accept loops and dials

	// mu guards all fields below.
	mu            lockrank.Mutex
	closed        bool
	listener      *quic.Listener
	outgoing      map[string]*peerConn    // by peer address
	openConns     map[*quic.Conn]struct{} // all open connections, both directions
	closedTraffic Traffic                 // totals of closed connections
}

// Traffic counts packets and bytes on the wire. The bytes include the UDP and
// IPv4 headers.
type Traffic struct {
	BytesSent       uint64 `json:"bytes_sent"`
	BytesReceived   uint64 `json:"bytes_received"`
	PacketsSent     uint64 `json:"packets_sent"`
	PacketsReceived uint64 `json:"packets_received"`
	Connections     int    `json:"connections"` // currently open
}

const packetHeaderBytes = 28 // IPv4 and UDP

// Listen opens a UDP socket on the address, which has the form host:port.
// Errors: BadRequest.
func Listen(address string, identity *keys.Identity) (*Node, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "resolve peer listen address %q", address)
	}
	socket, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "listen for peers on UDP %q", address)
	}
	ctx, stop := context.WithCancel(context.Background())
	node := &Node{
		identity:  identity,
		transport: &quic.Transport{Conn: socket},
		socket:    socket,
		ctx:       ctx,
		stop:      stop,
		outgoing:  make(map[string]*peerConn),
		openConns: make(map[*quic.Conn]struct{}),
		mu:        lockrank.New(lockrank.RankAdapter),
	}
	node.gate = quicguard.New(maxConnections, node.refused)
	node.gate.Protect(node.transport)
	return node, nil
}

// OnRefusal sets a function that is called for each incoming connection that is refused,
// or closed for a new one.
func (n *Node) OnRefusal(f func()) { n.onRefusal.Store(&f) }

func (n *Node) refused() {
	if f := n.onRefusal.Load(); f != nil {
		(*f)()
	}
}

// Address returns the host:port that the node listens on.
func (n *Node) Address() string { return n.socket.LocalAddr().String() }

// Traffic returns the totals of all connections since Listen, open and closed.
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.closedTraffic
	for conn := range n.openConns {
		total.add(conn.ConnectionStats())
	}
	total.Connections = len(n.openConns)
	return total
}

func (t *Traffic) add(stats quic.ConnectionStats) {
	t.BytesSent += stats.BytesSent + packetHeaderBytes*stats.PacketsSent
	t.BytesReceived += stats.BytesReceived + packetHeaderBytes*stats.PacketsReceived
	t.PacketsSent += stats.PacketsSent
	t.PacketsReceived += stats.PacketsReceived
}

// Shutdown refuses new connections and requests, waits until the requests being
// handled are done or the context ends, and then closes the node.
func (n *Node) Shutdown(ctx context.Context) {
	n.mu.Lock()
	listener := n.listener
	n.closed = true
	n.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	done := make(chan struct{})
	go func() {
		n.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	n.Close()
}

// Close closes all connections without waiting for requests in progress, and
// waits for the node's goroutines to end.
func (n *Node) Close() {
	n.stop()
	n.mu.Lock()
	n.closed = true
	open := make([]*quic.Conn, 0, len(n.openConns))
	for conn := range n.openConns {
		open = append(open, conn)
	}
	n.mu.Unlock()
	for _, conn := range open {
		conn.CloseWithError(codeClosed, "closed")
	}
	n.transport.Close()
	n.socket.Close()
	n.background.Wait()
	n.handlers.Wait()
}

// trackConn adds a connection to the open ones until it ends. It returns false
// if maxConnections are open already or the node is closed.
func (n *Node) trackConn(conn *quic.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.openConns) >= maxConnections {
		return false
	}
	n.openConns[conn] = struct{}{}
	context.AfterFunc(conn.Context(), func() { n.untrackConn(conn) })
	return true
}

func (n *Node) untrackConn(conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.openConns, conn)
	n.closedTraffic.add(conn.ConnectionStats())
}

// beginHandler adds one to the handlers that Close waits for. It returns false if
// the node is shutting down.
func (n *Node) beginHandler() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.handlers.Add(1)
	return true
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: streamWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialPacketSize:              firstPacketBytes,
		DisablePathMTUDiscovery:        true,
	}
}
