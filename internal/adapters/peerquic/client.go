package peerquic

import (
	"context"
	"errors"
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

var _ ports.Peers = (*Node)(nil)

// peerConn is the single outgoing connection to a peer. conn and err are set
// before ready is closed.
type peerConn struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// Heartbeat sends a heartbeat to the peer and returns the peer's reply.
func (n *Node) Heartbeat(ctx context.Context, address string, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	var wire wireHeartbeat
	conn, err := n.call(ctx, address, typeHeartbeat, toWireHeartbeat(heartbeat), &wire)
	if err != nil {
		return core.Heartbeat{}, err
	}
	answer, err := fromWireHeartbeat(wire)
	if err != nil {
		return core.Heartbeat{}, err
	}
	return answer, checkSender(conn, answer)
}

// Configuration fetches the newest configuration that the peer has applied.
func (n *Node) Configuration(ctx context.Context, address string) (core.Configuration, error) {
	var wire wireConfiguration
	_, err := n.call(ctx, address, typeConfiguration, nil, &wire)
	return fromWireConfiguration(wire), err
}

// Batch forwards a trainer's batch request to the peer.
func (n *Node) Batch(ctx context.Context, address string, request core.BatchRequest) (core.Batch, error) {
	var wire wireBatch
	_, err := n.call(ctx, address, typeBatch, wireBatchRequest(request), &wire)
	return fromWireBatch(wire), err
}

// Answer fetches the part of an answer that starts at the requested offset.
func (n *Node) Answer(ctx context.Context, address string, request core.AnswerRequest) (core.AnswerPart, error) {
	var wire wireAnswerPart
	_, err := n.call(ctx, address, typeAnswer, wireAnswerRequest(request), &wire)
	return fromWireAnswerPart(wire), err
}

// VMListChanges fetches the changes of the peer's VM list since the requested
// digest.
func (n *Node) VMListChanges(ctx context.Context, address string, request core.VMListChangesRequest) (core.VMListChanges, error) {
	var wire wireVMListChanges
	_, err := n.call(ctx, address, typeVMListChanges, wireVMListChangesRequest(request), &wire)
	return fromWireVMListChanges(wire), err
}

// call sends one request and decodes the body of the reply into into. It returns
// the connection that was used. Errors: PeerUnreachable, Canceled, TooLarge, and
// the kind that the peer replied with.
func (n *Node) call(ctx context.Context, address string, t messageType, body, into any) (*quic.Conn, error) {
	message := request{Type: t}
	if body != nil {
		encoded, err := encode(body)
		if err != nil {
			return nil, err
		}
		message.Body = cbor.RawMessage(encoded)
	}
	pc, stream, err := n.openStream(ctx, address)
	if err != nil {
		return nil, transportError(ctx, err, address)
	}
	before := pc.conn.ConnectionStats().PacketsReceived
	answer, err := exchange(ctx, stream, message)
	if err != nil {
		n.closeIfUnresponsive(ctx, address, pc, before)
		return nil, transportError(ctx, err, address)
	}
	if answer.Kind != "" {
		return nil, errkind.New(kindOrInternal(answer.Kind), "peer %s: %s", address, answer.Text)
	}
	return pc.conn, decode(replyDecoder, answer.Body, into)
}

// exchange writes the request, reads the reply and then closes the sending side
// of the stream, which tells the peer that the reply arrived. The stream is
// aborted when the context ends.
func exchange(ctx context.Context, stream *quic.Stream, message request) (reply, error) {
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	defer stop()
	if err := writeFrame(stream, message, maxRequestBytes); err != nil {
		abort(stream)
		return reply{}, err
	}
	frame, err := readFrame(stream, maxReplyBytes(message.Type))
	if err != nil {
		abort(stream)
		return reply{}, err
	}
	stream.Close()
	stream.CancelRead(codeAborted)
	var answer reply
	err = decode(replyDecoder, frame, &answer)
	return answer, err
}

func abort(stream *quic.Stream) {
	stream.CancelRead(codeAborted)
	stream.CancelWrite(codeAborted)
}

// openStream opens a stream on the connection to the peer. If that connection has
// ended, it retries once on a new one.
func (n *Node) openStream(ctx context.Context, address string) (*peerConn, *quic.Stream, error) {
	for retry := false; ; retry = true {
		pc, err := n.awaitConn(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		stream, err := pc.conn.OpenStreamSync(ctx)
		if err == nil {
			return pc, stream, nil
		}
		n.removeOutgoing(address, pc)
		if retry || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}

// awaitConn returns the connection to the peer once it is established. Concurrent
// callers share one dial.
func (n *Node) awaitConn(ctx context.Context, address string) (*peerConn, error) {
	pc, err := n.findOrDial(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-pc.ready:
		return pc, pc.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) findOrDial(address string) (*peerConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errkind.New(errkind.ShuttingDown, "peer node is closed")
	}
	pc, found := n.outgoing[address]
	if !found {
		pc = &peerConn{ready: make(chan struct{})}
		n.outgoing[address] = pc
		n.background.Go(func() { n.dial(address, pc) })
	}
	return pc, nil
}

// dial connects under the node's context instead of a caller's, so that the
// deadline of one caller does not fail the callers that wait with it.
func (n *Node) dial(address string, pc *peerConn) {
	pc.conn, pc.err = n.connect(address)
	if pc.err != nil {
		n.removeOutgoing(address, pc)
	}
	close(pc.ready)
	if pc.err == nil {
		context.AfterFunc(pc.conn.Context(), func() { n.removeOutgoing(address, pc) })
	}
}

func (n *Node) connect(address string) (*quic.Conn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	settings := n.identity.ClientConfig(protocol, resolved.IP.String())
	conn, err := n.transport.Dial(ctx, resolved, settings, quicConfig())
	if err != nil {
		return nil, err
	}
	if !n.trackConn(conn) {
		conn.CloseWithError(codeAborted, "too many connections")
		return nil, errkind.New(errkind.Overloaded, "node closed or at its limit of %d connections", maxConnections)
	}
	return conn, nil
}

func (n *Node) removeOutgoing(address string, pc *peerConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outgoing[address] == pc {
		delete(n.outgoing, address)
	}
}

// closeIfUnresponsive closes a connection on which no packet arrived between the
// sending of a request and its deadline. The peer has been restarted or is
// unreachable, and only a new handshake can tell which.
func (n *Node) closeIfUnresponsive(ctx context.Context, address string, pc *peerConn, before uint64) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || pc.conn.ConnectionStats().PacketsReceived != before {
		return
	}
	n.removeOutgoing(address, pc)
	pc.conn.CloseWithError(codeAborted, "no packet received")
}

// transportError wraps a transport error as Canceled or PeerUnreachable. It
// returns TooLarge errors unchanged unless the context has ended.
func transportError(ctx context.Context, err error, address string) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.Wrap(errkind.Canceled, err, "request to peer %s", address)
	}
	if ctx.Err() == nil && errkind.Is(err, errkind.TooLarge) {
		return err
	}
	return errkind.Wrap(errkind.PeerUnreachable, err, "request to peer %s", address)
}
