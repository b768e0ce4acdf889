// Package peerquic carries messages between entry processes over QUIC with
// mutual TLS 1.3, encoded in CBOR. Each message has a stream of its own on one
// connection to each peer, which is kept until it has been idle for a while.
package peerquic

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"fescuespar/internal/adapters/keys"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// protocol names the message set in TLS; it changes with an incompatible one.
const protocol = "fescuespar-peer/1"

const (
	idleTimeout      = 90 * time.Second // after which an unused connection is closed
	handshakeTimeout = 2 * time.Second
	maxConnections   = 2048
	maxStreams       = 32 // messages in flight on one connection, each way
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

// Node is one entry process's endpoint towards its peers. It implements
// ports.Peers; Serve adds the receiving side.
type Node struct {
	identity  *keys.Identity
	transport *quic.Transport
	socket    *net.UDPConn
	ctx       context.Context // ends with Close
	stop      context.CancelFunc
	handlers  sync.WaitGroup // messages being handled
	loops     sync.WaitGroup // accept loops and dials

	// mu guards all fields below.
	mu       lockrank.Mutex
	closed   bool
	listener *quic.Listener
	outgoing map[string]*link        // by peer address
	live     map[*quic.Conn]struct{} // all open connections
	past     Traffic                 // of closed connections
}

// Traffic counts what went over the wire, with the headers of UDP and IPv4.
type Traffic struct {
	BytesSent       uint64 `json:"bytes_sent"`
	BytesReceived   uint64 `json:"bytes_received"`
	PacketsSent     uint64 `json:"packets_sent"`
	PacketsReceived uint64 `json:"packets_received"`
	Connections     int    `json:"connections"` // open now
}

const packetHeaderBytes = 28 // IPv4 and UDP

// Listen opens the UDP address, host:port. Errors: BadRequest.
func Listen(address string, identity *keys.Identity) (*Node, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "peer address %q", address)
	}
	socket, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "listen on %q", address)
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Node{
		identity:  identity,
		transport: &quic.Transport{Conn: socket},
		socket:    socket,
		ctx:       ctx,
		stop:      stop,
		outgoing:  make(map[string]*link),
		live:      make(map[*quic.Conn]struct{}),
		mu:        lockrank.New(lockrank.RankAdapter),
	}, nil
}

// Address returns the address on which the node listens.
func (n *Node) Address() string { return n.socket.LocalAddr().String() }

// Traffic returns the counters of all connections since Listen.
func (n *Node) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := n.past
	for conn := range n.live {
		total.add(conn.ConnectionStats())
	}
	total.Connections = len(n.live)
	return total
}

func (t *Traffic) add(stats quic.ConnectionStats) {
	t.BytesSent += stats.BytesSent + packetHeaderBytes*stats.PacketsSent
	t.BytesReceived += stats.BytesReceived + packetHeaderBytes*stats.PacketsReceived
	t.PacketsSent += stats.PacketsSent
	t.PacketsReceived += stats.PacketsReceived
}

// Shutdown lets the messages being handled end, until the context does, and
// closes the node. New connections and messages are refused at once.
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

// Close ends all connections at once and waits for the node's goroutines.
func (n *Node) Close() {
	n.stop()
	n.mu.Lock()
	n.closed = true
	open := make([]*quic.Conn, 0, len(n.live))
	for conn := range n.live {
		open = append(open, conn)
	}
	n.mu.Unlock()
	for _, conn := range open {
		conn.CloseWithError(codeClosed, "closed")
	}
	n.transport.Close()
	n.socket.Close()
	n.loops.Wait()
	n.handlers.Wait()
}

// adopt counts a connection until it ends. It returns false when too many are
// open or the node is closed.
func (n *Node) adopt(conn *quic.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.live) >= maxConnections {
		return false
	}
	n.live[conn] = struct{}{}
	context.AfterFunc(conn.Context(), func() { n.forget(conn) })
	return true
}

func (n *Node) forget(conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.live, conn)
	n.past.add(conn.ConnectionStats())
}

// beginHandler counts a message that is being handled. It returns false once
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
