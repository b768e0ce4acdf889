package peerquic

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

const (
	maxHandlers    = 256              // requests handled concurrently
	requestTimeout = 5 * time.Second  // to receive a complete request
	handlerTimeout = 60 * time.Second // to wait for a handler slot and handle the request
	replyTimeout   = 60 * time.Second // to send the reply, and again until the peer confirms it
	refusalTimeout = time.Second      // to send a refusal, and again until the peer confirms it
)

// server accepts connections and handles requests for a node.
type server struct {
	node         *Node
	handler      ports.PeerHandler
	handlerSlots chan struct{} // holds one element per request being handled
}

// Serve starts accepting connections and handling requests with the handler. Call
// it at most once. Errors: Internal.
func (n *Node) Serve(handler ports.PeerHandler) error {
	listener, err := n.transport.Listen(n.identity.ServerConfig(protocol), quicConfig())
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "listen for peer connections")
	}
	n.mu.Lock()
	n.listener = listener
	n.mu.Unlock()
	s := &server{node: n, handler: handler, handlerSlots: make(chan struct{}, maxHandlers)}
	n.background.Go(func() { s.acceptConnections(listener) })
	return nil
}

func (s *server) acceptConnections(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(s.node.ctx)
		if err != nil {
			return
		}
		if !s.node.gate.Accept(conn) {
			continue
		}
		if !s.node.trackConn(conn) {
			conn.CloseWithError(codeAborted, "too many connections")
			continue
		}
		s.node.background.Go(func() { s.acceptStreams(conn) })
	}
}

// acceptStreams runs at most maxStreams handlers of a connection concurrently.
// QUIC's own stream limit does not ensure that, because a peer that aborts its
// streams early can open new ones while their handlers still run.
func (s *server) acceptStreams(conn *quic.Conn) {
	open := make(chan struct{}, maxStreams)
	for {
		open <- struct{}{}
		stream, err := conn.AcceptStream(s.node.ctx)
		if err != nil {
			return
		}
		if !s.node.beginHandler() {
			refuseStream(stream)
			<-open
			continue
		}
		go func() {
			defer s.node.handlers.Done()
			s.serveStream(conn, stream)
			<-open
		}()
	}
}

// refuseStream replies ShuttingDown to a request that arrives during the shutdown.
func refuseStream(stream *quic.Stream) {
	answer := errorReply(errkind.New(errkind.ShuttingDown, "this entry process is shutting down and accepts no new requests"))
	stream.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if writeFrame(stream, answer, maxSmallReplyBytes) != nil {
		abort(stream)
		return
	}
	stream.Close()
	awaitReceipt(stream, refusalTimeout)
}

// serveStream reads the single request of a stream, handles it and replies.
func (s *server) serveStream(conn *quic.Conn, stream *quic.Stream) {
	stream.SetReadDeadline(time.Now().Add(requestTimeout))
	limit := maxSmallReplyBytes
	message, err := readRequest(stream)
	var answer reply
	if err == nil {
		limit = maxReplyBytes(message.Type)
		answer, err = s.dispatch(conn, message)
	}
	if err != nil {
		answer = errorReply(err)
	}
	stream.SetWriteDeadline(time.Now().Add(replyTimeout))
	err = writeFrame(stream, answer, limit)
	if errkind.Is(err, errkind.TooLarge) {
		err = writeFrame(stream, errorReply(err), limit)
	}
	if err != nil {
		abort(stream)
		return
	}
	stream.Close()
	awaitReceipt(stream, replyTimeout)
}

// awaitReceipt waits until the peer closes its side of the stream, which it does
// after receiving the reply. Closing the connection earlier could lose the reply.
func awaitReceipt(stream *quic.Stream, timeout time.Duration) {
	stream.SetReadDeadline(time.Now().Add(timeout))
	var unexpected [1]byte
	io.ReadFull(stream, unexpected[:])
	stream.CancelRead(codeAborted)
}

