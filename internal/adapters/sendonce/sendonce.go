// Package sendonce provides the HTTP transport of all clients of this project. It sends
// each request once.
//
// http.Transport by itself sends a request again, on another connection, if a kept
// connection ends before the response: one with the method GET, HEAD, OPTIONS or TRACE, or
// with an idempotency key, that has no body or can rewind it. The server may have received
// the first copy, and the error of the second copy hides how the first one ended.
package sendonce

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"fescuespar/internal/adapters/responsecheck"
)

// maxUnwritten bounds the kept connections that one request meets which ended before any
// of its bytes were written. Each of them leaves the pool, and the pool drops connections
// as soon as it sees their end, so that a second one is rare.
const maxUnwritten = 3

// ErrNotSent marks the error of a request of which no byte was written to a connection.
// The server has not received it.
var ErrNotSent = errors.New("no byte of the request was sent")

// Transport is an http.RoundTripper that sends each request once. It is safe for
// concurrent use.
type Transport struct {
	base         *http.Transport
	repeatsReads bool
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a transport that sends requests over the connections of base, which it takes
// over. A request of which no byte was written to a kept connection is sent on another one.
// A malformed response is an error, which is responsecheck.ErrMalformed.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(connection), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		encrypted, err := encrypt(ctx, connection, address, base.TLSClientConfig)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(encrypted), nil
	}
	return &Transport{base: base}
}

// NewRepeatingReads is like New, but the transport sends a GET or HEAD request a second
// time if a kept connection ends before the response begins. It is for servers on which
// these requests change nothing and cost little.
func NewRepeatingReads(base *http.Transport) *Transport {
	transport := New(base)
	transport.repeatsReads = true
	return transport
}

// NewClient returns a client that sends requests with a transport and follows no
// redirects, which are a further request. Each call takes at most the timeout; zero means
// that only its context bounds it.
func NewClient(transport http.RoundTripper, timeout time.Duration) *http.Client {
	return &http.Client{
		Transport: transport, Timeout: timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. An error for a request that was not sent at all
// is ErrNotSent.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	unwritten, repeats := 0, 0
	for body := request.Body; ; {
		sent := &attempt{}
		response, err := t.base.RoundTrip(sent.prepare(request, body))
		if err == nil {
			return response, nil
		}
		again := false
		switch {
		case request.Context().Err() != nil || !sent.isOnKeptConnection():
		case sent.written() == 0:
			unwritten++
			again = unwritten <= maxUnwritten
		case t.repeatsReads && isRead(request.Method) && !sent.answered.Load() && !errors.Is(err, responsecheck.ErrMalformed):
			repeats++
			again = repeats <= 1
		}
		if again {
			body, again = rewind(request)
		}
		if !again && sent.written() == 0 && repeats == 0 {
			return nil, &notSentError{err}
		}
		if !again {
			return nil, err
		}
	}
}

func isRead(method string) bool { return method == http.MethodGet || method == http.MethodHead }

func hasBody(request *http.Request) bool {
	return request.Body != nil && request.Body != http.NoBody
}

// rewind returns a new reader of a request's body. It returns false if there is none.
func rewind(request *http.Request) (io.ReadCloser, bool) {
	if !hasBody(request) {
		return request.Body, true
	}
	if request.GetBody == nil {
		return nil, false
	}
	body, err := request.GetBody()
	return body, err == nil
}

// notSentError is ErrNotSent with its cause.
type notSentError struct{ cause error }

func (e *notSentError) Error() string   { return e.cause.Error() }
func (e *notSentError) Unwrap() []error { return []error{ErrNotSent, e.cause} }

// attempt observes one send of a request.
type attempt struct {
	connection atomic.Pointer[trackedConn] // nil until there is one
	before     atomic.Int64                // bytes written to the connection before the request
	reused     atomic.Bool                 // the connection carried other requests before
	answered   atomic.Bool                 // the first byte of a response has arrived
}

func (a *attempt) isOnKeptConnection() bool { return a.reused.Load() }

// written returns the number of bytes of the request that were written. http.Transport
// writes nothing more once it has returned an error.
func (a *attempt) written() int64 {
	connection := a.connection.Load()
	if connection == nil {
		return 0
	}
	return connection.bytes.Load() - a.before.Load()
}

// prepare returns a copy of a request with the given body that http.Transport sends once
// and that this attempt observes.
func (a *attempt) prepare(request *http.Request, body io.ReadCloser) *http.Request {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connection := tracked(info.Conn)
			a.before.Store(connection.bytes.Load())
			a.reused.Store(info.Reused)
			connection.expectResponse(request.Method)
			a.connection.Store(connection)
		},
		GotFirstResponseByte: func() { a.answered.Store(true) },
	}
	copied := request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	copied.Body, copied.GetBody = body, nil
	if hasBody(request) {
		return copied
	}
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		// http.Transport never repeats a request whose body it can't rewind. An empty
		// body in the identity encoding adds nothing to what these methods send.
		copied.Body, copied.TransferEncoding = io.NopCloser(strings.NewReader("")), []string{"identity"}
	default:
		hideIdempotencyKey(copied)
	}
	return copied
}

// idempotencyKeys are the fields for which http.Transport repeats a request without a body,
// whatever its method.
var idempotencyKeys = []string{"Idempotency-Key", "X-Idempotency-Key"}

// hideIdempotencyKey renames these fields to lower case, which means the same to servers
// and is not seen by http.Transport.
func hideIdempotencyKey(request *http.Request) {
	for _, name := range idempotencyKeys {
		if values, present := request.Header[name]; present {
			request.Header = request.Header.Clone()
			delete(request.Header, name)
			request.Header[strings.ToLower(name)] = values
		}
	}
}
