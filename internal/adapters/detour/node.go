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
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"fescuespar/internal/lockrank"
)

// protocol names the calls in TLS.
const protocol = "fescuespar-detour/1"

const (
	callTimeout      = 3 * time.Second // of a call made for a peer
	handshakeTimeout = time.Second
	idleTimeout      = 20 * time.Second
	maxCalls         = 32 // of one peer at a time
	maxBodyBytes     = 8 << 20
	// failedHeader marks an answer that a peer made up because its own call failed.
	failedHeader = "X-Detour-Failed"
)

// Node is one entry process's endpoint for calls through peers.
//
// Peers are not authenticated: a peer can make no call here that it could not
// make to the platform itself, which asks nobody who it is.
type Node struct {
	direct    http.RoundTripper
	host      string // of the platform, host:port
	transport *quic.Transport
	tls       *tls.Config
	blocked   atomic.Pointer[atomic.Bool] // set while the own way is down

	// mu guards all fields below.
	mu         lockrank.Mutex
	conns      map[string]*quic.Conn // to peers, by address
	remembered map[string][]byte     // newest answers to marked reads, by path and query
}

// maxRemembered bounds the reads that are remembered.
const maxRemembered = 16

// straight makes a call the direct way and remembers the answer to a marked read.
func (n *Node) straight(request *http.Request) (*http.Response, error) {
	marked := request.Header.Get(RememberHeader) != ""
	request.Header.Del(RememberHeader)
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
	if _, known := n.remembered[name]; known || len(n.remembered) < maxRemembered {
		n.remembered[name] = body
	}
	return response, nil
}

// recall returns the remembered answer to a marked read, or nil.
func (n *Node) recall(incoming *http.Request) *http.Response {
	if incoming == nil || incoming.Header.Get(RememberHeader) == "" {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	body, known := n.remembered[incoming.RequestURI]
	if !known {
		return nil
	}
	return &http.Response{
		StatusCode: http.StatusNonAuthoritativeInfo, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)),
	}
}

// Listen opens the UDP address and makes calls for peers to one host only,
// the direct way.
func Listen(address, host string, direct http.RoundTripper) (*Node, error) {
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
			InsecureSkipVerify: true, // see Node
		},
		mu: lockrank.New(lockrank.RankAdapter), conns: make(map[string]*quic.Conn),
		remembered: make(map[string][]byte),
	}
	listener, err := node.transport.Listen(node.tls, quicConfig())
	if err != nil {
		return nil, err
	}
	go node.accept(listener)
	return node, nil
}

// Address returns the address on which the node listens.
func (n *Node) Address() string { return n.transport.Conn.LocalAddr().String() }

// Close ends all connections.
func (n *Node) Close() { _ = n.transport.Close() }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, MaxIncomingStreams: maxCalls,
		MaxIncomingUniStreams: -1, DisablePathMTUDiscovery: true,
		InitialStreamReceiveWindow: 64 << 10, MaxStreamReceiveWindow: 1 << 20, MaxConnectionReceiveWindow: 2 << 20,
	}
}

// selfSigned returns a certificate that only encrypts.
func selfSigned() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, err
}

func (n *Node) accept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return
		}
		go n.serve(conn)
	}
}

func (n *Node) serve(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		go n.handle(stream)
	}
}

// handle makes one call for a peer and writes its answer.
func (n *Node) handle(stream *quic.Stream) {
	defer stream.Close()
	incoming, response, err := n.forward(stream)
	if err != nil || refused(response) {
		if known := n.recall(incoming); known != nil {
			response, err = known, nil
		}
	}
	if err != nil {
		response = &http.Response{
			StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1,
			Header: http.Header{failedHeader: {"1"}}, Body: http.NoBody,
		}
		if sentAnyway(err) {
			response.StatusCode = http.StatusBadGateway
		}
	}
	defer response.Body.Close()
	_ = response.Write(stream) // a peer that left needs no answer
}

// errUnsent wraps the failure of a call that never left.
var errUnsent = errors.New("the call was not sent")

func sentAnyway(err error) bool { return !errors.Is(err, errUnsent) }

func (n *Node) forward(stream io.Reader) (*http.Request, *http.Response, error) {
	incoming, err := http.ReadRequest(bufio.NewReader(stream))
	if err != nil {
		return nil, nil, errors.Join(errUnsent, err)
	}
	if blocked := n.blocked.Load(); blocked != nil && blocked.Load() {
		return incoming, nil, errors.Join(errUnsent, errCut)
	}
	body, err := io.ReadAll(io.LimitReader(incoming.Body, maxBodyBytes))
	if err != nil {
		return incoming, nil, errors.Join(errUnsent, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	outgoing, err := http.NewRequestWithContext(ctx, incoming.Method, "http://"+n.host+incoming.RequestURI, bytes.NewReader(body))
	if err != nil {
		return incoming, nil, errors.Join(errUnsent, err)
	}
	outgoing.Header = incoming.Header.Clone()
	response, err := n.straight(outgoing)
	if err != nil {
		return incoming, nil, err
	}
	// The whole answer is read before the context ends.
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	_ = response.Body.Close()
	if err != nil {
		return incoming, nil, err
	}
	response.Body, response.ContentLength = io.NopCloser(bytes.NewReader(answer)), int64(len(answer))
	response.TransferEncoding = nil
	return incoming, response, nil
}

// call makes a call through a peer. Sent tells whether the peer may have made it.
func (n *Node) call(request *http.Request, address string) (response *http.Response, sent bool, err error) {
	ctx := request.Context()
	conn, err := n.connect(ctx, address)
	if err != nil {
		return nil, false, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		n.forget(address, conn)
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
		response, err = http.ReadResponse(bufio.NewReader(stream), copied)
	}
	if err != nil {
		stop()
		n.forget(address, conn)
		return nil, true, err
	}
	if response.Header.Get(failedHeader) != "" {
		stop()
		discard(response)
		return nil, response.StatusCode != http.StatusServiceUnavailable, errNoPeer
	}
	response.Body = &stoppingBody{response.Body, func() { stop() }}
	return response, true, nil
}

// stoppingBody ends the watch over a call's context with its body.
type stoppingBody struct {
	io.ReadCloser
	stop func()
}

// Close implements io.Closer.
func (b *stoppingBody) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}

// connect returns the kept connection to a peer, or a new one.
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

func (n *Node) forget(address string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[address] == conn {
		delete(n.conns, address)
	}
}
