// Package plainhttp implements ports.PlainService: it passes calls to plain
// services over HTTP, each at most once.
package plainhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"fescuespar/internal/adapters/serverhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// Headers of the protocol.
const (
	KeyHeader       = "Idempotency-Key"
	RequestIDHeader = "X-Request-Id"
	// NotRunHeader, with any value, on a 503 says that the call was not run.
	NotRunHeader = "X-Not-Run"
)

// MaxBodyBytes bounds the body of an answer.
const MaxBodyBytes = 4 << 20

// Client talks to every plain service.
type Client struct {
	kept  *http.Client // for calls that may be repeated
	fresh *http.Client // for the others
}

var _ ports.PlainService = (*Client)(nil)

// New returns a client. The timeout bounds the making of a connection; a call
// is bounded by its context.
func New(timeout time.Duration) *Client {
	return &Client{kept: serverhttp.NewClient(timeout), fresh: serverhttp.NewFreshClient(timeout)}
}

// Call implements ports.PlainService. A call with an idempotency key gets a
// connection of its own, so that a kept connection that the server closes
// leaves no doubt whether the call ran.
func (c *Client) Call(ctx context.Context, server core.VM, request core.PlainRequest) (core.PlainResponse, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	outgoing, err := encode(ctx, server, request)
	if err != nil {
		return core.PlainResponse{}, err
	}
	response, err := c.clientFor(request).Do(outgoing)
	if err != nil && !sent.Load() {
		return core.PlainResponse{}, errkind.Wrap(errkind.ServerRefused, err, "nothing was sent to %s", server.ID)
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

// Probe implements ports.PlainService: it makes a connection and closes it.
func (c *Client) Probe(ctx context.Context, server core.VM) error {
	connection, err := new(net.Dialer).DialContext(ctx, "tcp", server.Address)
	switch {
	case err == nil:
		_ = connection.Close()
		return nil
	case ctx.Err() != nil:
		return errkind.Wrap(errkind.Of(ctx.Err()), err, "%s takes no connection in time", server.ID)
	default:
		return errkind.Wrap(errkind.ServerRefused, err, "%s takes no connections", server.ID)
	}
}

// callError returns the error for a call that may have run.
func callError(ctx context.Context, server core.VM, err error) error {
	if ctx.Err() != nil {
		return errkind.Wrap(errkind.Timeout, err, "%s did not answer in time", server.ID)
	}
	return errkind.Wrap(errkind.ServerFailed, err, "%s gave no whole answer", server.ID)
}

func (c *Client) clientFor(request core.PlainRequest) *http.Client {
	if request.Key != "" {
		return c.fresh
	}
	return c.kept
}

func encode(ctx context.Context, server core.VM, request core.PlainRequest) (*http.Request, error) {
	target := serverhttp.URL(server, "/"+strings.TrimPrefix(request.Path, "/"))
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target, nil)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "call of %s", server.ID)
	}
	setBody(outgoing, request.Body)
	for name, value := range request.Header {
		if !ownHeader(name) {
			outgoing.Header.Set(name, value)
		}
	}
	outgoing.Header.Set(RequestIDHeader, string(request.ID))
	if request.Key != "" {
		outgoing.Header.Set(KeyHeader, string(request.Key))
	}
	return outgoing, nil
}

// setBody sets a body that the transport cannot rewind, so that it never sends
// a call again over another connection.
func setBody(outgoing *http.Request, body []byte) {
	outgoing.Body = io.NopCloser(bytes.NewReader(body))
	outgoing.ContentLength = int64(len(body))
}

// hopHeaders hold for one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Host": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// ownHeader reports whether the adapter or the transport sets the header.
func ownHeader(name string) bool {
	name = http.CanonicalHeaderKey(name)
	return hopHeaders[name] || name == KeyHeader || name == RequestIDHeader
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
