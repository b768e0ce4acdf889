package detour

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/adapters/quicguard"
	"fescuespar/internal/adapters/responsecheck"
	"fescuespar/internal/lockrank"
)

// protocol is the ALPN name of the protocol between peers.
const protocol = "fescuespar-detour/1"

const (
	callTimeout      = 3 * time.Second  // for a call made for a peer
	transferTimeout  = 10 * time.Second // to receive a call or to send its response; several times what the largest takes on the slowest VM's line
	handshakeTimeout = time.Second
	idleTimeout      = 20 * time.Second
	maxCalls         = 32       // concurrent calls of one connection
	maxAllCalls      = 128      // concurrent calls for all peers
	maxHeadBytes     = 16 << 10 // of a call
	maxBodyBytes     = 8 << 20
	// failedHeader marks a response that a peer generated because its own call failed.
	failedHeader = "X-Detour-Failed"
)

// Node is the endpoint of an entry process for calls through peers. It makes
// calls for peers and sends calls to them. It is safe for concurrent use.
//
// Peers are not authenticated. The platform does not authenticate its callers, so
// a peer gains nothing by making a call through the node.
type Node struct {
	direct     http.RoundTripper
	host       string // host:port of the platform
	transport  *quic.Transport
	tls        *tls.Config
	directDown atomic.Pointer[atomic.Bool] // true while the direct path of this process is down
	newest     atomic.Pointer[func(requestURI string) []byte]
	memory     *memorybudget.Budget
	gate       *quicguard.Gate
	calls      chan struct{} // holds one element for each call that is made for a peer

	// mu guards all fields below.
	mu     lockrank.Mutex
	conns  map[string]*quic.Conn // outgoing, by peer address
	cached map[string][]byte     // bodies of the newest responses to marked reads, by path and query
}

// maxCachedReads bounds the number of cached responses.
const maxCachedReads = 16

