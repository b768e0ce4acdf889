package serverhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Refusal says in an error body why a backend server did not do what it was asked.
type Refusal string

// The refusals of the protocols for backend servers.
const (
	RefusalNotRun        Refusal = "not_run"        // the request was not run
	RefusalFenced        Refusal = "fenced"         // the order carries an old fencing number
	RefusalUnknownStream Refusal = "unknown_stream" // no stream has that id
	RefusalBadRequest    Refusal = "bad_request"    // the request can run nowhere
)

// ErrorBody is the JSON body of every answer that is not a success.
type ErrorBody struct {
	Refusal Refusal `json:"refusal"`
	Message string  `json:"message"`
}

// maxErrorBytes bounds an error body.
const maxErrorBytes = 16 << 10

var kinds = map[Refusal]errkind.Kind{
	RefusalNotRun:        errkind.ServerRefused,
	RefusalFenced:        errkind.Fenced,
	RefusalUnknownStream: errkind.UnknownRequest,
	RefusalBadRequest:    errkind.BadRequest,
}

// RefusalError returns the error for an answer that is not a success:
// ServerFailed unless the body holds one of the protocol's refusals.
func RefusalError(server core.VM, response *http.Response) error {
	var body ErrorBody
	raw, err := ReadBody(response.Body, maxErrorBytes)
	if err != nil || json.Unmarshal(raw, &body) != nil || kinds[body.Refusal] == "" {
		return errkind.New(errkind.ServerFailed, "backend server %s answered status %d", server.ID, response.StatusCode)
	}
	return errkind.New(kinds[body.Refusal], "backend server %s: %s", server.ID, body.Message)
}

// WriteRefusal writes an error body.
func WriteRefusal(w http.ResponseWriter, status int, refusal Refusal, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ErrorBody{Refusal: refusal, Message: message})
}

// TransportError returns the error for a request that got no whole answer:
// Canceled or Timeout when the context ended, ServerRefused when no connection
// was made, ServerFailed otherwise.
func TransportError(ctx context.Context, server core.VM, err error) error {
	if ended := ctx.Err(); ended != nil {
		return errkind.Wrap(errkind.Of(ended), err, "call to backend server %s", server.ID)
	}
	if isDialError(err) {
		return errkind.Wrap(errkind.ServerRefused, err, "no connection to backend server %s", server.ID)
	}
	return errkind.Wrap(errkind.ServerFailed, err, "backend server %s", server.ID)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errTooLarge reports a body over its bound.
var errTooLarge = errors.New("body over its bound")

// ReadBody reads a whole body of at most limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(raw)) > limit {
		return nil, errTooLarge
	}
	return raw, err
}

// maxDrained bounds what is read of a body that nobody wants, so that its
// connection can be kept.
const maxDrained = 4 << 10

// Drain reads the rest of a short body and closes it.
func Drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrained)
	_ = body.Close()
}
