package detour

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/quic-go/quic-go"

	"fescuespar/internal/adapters/memorybudget"
)

// refusalTimeout bounds the time to send a refusal while too many calls are made.
const refusalTimeout = 100 * time.Millisecond

func (n *Node) accept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return
		}
		go n.serve(conn)
	}
}

// serve serves a connection while there is memory for what its peer may send.
func (n *Node) serve(conn *quic.Conn) {
	hold := n.memory.NewHolder()
	defer hold.Release()
	if !n.gate.Accept(conn) {
		return
	}
	if !hold.Grow(incomingWindow) {
		_ = conn.CloseWithError(0, errNoMemory.Error()) // fails only if it is closed
		return
	}
	for {
		stream, err := conn.AcceptStream(context.Background())
		if err != nil {
			return
		}
		select {
		case n.calls <- struct{}{}:
			go n.handle(conn, stream)
		default:
			stream.CancelRead(0)
			writeResponse(stream, failedResponse(errNotSent), refusalTimeout)
		}
	}
}

// handle makes one call for a peer and writes the response.
func (n *Node) handle(conn *quic.Conn, stream *quic.Stream) {
	defer func() { <-n.calls }()
	n.gate.BeginCall(conn)
	defer n.gate.EndCall(conn)
	hold := n.memory.NewHolder()
	defer hold.Release()
	incoming, response, err := n.forward(stream, hold)
	if err != nil || isRefusal(response) {
		if known := n.cachedResponse(incoming); known != nil {
			response, err = known, nil
		}
	}
	if err != nil {
		response = failedResponse(err)
	}
	writeResponse(stream, response, transferTimeout)
}

// failedResponse returns the response to a call that could not be made.
func failedResponse(err error) *http.Response {
	response := &http.Response{
		StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{failedHeader: {"1"}}, Body: http.NoBody,
	}
	if mayHaveBeenSent(err) {
		response.StatusCode = http.StatusBadGateway
	}
	return response
}

// writeResponse writes a response and closes the stream.
func writeResponse(stream *quic.Stream, response *http.Response, timeout time.Duration) {
	_ = stream.SetWriteDeadline(time.Now().Add(timeout)) // fails only if the stream is closed
	_ = response.Write(stream)                           // an error means that the peer is gone
	_ = response.Body.Close()
	_ = stream.Close()
}

// errNotSent marks the failure of a call that was not sent to the platform.
var errNotSent = errors.New("call was not sent to the platform")

func mayHaveBeenSent(err error) bool { return !errors.Is(err, errNotSent) }

// forward receives a call and makes it. What it holds of both is the holder's.
func (n *Node) forward(stream *quic.Stream, hold *memorybudget.Holder) (*http.Request, *http.Response, error) {
	incoming, body, err := receive(stream, hold)
	if errors.Is(err, memorybudget.ErrNoMemory) {
		// The peer reads the refusal once it has sent its call.
		hold.Release()
		_, _ = io.Copy(io.Discard, stream) // ends at the deadline
	}
	if err != nil {
		stream.CancelRead(0)
		return nil, nil, errors.Join(errNotSent, err)
	}
	if directDown := n.directDown.Load(); directDown != nil && directDown.Load() {
		return incoming, nil, errors.Join(errNotSent, errDirectDown)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	outgoing, err := http.NewRequestWithContext(ctx, incoming.Method, "http://"+n.host+incoming.RequestURI, bytes.NewReader(body))
	if err != nil {
		return incoming, nil, errors.Join(errNotSent, err)
	}
	outgoing.Header = incoming.Header.Clone()
	response, err := n.callDirect(outgoing)
	if err != nil {
		return incoming, nil, err
	}
	// The body must be read before the deferred cancel ends the context.
	answer, err := hold.ReadBody(response.Body, response.ContentLength, maxBodyBytes)
	_ = response.Body.Close()
	if err != nil {
		return incoming, nil, err
	}
	response.ProtoMajor, response.ProtoMinor = 1, 1 // between peers, whatever the platform speaks
	pieces := net.Buffers(answer)
	response.ContentLength = int64(answer.Len())
	response.Body, response.TransferEncoding = io.NopCloser(&pieces), nil
	return incoming, response, nil
}

// receive reads a call and its body, which a peer must send within transferTimeout.
func receive(stream *quic.Stream, hold *memorybudget.Holder) (*http.Request, []byte, error) {
	_ = stream.SetReadDeadline(time.Now().Add(transferTimeout)) // fails only if the stream is closed
	hold.Begin(func() { stream.CancelRead(0) })
	head := &headReader{source: stream, hold: hold}
	incoming, err := http.ReadRequest(bufio.NewReader(head))
	if err != nil {
		return nil, nil, err
	}
	head.ended = true
	body, err := hold.ReadBody(incoming.Body, incoming.ContentLength, maxBodyBytes)
	if err == nil && !hold.Begin(nil) {
		err = memorybudget.ErrNoMemory
	}
	if err != nil || len(body) <= 1 {
		return incoming, body.Bytes(), err
	}
	size := int64(body.Len())
	if !hold.Grow(size) {
		return nil, nil, memorybudget.ErrNoMemory
	}
	defer hold.Shrink(size) // of the pieces, which are copied
	return incoming, body.Bytes(), nil
}

// Errors of calls that are not received whole.
var (
	errLongHead = errors.New("the head of the call is too long")
	errNoMemory = errors.New("no memory for the connection")
)

// headReader reads a call. It bounds the head and holds its memory.
type headReader struct {
	source io.Reader
	hold   *memorybudget.Holder
	read   int
	ended  bool // the head was read
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.hold.Progress(int64(n))
	if r.ended {
		return n, err
	}
	if r.read += n; r.read > maxHeadBytes {
		return 0, errLongHead
	}
	if !r.hold.Grow(int64(n) * memorybudget.HeadFactor) {
		return 0, memorybudget.ErrNoMemory
	}
	return n, err
}
