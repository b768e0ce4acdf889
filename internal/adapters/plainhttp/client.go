// Package plainhttp implements ports.PlainService. It forwards calls to plain
// services over HTTP and sends each call at most once.
package plainhttp

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"fescuespar/internal/adapters/sendonce"
	"fescuespar/internal/adapters/serverhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// Headers of the protocol between entry processes and plain services.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	RequestIDHeader      = "X-Request-Id"
	// NotRunHeader, with any value, on a response with status 503 means that the
	// service did not run the call.
	NotRunHeader = "X-Not-Run"
)

// MaxBodyBytes is the largest body of a response.
const MaxBodyBytes = 4 << 20

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	pooled   *http.Client // reuses connections, for calls without an idempotency key
	unpooled *http.Client // opens a connection for each call
}

var _ ports.PlainService = (*Client)(nil)

// New returns a client. The timeout bounds the opening of a connection. A call is
// bounded by its context.
func New(timeout time.Duration) *Client {
	return &Client{pooled: serverhttp.NewClient(timeout), unpooled: serverhttp.NewUnpooledClient(timeout)}
}

// Call implements ports.PlainService. A call with an idempotency key uses a new
// connection. On a reused one, the server could close the idle connection while
// the call is being sent, and the client could not tell whether the call ran.
func (c *Client) Call(ctx context.Context, server core.VM, request core.PlainRequest) (core.PlainResponse, error) {
	outgoing, err := newRequest(ctx, server, request)
	if err != nil {
		return core.PlainResponse{}, err
	}
	response, err := c.clientFor(request).Do(outgoing)
	if errors.Is(err, sendonce.ErrNotSent) {
		return core.PlainResponse{}, errkind.Wrap(errkind.ServerRefused, err, "connect to backend server %s", server.ID)
	}
	if err != nil {
		return core.PlainResponse{}, callError(ctx, server, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(NotRunHeader) != "" {
		return core.PlainResponse{}, errkind.New(errkind.ServerRefused, "%s did not run the call", server.ID)
	}
	body, err := serverhttp.ReadBody(response.Body, MaxBodyBytes)
	if err != nil {
		return core.PlainResponse{}, callError(ctx, server, err)
	}
	return core.PlainResponse{Status: response.StatusCode, Header: decodeHeader(response.Header), Body: body}, nil
}

// Probe implements ports.PlainService. It opens a TCP connection and closes it.
func (c *Client) Probe(ctx context.Context, server core.VM) error {
	return serverhttp.Probe(ctx, server)
}

// callError returns the error for a call that the service may have run: Timeout if
// the context ended, otherwise ServerFailed.
func callError(ctx context.Context, server core.VM, err error) error {
	if ctx.Err() != nil {
		return errkind.Wrap(errkind.Timeout, err, "%s sent no complete response in time", server.ID)
	}
	return errkind.Wrap(errkind.ServerFailed, err, "%s sent no complete response", server.ID)
}

func (c *Client) clientFor(request core.PlainRequest) *http.Client {
	if request.Key != "" {
		return c.unpooled
	}
	return c.pooled
}

func newRequest(ctx context.Context, server core.VM, request core.PlainRequest) (*http.Request, error) {
	target := serverhttp.URL(server, "/"+strings.TrimPrefix(request.Path, "/"))
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target, bytes.NewReader(request.Body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "build request to %s", server.ID)
	}
	for name, value := range request.Header {
		if !isReservedHeader(name) {
			outgoing.Header.Set(name, value)
		}
	}
	outgoing.Header.Set(RequestIDHeader, string(request.ID))
	if request.Key != "" {
		outgoing.Header.Set(IdempotencyKeyHeader, string(request.Key))
	}
	return outgoing, nil
}

// hopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Host": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// isReservedHeader reports whether the adapter or the transport sets the header
// itself.
func isReservedHeader(name string) bool {
	name = http.CanonicalHeaderKey(name)
	return hopHeaders[name] || name == IdempotencyKeyHeader || name == RequestIDHeader
}

func decodeHeader(header http.Header) map[string]string {
	decoded := make(map[string]string, len(header))
	for name := range header {
		if !hopHeaders[name] {
			decoded[name] = header.Get(name)
		}
	}
	return decoded
}
