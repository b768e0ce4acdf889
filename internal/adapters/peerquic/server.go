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
	maxHandlers    = 256              // messages handled at once
	requestTimeout = 5 * time.Second  // for a request to arrive whole
	handlerTimeout = 60 * time.Second // for its handling
	replyTimeout   = 60 * time.Second // for the reply to be taken
	refusalTimeout = time.Second      // for a refusal to be taken
)

// server is the receiving side of a node.
type server struct {
	node    *Node
	handler ports.PeerHandler
	slots   chan struct{} // one for each message handled at once
}

// Serve starts to accept connections and to answer messages with the handler.
// It is called once. Errors: Internal.
func (n *Node) Serve(handler ports.PeerHandler) error {
	listener, err := n.transport.Listen(n.identity.Server(protocol), quicConfig())
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "listen for peers")
	}
	n.mu.Lock()
	n.listener = listener
	n.mu.Unlock()
	s := &server{node: n, handler: handler, slots: make(chan struct{}, maxHandlers)}
	n.loops.Go(func() { s.acceptConnections(listener) })
	return nil
}

func (s *server) acceptConnections(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(s.node.ctx)
		if err != nil {
			return
		}
		if !s.node.adopt(conn) {
			conn.CloseWithError(codeAborted, "no room")
			continue
		}
		s.node.loops.Go(func() { s.acceptStreams(conn) })
	}
}

// acceptStreams starts at most maxStreams handlers at once, also when the peer
// aborts its streams early.
func (s *server) acceptStreams(conn *quic.Conn) {
	open := make(chan struct{}, maxStreams)
	for {
		open <- struct{}{}
		stream, err := conn.AcceptStream(s.node.ctx)
		if err != nil {
			return
		}
		if !s.node.beginHandler() {
			refuse(stream)
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

// refuse answers a message that arrives during the shutdown.
func refuse(stream *quic.Stream) {
	answer := errorReply(errkind.New(errkind.ShuttingDown, "the process is shutting down"))
	stream.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if writeFrame(stream, answer, maxSmallReplyBytes) != nil {
		abort(stream)
		return
	}
	stream.Close()
	awaitReceipt(stream, refusalTimeout)
}

// serveStream answers the one message of a stream.
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

// awaitReceipt waits until the peer closes its side of the stream, which it
// does once it has the reply. Until then the connection may not be closed.
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

// dispatch waits for one of the handlers' slots and calls the handler.
func (s *server) dispatch(conn *quic.Conn, message request) (reply, error) {
	ctx, cancel := context.WithTimeout(conn.Context(), handlerTimeout)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return reply{}, errkind.New(errkind.Overloaded, "no handler was free")
	}
	body, err := s.handle(ctx, conn, message)
	if err != nil {
		return reply{}, err
	}
	encoded, err := encode(body)
	return reply{Body: encoded}, err
}

// handle decodes a message's body, calls its handler and returns the wire type
// of the answer.
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
	case typeVMNews:
		var wire wireVMNewsRequest
		if err := decode(requestDecoder, message.Body, &wire); err != nil {
			return nil, err
		}
		news, err := s.handler.HandleVMNews(ctx, core.VMNewsRequest(wire))
		return toWireVMNews(news), err
	default:
		return nil, errkind.New(errkind.BadRequest, "unknown message type %d", message.Type)
	}
}

func (s *server) handleHeartbeat(ctx context.Context, conn *quic.Conn, message request) (any, error) {
	var wire wireHeartbeat
	if err := decode(requestDecoder, message.Body, &wire); err != nil {
		return nil, err
	}
	beat, err := fromWireHeartbeat(wire)
	if err != nil {
		return nil, err
	}
	if err := checkSender(conn, beat); err != nil {
		return nil, err
	}
	answer, err := s.handler.HandleHeartbeat(ctx, beat)
	return toWireHeartbeat(answer), err
}

// checkSender refuses a heartbeat whose sender is not the VM that the peer's
// certificate names. Errors: Forbidden.
func checkSender(conn *quic.Conn, beat core.Heartbeat) error {
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) > 0 && certificates[0].Subject.CommonName == string(beat.Sender.VM) {
		return nil
	}
	return errkind.New(errkind.Forbidden, "the peer's certificate does not name VM %q", beat.Sender.VM)
}

func errorReply(err error) reply {
	text := err.Error()
	if typed := errorx.Cast(err); typed != nil {
		text = typed.Message()
	}
	return reply{Kind: errkind.Of(err), Text: strings.ToValidUTF8(text[:min(len(text), maxErrorTextBytes)], "")}
}

// knownKind returns the kind if it is in the closed list, otherwise Internal.
func knownKind(kind errkind.Kind) errkind.Kind {
	if errkind.Known(kind) {
		return kind
	}
	return errkind.Internal
}