func readRequest(stream *quic.Stream) (request, error) {
	frame, err := readFrame(stream, maxRequestBytes)
	if err != nil {
		return request{}, err
	}
	var message request
	err = decode(requestDecoder, frame, &message)
	return message, err
}

// dispatch waits for a handler slot, handles the request and encodes the reply.
// Errors: Overloaded when no slot is free within handlerTimeout, and those of
// handle.
func (s *server) dispatch(conn *quic.Conn, message request) (reply, error) {
	ctx, cancel := context.WithTimeout(conn.Context(), handlerTimeout)
	defer cancel()
	select {
	case s.handlerSlots <- struct{}{}:
		defer func() { <-s.handlerSlots }()
	case <-ctx.Done():
		return reply{}, errkind.New(errkind.Overloaded, "no handler slot became free before the timeout")
	}
	body, err := s.handle(ctx, conn, message)
	if err != nil {
		return reply{}, err
	}
	encoded, err := encode(body)
	return reply{Body: encoded}, err
}

// handle decodes the body of a request, calls the handler and returns the reply
// as a wire type.
func (s *server) handle(ctx context.Context, conn *quic.Conn, message request) (any, error) {
	switch message.Type {
	case typeHeartbeat:
		return s.handleHeartbeat(ctx, conn, message)
	case typeConfiguration:
		configuration, err := s.handler.HandleConfiguration(ctx)
		return toWireConfiguration(configuration), err
	case typeBatch:
		var wire wireBatchRequest
		if err := decode(requestDecoder, message.Body, &wire); err != nil {
			return nil, err
		}
		batch, err := s.handler.HandleBatch(ctx, core.BatchRequest(wire))
		return toWireBatch(batch), err
	case typeAnswer:
		var wire wireAnswerRequest
		if err := decode(requestDecoder, message.Body, &wire); err != nil {
			return nil, err
		}
		part, err := s.handler.HandleAnswer(ctx, core.AnswerRequest(wire))
		return toWireAnswerPart(part), err
	case typeVMListChanges:
		var wire wireVMListChangesRequest
		if err := decode(requestDecoder, message.Body, &wire); err != nil {
			return nil, err
		}
		changes, err := s.handler.HandleVMListChanges(ctx, core.VMListChangesRequest(wire))
		return toWireVMListChanges(changes), err
	default:
		return nil, errkind.New(errkind.BadRequest, "unknown message type %d", message.Type)
	}
}

func (s *server) handleHeartbeat(ctx context.Context, conn *quic.Conn, message request) (any, error) {
	var wire wireHeartbeat
	if err := decode(requestDecoder, message.Body, &wire); err != nil {
		return nil, err
	}
	heartbeat, err := fromWireHeartbeat(wire)
	if err != nil {
		return nil, err
	}
	if err := checkSender(conn, heartbeat); err != nil {
		return nil, err
	}
	answer, err := s.handler.HandleHeartbeat(ctx, heartbeat)
	return toWireHeartbeat(answer), err
}

// checkSender returns Forbidden unless the peer's certificate names the VM that
// the heartbeat has as its sender.
func checkSender(conn *quic.Conn, heartbeat core.Heartbeat) error {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) > 0 && certificates[0].Subject.CommonName == string(heartbeat.Sender.VM) {
		return nil
	}
	return errkind.New(errkind.Forbidden, "heartbeat from VM %q: the peer's certificate does not name this VM", heartbeat.Sender.VM)
}

func errorReply(err error) reply {
	text := err.Error()
	if typed := errorx.Cast(err); typed != nil {
		text = typed.Message()
	}
	return reply{Kind: errkind.Of(err), Text: strings.ToValidUTF8(text[:min(len(text), maxErrorTextBytes)], "")}
}

// kindOrInternal returns the kind if errkind knows it, otherwise Internal.
func kindOrInternal(kind errkind.Kind) errkind.Kind {
	if errkind.Known(kind) {
		return kind
	}
	return errkind.Internal
}
