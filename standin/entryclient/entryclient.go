// Package entryclient is the client of the entry VMs that the stand-ins for
// callers and trainers share. It maintains the list of entry VM addresses and
// switches to the next address when one fails.
package entryclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"fescuespar/internal/adapters/sendonce"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
	"fescuespar/standin/httpjson"
)

// Limits of the client.
const (
	responseHeaderTimeout = 30 * time.Second
	addressesTimeout      = 2 * time.Second
	maxBodyBytes          = 64 << 20
	initialRetryDelay     = 50 * time.Millisecond // before the first retry
	maxRetryDelay         = time.Second
)

// Header names of the entry interface.
const (
	RequestIDHeader   = "X-Request-Id"
	LastEventIDHeader = "Last-Event-ID"
	KeyHeader         = "Idempotency-Key"
)

// Failure is an error response of an entry VM.
type Failure struct {
	Status    int // HTTP status code; zero for an error event within a stream
	Kind      errkind.Kind
	Message   string
	Ran       errkind.Execution
	Retryable bool
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Message }

// FailureBody is the JSON encoding of a failure.
type FailureBody struct {
	Error *struct {
		Kind      errkind.Kind      `json:"kind"`
		Message   string            `json:"message"`
		Ran       errkind.Execution `json:"ran"`
		Retryable bool              `json:"retryable"`
	} `json:"error"`
}

// Failure returns the decoded failure, or nil if the body contains none.
func (b *FailureBody) Failure(status int) *Failure {
	if b.Error == nil {
		return nil
	}
	e := b.Error
	return &Failure{Status: status, Kind: e.Kind, Message: e.Message, Ran: e.Ran, Retryable: e.Retryable}
}

// Client sends requests to the entry VMs on behalf of one caller or trainer.
type Client struct {
	token string
	http  *http.Client

	// mu guards all fields below.
	mu        lockrank.Mutex
	addresses []string // the one in use is first
	refreshAt time.Time
}

// New returns a client with the given initial addresses, each of the form
// host:port.
func New(addresses []string, token string) *Client {
	transport := sendonce.New(&http.Transport{ResponseHeaderTimeout: responseHeaderTimeout})
	return &Client{
		token: token, http: sendonce.NewClient(transport, 0),
		mu: lockrank.New(lockrank.RankExternal), addresses: slices.Clone(addresses),
	}
}

// Request is one request to an entry VM.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Send sends a request to the current address, after refreshing the list of
// addresses if it has expired. The caller closes the response's body. It
// returns a *Failure for an error response; any other error means that no
// response arrived, and the next request goes to the next address.
func (c *Client) Send(ctx context.Context, request Request) (*http.Response, error) {
	c.refreshAddressesIfDue(ctx)
	address := c.address()
	response, err := c.sendTo(ctx, address, request)
	if err != nil {
		c.RotateFrom(address)
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	failure := readFailure(response)
	if failure.Retryable {
		c.RotateFrom(address)
	}
	return nil, failure
}

// SendJSON sends a request and returns the body of its response.
func (c *Client) SendJSON(ctx context.Context, request Request) ([]byte, error) {
	response, err := c.Send(ctx, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
}

// RotateFrom moves an address to the end of the list if it is the current one.
func (c *Client) RotateFrom(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) > 1 && c.addresses[0] == address {
		c.addresses = append(c.addresses[1:], address)
	}
}

// RotateAddress switches to the next address.
func (c *Client) RotateAddress() { c.RotateFrom(c.address()) }

func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[0]
}

func (c *Client) sendTo(ctx context.Context, address string, request Request) (*http.Response, error) {
	out, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	if request.Header != nil {
		out.Header = request.Header.Clone()
	}
	out.Header.Set("Authorization", "Bearer "+c.token)
	if len(request.Body) > 0 && out.Header.Get("Content-Type") == "" {
		out.Header.Set("Content-Type", "application/json")
	}
	return c.http.Do(out)
}

func readFailure(response *http.Response) *Failure {
	raw, _ := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	var body FailureBody
	if json.Unmarshal(raw, &body) == nil {
		if failure := body.Failure(response.StatusCode); failure != nil {
			return failure
		}
	}
	return &Failure{Status: response.StatusCode, Kind: errkind.Internal, Message: string(raw), Ran: errkind.PossiblyRun}
}

// Backoff waits between retries with an exponentially increasing delay.
type Backoff struct {
	delay time.Duration
}

// Wait waits for the next delay or until the context ends.
func (b *Backoff) Wait(ctx context.Context) error {
	b.delay = min(max(initialRetryDelay, 2*b.delay), maxRetryDelay)
	return httpjson.Sleep(ctx, b.delay)
}
