// Package enginehttp implements ports.Engine with the HTTP protocol of engines:
// JSON bodies, and JSON lines for streams.
package enginehttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fescuespar/internal/adapters/serverhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// Client calls engines and pools its connections to them. It is safe for
// concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

var _ ports.Engine = (*Client)(nil)

// New returns a client. The timeout bounds each call that is not a stream, and the
// wait for each line of a stream.
func New(timeout time.Duration) *Client {
	return &Client{http: serverhttp.NewClient(timeout), timeout: timeout}
}

// Generate implements ports.Engine. In addition to the errors of the port it
// returns BadRequest when the engine reports that no engine can run the request.
func (c *Client) Generate(ctx context.Context, server core.VM, request core.GenerateRequest, sink ports.ChunkSink) (core.StreamEnd, error) {
	call := streamCall{
		method: http.MethodPost, url: serverhttp.URL(server, GeneratePath),
		body: encodeGenerate(request), offset: len(request.Prefix),
	}
	return c.stream(ctx, server, call, sink)
}

// Resume implements ports.Engine.
func (c *Client) Resume(ctx context.Context, server core.VM, stream string, offset int, sink ports.ChunkSink) (core.StreamEnd, error) {
	target := StreamPath + url.PathEscape(stream) + "?offset=" + strconv.Itoa(offset)
	call := streamCall{method: http.MethodGet, url: serverhttp.URL(server, target), offset: offset}
	return c.stream(ctx, server, call, sink)
}

// Cancel implements ports.Engine. Errors: ServerRefused, ServerFailed,
// Canceled, Timeout.
func (c *Client) Cancel(ctx context.Context, server core.VM, stream string) error {
	target := serverhttp.URL(server, StreamPath+url.PathEscape(stream))
	err := c.call(ctx, server, http.MethodDelete, target, nil, nil)
	if errkind.Is(err, errkind.UnknownRequest) {
		return nil
	}
	return err
}

// Status implements ports.Engine. Errors: ServerRefused, ServerFailed,
// Canceled, Timeout.
func (c *Client) Status(ctx context.Context, server core.VM, cursor uint64) (core.EngineStatus, error) {
	var body StatusBody
	target := serverhttp.URL(server, StatusPath+"?cursor="+strconv.FormatUint(cursor, 10))
	if err := c.call(ctx, server, http.MethodGet, target, nil, &body); err != nil {
		return core.EngineStatus{}, err
	}
	return decodeStatus(server.ID, body), nil
}

// Order implements ports.Engine. In addition to the errors of the port it returns
// BadRequest for an order that the engine does not know.
func (c *Client) Order(ctx context.Context, server core.VM, order core.Order) error {
	if ctx.Err() != nil {
		return errkind.Wrap(errkind.Of(ctx.Err()), ctx.Err(), "order not sent to engine %s", server.ID)
	}
	err := c.call(ctx, server, http.MethodPost, serverhttp.URL(server, OrderPath), encodeOrder(order), nil)
	switch errkind.Of(err) {
	case errkind.ServerFailed, errkind.Canceled, errkind.Timeout:
		return errkind.Wrap(errkind.OutcomeUnknown, err, "engine %s did not answer an order", server.ID)
	default:
		return err
	}
}

func (c *Client) call(ctx context.Context, server core.VM, method, target string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := serverhttp.NewJSONRequest(ctx, method, target, in)
	if err != nil {
		return err
	}
	return serverhttp.CallJSON(c.http, server, request, out)
}