// callDirect makes a call directly and caches the response to a marked read.
func (n *Node) callDirect(request *http.Request) (*http.Response, error) {
	marked := request.Header.Get(AllowStaleHeader) != ""
	request.Header.Del(AllowStaleHeader)
	response, err := n.direct.RoundTrip(request)
	if err != nil || !marked || response.StatusCode != http.StatusOK {
		return response, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	_ = response.Body.Close()
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	n.mu.Lock()
	defer n.mu.Unlock()
	name := request.URL.RequestURI()
	if _, known := n.cached[name]; known || len(n.cached) < maxCachedReads {
		n.cached[name] = body
	}
	return response, nil
}

// ServeNewest sets a function that returns this process's newest data for a marked read,
// or nil if it has none but the cached response. It must be safe for concurrent use.
func (n *Node) ServeNewest(newest func(requestURI string) []byte) { n.newest.Store(&newest) }

// cachedBody returns the newest known body of the response to a marked read, or nil.
func (n *Node) cachedBody(requestURI string) []byte {
	if newest := n.newest.Load(); newest != nil {
		if body := (*newest)(requestURI); body != nil {
			return body
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cached[requestURI]
}

// cachedResponse returns the cached response to a marked read, or nil.
func (n *Node) cachedResponse(incoming *http.Request) *http.Response {
	if incoming == nil || incoming.Header.Get(AllowStaleHeader) == "" {
		return nil
	}
	body := n.cachedBody(incoming.RequestURI)
	if body == nil {
		return nil
	}
	return &http.Response{
		StatusCode: http.StatusNonAuthoritativeInfo, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
}

// Limits bound what peers, and unknown senders, make a node hold.
type Limits struct {
	MaxConnections int                  // incoming
	Memory         *memorybudget.Budget // for calls and their responses
	Refused        func()               // called for each connection that is refused or closed for another one; may be nil
}

// Listen opens a UDP socket on the address and serves calls of peers within the limits.
// It makes them with direct, and only to the given host.
func Listen(address, host string, direct http.RoundTripper, limits Limits) (*Node, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, err
	}
	certificate, err := selfSigned()
	if err != nil {
		return nil, err
	}
	node := &Node{
		direct: direct, host: host, transport: &quic.Transport{Conn: socket},
		tls: &tls.Config{
			Certificates: []tls.Certificate{certificate}, NextProtos: []string{protocol}, MinVersion: tls.VersionTLS13,
			InsecureSkipVerify: true, // peers are not authenticated, see Node
		},
		mu: lockrank.New(lockrank.RankAdapter), conns: make(map[string]*quic.Conn),
		cached: make(map[string][]byte),
		memory: limits.Memory, gate: quicguard.New(limits.MaxConnections, limits.Refused), calls: make(chan struct{}, maxAllCalls),
	}
	node.gate.Protect(node.transport)
	listener, err := node.transport.Listen(node.tls, incomingConfig())
	if err != nil {
		return nil, err
	}
	go node.accept(listener)
	return node, nil
}

// Address returns the host:port that the node listens on.
func (n *Node) Address() string { return n.transport.Conn.LocalAddr().String() }

// Close closes the socket and all connections.
func (n *Node) Close() { _ = n.transport.Close() }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, MaxIncomingStreams: maxCalls,
		MaxIncomingUniStreams: -1, DisablePathMTUDiscovery: true,
		InitialStreamReceiveWindow: 64 << 10, MaxStreamReceiveWindow: 1 << 20, MaxConnectionReceiveWindow: 2 << 20,
	}
}

// incomingWindow bounds what a peer may send on a connection before it is read. It is
// counted for each incoming connection.
const incomingWindow = 256 << 10

// incomingConfig returns the configuration of incoming connections.
func incomingConfig() *quic.Config {
	config := quicConfig()
	config.InitialConnectionReceiveWindow, config.MaxConnectionReceiveWindow = 64<<10, incomingWindow
	config.MaxStreamReceiveWindow = incomingWindow
	return config
}

// selfSigned returns a certificate that identifies nobody. TLS needs one to encrypt.
func selfSigned() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, err
}

// callVia makes a call through the peer at the address. sent tells whether the peer
// may have made it.
func (n *Node) callVia(request *http.Request, address string) (response *http.Response, sent bool, err error) {
	ctx := request.Context()
	conn, err := n.connect(ctx, address)
	if err != nil {
		return nil, false, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		n.removeConn(address, conn)
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	copied := request.Clone(ctx)
	if request.GetBody != nil {
		if copied.Body, err = request.GetBody(); err != nil {
			stop()
			return nil, false, err
		}
	}
	if err = copied.Write(stream); err == nil {
		err = stream.Close()
	}
	if err == nil {
		response, err = http.ReadResponse(bufio.NewReader(responsecheck.NewReader(stream, copied.Method)), copied)
	}
	if err != nil {
		stop()
		n.removeConn(address, conn)
		return nil, true, err
	}
	if response.Header.Get(failedHeader) != "" {
		stop()
		closeBody(response)
		return nil, response.StatusCode != http.StatusServiceUnavailable, errNoPeer
	}
	response.Body = &bodyWithCleanup{response.Body, func() { stop() }}
	return response, true, nil
}

// bodyWithCleanup is a response body that calls cleanup when it is closed.
type bodyWithCleanup struct {
	io.ReadCloser
	cleanup func()
}

// Close implements io.Closer.
func (b *bodyWithCleanup) Close() error {
	b.cleanup()
	return b.ReadCloser.Close()
}

// connect returns the open connection to a peer, or dials a new one.
func (n *Node) connect(ctx context.Context, address string) (*quic.Conn, error) {
	n.mu.Lock()
	conn := n.conns[address]
	n.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err = n.transport.Dial(ctx, resolved, n.tls, quicConfig())
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = conn
	return conn, nil
}

func (n *Node) removeConn(address string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[address] == conn {
		delete(n.conns, address)
	}
}
