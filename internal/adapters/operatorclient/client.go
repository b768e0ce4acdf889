// Package operatorclient is a client of the service's HTTP interface for
// operators.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/adapters/sendonce"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

const maxAnswerBytes = 64 << 20

// Client sends requests to one entry process. Its methods return PeerUnreachable
// when the process cannot be reached, otherwise the error kind of its answer.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the entry process at an address, which is host:port or a
// URL. The client authenticates with the token and uses no proxy. Each request takes at most
// the timeout, and opens a connection of its own, as commands send few.
func New(address, token string, timeout time.Duration) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	transport := sendonce.New(&http.Transport{DisableKeepAlives: true})
	return &Client{strings.TrimSuffix(address, "/"), token, sendonce.NewClient(transport, timeout)}
}

// Configuration returns the configuration in force.
func (c *Client) Configuration(ctx context.Context) (core.Configuration, error) {
	body, err := c.call(ctx, http.MethodGet, "/v1/configuration", nil)
	if err != nil {
		return core.Configuration{}, err
	}
	return configjson.DecodeConfiguration(body)
}

// Publish publishes a configuration and returns its generation. Additional errors:
// GenerationConflict, and OutcomeUnknown when the reply was lost.
func (c *Client) Publish(ctx context.Context, request configjson.PublishRequest) (core.Generation, error) {
	published, err := c.PublishWithResult(ctx, request)
	return core.Generation(published.Generation), err
}

// PublishWithResult publishes a configuration and returns its generation and the recorded
// operator. Errors are those of Publish.
func (c *Client) PublishWithResult(ctx context.Context, request configjson.PublishRequest) (configjson.Published, error) {
	body, err := configjson.EncodePublish(request)
	if err != nil {
		return configjson.Published{}, err
	}
	var published configjson.Published
	err = c.decode(ctx, http.MethodPost, "/v1/configuration", body, &published)
	return published, err
}

// Status returns the service's status as known to the process.
func (c *Client) Status(ctx context.Context) (configjson.Status, error) {
	var status configjson.Status
	err := c.decode(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Addresses returns the addresses that callers should use.
func (c *Client) Addresses(ctx context.Context) (configjson.Addresses, error) {
	var addresses configjson.Addresses
	err := c.decode(ctx, http.MethodGet, "/v1/addresses", nil, &addresses)
	return addresses, err
}

// Dump returns the state dump of the process as JSON.
func (c *Client) Dump(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/debug/state", nil)
}

func (c *Client) decode(ctx context.Context, method, path string, body []byte, target any) error {
	answer, err := c.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, target); err != nil {
		return errkind.Wrap(lostAnswerKind(method), err, "%s %s: decode the answer", method, path)
	}
	return nil
}

// call sends one request and returns the body of a successful answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "address %q", c.base)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errkind.Wrap(transportKind(method, err), err, "reach the service")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(answer) > maxAnswerBytes {
		return nil, errkind.New(lostAnswerKind(method), "%s %s: the answer was truncated or is larger than %d bytes", method, path, maxAnswerBytes)
	}
	if response.StatusCode != http.StatusOK {
		return nil, answerError(method, response.StatusCode, answer)
	}
	return answer, nil
}

// transportKind returns the error kind of a request without an answer. If nothing of
// it was sent, it cannot have had an effect.
func transportKind(method string, err error) errkind.Kind {
	if errors.Is(err, sendonce.ErrNotSent) {
		return errkind.PeerUnreachable
	}
	return lostAnswerKind(method)
}

// lostAnswerKind returns the error kind of a request that was sent but whose
// answer cannot be read.
func lostAnswerKind(method string) errkind.Kind {
	if method == http.MethodGet {
		return errkind.PeerUnreachable
	}
	return errkind.OutcomeUnknown
}

// answerError returns the error of an answer with an error status.
func answerError(method string, status int, body []byte) error {
	var answer configjson.ErrorAnswer
	kind := lostAnswerKind(method)
	if err := json.Unmarshal(body, &answer); err != nil {
		return errkind.New(kind, "status %d with an error body that cannot be decoded", status)
	}
	if named := errkind.Kind(answer.Error.Kind); slices.Contains(errkind.Kinds(), named) {
		kind = named
	}
	return errkind.New(kind, "%s (request %s)", answer.Error.Message, answer.RequestID)
}
