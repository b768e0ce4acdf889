// Package platformhttp sends HTTP calls to the platform and maps failures to error
// kinds. It is shared by the adapters for services of the platform.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"fescuespar/internal/adapters/sendonce"
	"fescuespar/internal/errkind"
)

// Limits of the connections to the platform.
const (
	dialTimeout         = 2 * time.Second
	idleTimeout         = 60 * time.Second
	maxIdleConnections  = 64
	maxReplyHeaderBytes = 64 << 10
	maxErrorTextBytes   = 512 // bytes of an error reply that are quoted in errors
)

// Client sends calls to one platform. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client for the platform at a base URL such as
// "http://10.0.0.1:80". The timeout bounds each call.
func New(base string, timeout time.Duration) *Client {
	return NewWithTransport(NewTransport(), base, timeout)
}

// NewTransport returns a transport with the connection limits for calls to the
// platform. It sends a read once more if a kept connection ends before the reply, which
// says nothing about the platform: a read that fails counts as an outage.
func NewTransport() http.RoundTripper {
	return sendonce.NewRepeatingReads(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxReplyHeaderBytes,
		DisableCompression:     true,
	})
}

// NewWithTransport is like New but uses the given transport.
func NewWithTransport(transport http.RoundTripper, base string, timeout time.Duration) *Client {
	return &Client{
		base:    base,
		timeout: timeout,
		http:    sendonce.NewClient(transport, 0),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call describes an HTTP call to the platform.
type Call struct {
	Method           string
	Path             string
	Query            url.Values
	Body             []byte
	IsWrite          bool  // the call may change the state of the platform
	MaxBody          int64 // largest request body in bytes
	MaxReply         int64 // largest accepted reply in bytes
	Header           http.Header
	ExpectedStatuses []int // statuses other than 200 that are returned as success
}

// Do is like DoStatus but does not return the status.
func (c *Client) Do(ctx context.Context, call Call) ([]byte, error) {
	_, answer, err := c.DoStatus(ctx, call)
	return answer, err
}

// DoStatus sends a call once and returns the status and body of the reply.
//
// Errors: StoreUnavailable if the call failed and certainly had no effect, because
// it was not sent, was refused or changes nothing; OutcomeUnknown if there is no
// valid reply to any other call; BadRequest, NotFound and TooLarge as returned by
// the platform. A call with a body above MaxBody is not sent and fails with
// TooLarge.
func (c *Client) DoStatus(ctx context.Context, call Call) (int, []byte, error) {
	if int64(len(call.Body)) > call.MaxBody {
		return 0, nil, errkind.New(errkind.TooLarge, "%s %s: body of %d bytes exceeds the limit of %d",
			call.Method, call.Path, len(call.Body), call.MaxBody)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return 0, nil, errkind.Wrap(errkind.BadRequest, err, "%s %s", call.Method, call.Path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, call.noReply(err, connected.Load() && !errors.Is(err, sendonce.ErrNotSent))
	}
	defer response.Body.Close()
	answer, err := call.readReply(response)
	return response.StatusCode, answer, err
}

// DoJSON sends message as JSON and decodes the reply into reply. Errors: those of
// Do, which also apply to a reply that cannot be decoded.
func (c *Client) DoJSON(ctx context.Context, call Call, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "%s %s", call.Method, call.Path)
	}
	call.Body = body
	answer, err := c.Do(ctx, call)
	if err != nil {
		return err
	}
	return call.Decode(answer, reply)
}

// Decode decodes the JSON body of a reply to the call. If that fails, it returns the
// error of a call without a reply: OutcomeUnknown or StoreUnavailable.
func (call Call) Decode(answer []byte, into any) error {
	if err := json.Unmarshal(answer, into); err != nil {
		return call.noReply(err, true)
	}
	return nil
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	target := c.base + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err == nil && call.Header != nil {
		request.Header = call.Header.Clone()
	}
	return request, err
}

// readReply returns the body of a successful reply, or the error for any other
// reply.
func (call Call) readReply(response *http.Response) ([]byte, error) {
	limit := call.MaxReply
	succeeded := response.StatusCode == http.StatusOK || slices.Contains(call.ExpectedStatuses, response.StatusCode)
	if !succeeded {
		limit = maxErrorTextBytes
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, call.noReply(err, true)
	}
	if !succeeded {
		return nil, call.refusalError(response.StatusCode, body)
	}
	if int64(len(body)) > limit {
		tooLong := errkind.New(errkind.TooLarge, "reply exceeds the limit of %d bytes", limit)
		return nil, call.noReply(tooLong, true)
	}
	return body, nil
}

// noReply returns the error of a call without a complete and valid reply:
// OutcomeUnknown if the platform may have carried out a change, otherwise
// StoreUnavailable.
func (call Call) noReply(cause error, sent bool) error {
	if call.IsWrite && sent {
		return errkind.Wrap(errkind.OutcomeUnknown, cause, "%s %s", call.Method, call.Path)
	}
	return errkind.Wrap(errkind.StoreUnavailable, cause, "%s %s", call.Method, call.Path)
}

// refusals maps the statuses that mean that a call had no effect.
var refusals = map[int]errkind.Kind{
	http.StatusBadRequest:            errkind.BadRequest,
	http.StatusConflict:              errkind.BadRequest,
	http.StatusNotFound:              errkind.NotFound,
	http.StatusRequestEntityTooLarge: errkind.TooLarge,
	http.StatusServiceUnavailable:    errkind.StoreUnavailable,
	http.StatusTooManyRequests:       errkind.StoreUnavailable,
	http.StatusInsufficientStorage:   errkind.StoreUnavailable,
	http.StatusForbidden:             errkind.BadRequest,
}

func (call Call) refusalError(status int, text []byte) error {
	text = text[:min(len(text), maxErrorTextBytes)]
	if kind, known := refusals[status]; known {
		return errkind.New(kind, "%s %s: status %d: %s", call.Method, call.Path, status, text)
	}
	return call.noReply(errkind.New(errkind.Internal, "status %d: %s", status, text), true)
}
