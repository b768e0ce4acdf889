// Package platformhttp sends single HTTP calls to the platform and tells what
// a failed one means. The adapters of the platform's ports share it.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"fescuespar/internal/errkind"
)

// Limits of the connections to the platform.
const (
	dialTimeout        = 2 * time.Second
	idleTimeout        = 60 * time.Second
	maxIdleConnections = 64
	maxReplyHeader     = 64 << 10 // bytes
	maxErrorText       = 512      // bytes of a refusal that errors quote
)

// Client sends calls to one platform. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the platform at a base URL such as
// "http://10.0.0.1:80". The timeout bounds each call.
func New(base string, timeout time.Duration) *Client {
	return NewOver(NewTransport(), base, timeout)
}

// NewTransport returns a transport with the connection policy of the platform's
// clients.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxReplyHeader,
		DisableCompression:     true,
	}
}

// NewOver is New with a transport of its own.
func NewOver(transport http.RoundTripper, base string, timeout time.Duration) *Client {
	keepRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base:    base,
		timeout: timeout,
		http:    &http.Client{Transport: transport, CheckRedirect: keepRedirect},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call is one call.
type Call struct {
	Method   string
	Path     string
	Query    url.Values
	Body     []byte
	Changes  bool  // the call changes the platform's state
	MaxBody  int64 // largest body that may be sent, in bytes
	MaxReply int64 // largest reply that is taken, in bytes
	Header   http.Header
	Answers  []int // statuses besides 200 whose reply is returned as an answer
}

// Do is DoStatus for a call that has one answer.
func (c *Client) Do(ctx context.Context, call Call) ([]byte, error) {
	_, answer, err := c.DoStatus(ctx, call)
	return answer, err
}

// DoStatus sends a call once and returns the reply's status and body.
//
// Errors: StoreUnavailable when the call surely had no effect, because it was
// not sent, was refused or changes nothing; OutcomeUnknown for any other loss
// of the reply; BadRequest, NotFound and TooLarge as the platform answers, or
// TooLarge for a body over MaxBody, which is not sent.
func (c *Client) DoStatus(ctx context.Context, call Call) (int, []byte, error) {
	if int64(len(call.Body)) > call.MaxBody {
		return 0, nil, errkind.New(errkind.TooLarge, "%s %s: body of %d bytes, at most %d may be sent",
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
		return 0, nil, call.lost(err, connected.Load())
	}
	defer response.Body.Close()
	answer, err := call.readReply(response)
	return response.StatusCode, answer, err
}

// DoJSON sends message as JSON and decodes the reply into reply. Errors as Do;
// a reply that cannot be decoded counts as lost.
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

// Decode decodes a reply's JSON body. A reply that cannot be decoded counts as
// lost.
func (call Call) Decode(answer []byte, into any) error {
	if err := json.Unmarshal(answer, into); err != nil {
		return call.lost(err, true)
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

// readReply returns the body of a success and the error of anything else.
func (call Call) readReply(response *http.Response) ([]byte, error) {
	limit := call.MaxReply
	answered := response.StatusCode == http.StatusOK || slices.Contains(call.Answers, response.StatusCode)
	if !answered {
		limit = maxErrorText
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if !answered {
		return nil, call.refused(response.StatusCode, body)
	}
	if err != nil {
		return nil, call.lost(err, true)
	}
	if int64(len(body)) > limit {
		tooLong := errkind.New(errkind.TooLarge, "the reply is longer than %d bytes", limit)
		return nil, call.lost(tooLong, true)
	}
	return body, nil
}

// lost returns the error of a call whose reply did not arrive whole.
func (call Call) lost(cause error, sent bool) error {
	if call.Changes && sent {
		return errkind.Wrap(errkind.OutcomeUnknown, cause, "%s %s", call.Method, call.Path)
	}
	return errkind.Wrap(errkind.StoreUnavailable, cause, "%s %s", call.Method, call.Path)
}

// refusals maps the statuses that say that a call had no effect.
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

func (call Call) refused(status int, text []byte) error {
	text = text[:min(len(text), maxErrorText)]
	if kind, known := refusals[status]; known {
		return errkind.New(kind, "%s %s: status %d: %s", call.Method, call.Path, status, text)
	}
	return call.lost(errkind.New(errkind.Internal, "status %d: %s", status, text), true)
}
