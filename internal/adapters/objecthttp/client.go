// Package objecthttp implements ports.ObjectStore with the HTTP protocol of the
// platform.
package objecthttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
	"unicode/utf8"

	"fescuespar/internal/adapters/platformhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// Size limits of messages.
const (
	maxObjectBytes = 64 << 20
	maxListBytes   = 16 << 20
	maxEmptyBytes  = 1 << 10 // for replies without content
)

const (
	objectPath = "/object"
	listPath   = "/objects"
)

// Client is a ports.ObjectStore. It is safe for concurrent use.
type Client struct {
	platform *platformhttp.Client
}

var _ ports.ObjectStore = (*Client)(nil)

type keysMessage struct {
	Keys []core.ObjectKey `json:"keys"`
}

// New returns a client for the object store at a base URL such as
// "http://10.0.0.1:80". The timeout bounds each call.
func New(baseURL string, timeout time.Duration) *Client {
	return &Client{platform: platformhttp.New(baseURL, timeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.platform.Close() }

// Put implements ports.ObjectStore. In addition to the errors of the port it
// returns BadRequest for a key that is not valid UTF-8.
func (c *Client) Put(ctx context.Context, key core.ObjectKey, body []byte) error {
	call, err := objectCall(http.MethodPut, key)
	if err != nil {
		return err
	}
	call.Body = body
	call.IsWrite = true
	call.MaxReply = maxEmptyBytes
	_, err = c.platform.Do(ctx, call)
	return err
}

// Get implements ports.ObjectStore.
func (c *Client) Get(ctx context.Context, key core.ObjectKey) ([]byte, error) {
	call, err := objectCall(http.MethodGet, key)
	if err != nil {
		return nil, err
	}
	return c.platform.Do(ctx, call)
}

// Delete implements ports.ObjectStore. Errors: StoreUnavailable,
// OutcomeUnknown.
func (c *Client) Delete(ctx context.Context, key core.ObjectKey) error {
	call, err := objectCall(http.MethodDelete, key)
	if err != nil {
		return err
	}
	call.IsWrite = true
	call.MaxReply = maxEmptyBytes
	_, err = c.platform.Do(ctx, call)
	return err
}

// List implements ports.ObjectStore. Errors: StoreUnavailable.
func (c *Client) List(ctx context.Context, prefix, after core.ObjectKey, limit int) ([]core.ObjectKey, error) {
	if err := checkKey(prefix + after); err != nil {
		return nil, err
	}
	call := platformhttp.Call{
		Method: http.MethodGet,
		Path:   listPath,
		Query: url.Values{
			"prefix": {string(prefix)},
			"after":  {string(after)},
			"limit":  {strconv.Itoa(limit)},
		},
		MaxReply: maxListBytes,
	}
	answer, err := c.platform.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	var message keysMessage
	err = call.Decode(answer, &message)
	return message.Keys, err
}

func objectCall(method string, key core.ObjectKey) (platformhttp.Call, error) {
	call := platformhttp.Call{
		Method:   method,
		Path:     objectPath,
		Query:    url.Values{"key": {string(key)}},
		MaxBody:  maxObjectBytes,
		MaxReply: maxObjectBytes,
	}
	return call, checkKey(key)
}

// checkKey returns BadRequest for a key that is not valid UTF-8. The JSON of a list
// reply would alter it.
func checkKey(key core.ObjectKey) error {
	if !utf8.ValidString(string(key)) {
		return errkind.New(errkind.BadRequest, "object key %q is not valid UTF-8", key)
	}
	return nil
}
