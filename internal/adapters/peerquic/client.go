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

// link is the one connection to a peer. conn and err are set once ready is
// closed.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// Heartbeat sends a heartbeat and returns the peer's.
func (n *Node) Heartbeat(ctx context.Context, address string, beat core.Heartbeat) (core.Heartbeat, error) {
	var wire wireHeartbeat
	conn, err := n.call(ctx, address, typeHeartbeat, toWireHeartbeat(beat), &wire)
	if err != nil {
		return core.Heartbeat{}, err
	}
	answer, err := fromWireHeartbeat(wire)
	if err != nil {
		return core.Heartbeat{}, err
	}
	return answer, checkSender(conn, answer)
}

// Configuration fetches the newest configuration that the peer applied.
func (n *Node) Configuration(ctx context.Context, address string) (core.Configuration, error) {
	var wire wireConfiguration
	_, err := n.call(ctx, address, typeConfiguration, nil, &wire)
	return fromWireConfiguration(wire), err
}

// Batch relays a trainer's request.
func (n *Node) Batch(ctx context.Context, address string, request core.BatchRequest) (core.Batch, error) {
	var wire wireBatch
	_, err := n.call(ctx, address, typeBatch, wireBatchRequest(request), &wire)
	return fromWireBatch(wire), err
}

// Answer fetches the rest of an answer.
func (n *Node) Answer(ctx context.Context, address string, request core.AnswerRequest) (core.AnswerPart, error) {
	var wire wireAnswerPart
	_, err := n.call(ctx, address, typeAnswer, wireAnswerRequest(request), &wire)
	return fromWireAnswerPart(wire), err
}

// VMNews asks what changed in the VM list.
func (n *Node) VMNews(ctx context.Context, address string, request core.VMNewsRequest) (core.VMNews, error) {
	var wire wireVMNews
	_, err := n.call(ctx, address, typeVMNews, wireVMNewsRequest(request), &wire)
	return fromWireVMNews(wire), err
}

// call sends one message and decodes the body of its reply.
func (n *Node) call(ctx context.Context, address string, t messageType, body, into any) (*quic.Conn, error) {
	message := request{Type: t}
	if body != nil {
		encoded, err := encode(body)
		if err != nil {
			return nil, err
		}
		message.Body = cbor.RawMessage(encoded)
	}
	l, stream, err := n.openStream(ctx, address)
	if err != nil {
		return nil, unreachable(ctx, err, address)
	}
	before := l.conn.ConnectionStats().PacketsReceived
	answer, err := exchange(ctx, stream, message)
	if err != nil {
		n.dropIfSilent(ctx, address, l, before)
		return nil, unreachable(ctx, err, address)
	}
	if answer.Kind != "" {
		return nil, errkind.New(knownKind(answer.Kind), "peer %s: %s", address, answer.Text)
	}
	return l.conn, decode(replyDecoder, answer.Body, into)
}

// exchange writes the message, reads the reply and then closes the sending
// side, which tells the peer that the reply arrived. The context ends it by
// aborting the stream.
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

// openStream opens a stream on the peer's connection, and once more on a new
// connection when the old one turns out to have ended.
func (n *Node) openStream(ctx context.Context, address string) (*link, *quic.Stream, error) {
	for retry := false; ; retry = true {
		l, err := n.linkTo(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		stream, err := l.conn.OpenStreamSync(ctx)
		if err == nil {
			return l, stream, nil
		}
		n.remove(address, l)
		if retry || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}

// linkTo returns the peer's connection. One caller dials; the others wait.
func (n *Node) linkTo(ctx context.Context, address string) (*link, error) {
	l, err := n.findOrDial(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.ready:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) findOrDial(address string) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errkind.New(errkind.ShuttingDown, "the node has been closed")
	}
	l, found := n.outgoing[address]
	if !found {
		l = &link{ready: make(chan struct{})}
		n.outgoing[address] = l
		n.loops.Go(func() { n.dial(address, l) })
	}
	return l, nil
}

// dial connects under the node's own context, so that one caller's deadline
// fails nobody else.
func (n *Node) dial(address string, l *link) {
	l.conn, l.err = n.connect(address)
	if l.err != nil {
		n.remove(address, l)
	}
	close(l.ready)
	if l.err == nil {
		context.AfterFunc(l.conn.Context(), func() { n.remove(address, l) })
	}
}

func (n *Node) connect(address string) (*quic.Conn, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	settings := n.identity.Client(protocol, resolved.IP.String())
	conn, err := n.transport.Dial(ctx, resolved, settings, quicConfig())
	if err != nil {
		return nil, err
	}
	if !n.adopt(conn) {
		conn.CloseWithError(codeAborted, "no room")
		return nil, errkind.New(errkind.Overloaded, "closed, or %d connections are open", maxConnections)
	}
	return conn, nil
}

func (n *Node) remove(address string, l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outgoing[address] == l {
		delete(n.outgoing, address)
	}
}

// dropIfSilent closes a connection on which nothing at all arrived between a
// message and its deadline: the peer has been restarted or cut off, and only a
// new handshake can tell.
func (n *Node) dropIfSilent(ctx context.Context, address string, l *link, before uint64) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || l.conn.ConnectionStats().PacketsReceived != before {
		return
	}
	n.remove(address, l)
	l.conn.CloseWithError(codeAborted, "no packet received")
}

// unreachable gives transport errors their kind; errors that have one keep it.
func unreachable(ctx context.Context, err error, address string) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.Wrap(errkind.Canceled, err, "message to %s", address)
	}
	if ctx.Err() == nil && errkind.Is(err, errkind.TooLarge) {
		return err
	}
	return errkind.Wrap(errkind.PeerUnreachable, err, "message to %s", address)
}
