package serverhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"fescuespar/internal/adapters/sendonce"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Refusal is the reason in an error body for which a backend server refused a
// request.
type Refusal string

// The refusals of the protocols for backend servers.
const (
	RefusalNotRun        Refusal = "not_run"        // the server did not run the request
	RefusalFenced        Refusal = "fenced"         // the fencing number of the order is outdated
	RefusalUnknownStream Refusal = "unknown_stream" // there is no stream with the id
	RefusalBadRequest    Refusal = "bad_request"    // no server can run the request
)

// ErrorBody is the JSON body of a response without a success status.
type ErrorBody struct {
	Refusal Refusal `json:"refusal"`
	Message string  `json:"message"`
}

// maxErrorBytes is the largest error body that is read.
const maxErrorBytes = 16 << 10

var refusalKinds = map[Refusal]errkind.Kind{
	RefusalNotRun:        errkind.ServerRefused,
	RefusalFenced:        errkind.Fenced,
	RefusalUnknownStream: errkind.UnknownRequest,
	RefusalBadRequest:    errkind.BadRequest,
}

// RefusalError returns the error for a response without a success status. Its kind
// is that of the refusal in the body, or ServerFailed if there is none.
func RefusalError(server core.VM, response *http.Response) error {
	var body ErrorBody
	content, err := ReadBody(response.Body, maxErrorBytes)
	if err != nil || json.Unmarshal(content, &body) != nil || refusalKinds[body.Refusal] == "" {
		return errkind.New(errkind.ServerFailed, "backend server %s returned status %d without a known refusal", server.ID, response.StatusCode)
	}
	return errkind.New(refusalKinds[body.Refusal], "backend server %s: %s", server.ID, body.Message)
}

// WriteRefusal writes a response with the status and an error body.
func WriteRefusal(w http.ResponseWriter, status int, refusal Refusal, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ErrorBody{Refusal: refusal, Message: message})
}

// TransportError returns the error for a request without a complete response:
// Canceled or Timeout if the context ended, ServerRefused if nothing of the request
// was sent, ServerFailed otherwise.
func TransportError(ctx context.Context, server core.VM, err error) error {
	if ended := ctx.Err(); ended != nil {
		return errkind.Wrap(errkind.Of(ended), err, "request to backend server %s", server.ID)
	}
	if errors.Is(err, sendonce.ErrNotSent) {
		return errkind.Wrap(errkind.ServerRefused, err, "connect to backend server %s", server.ID)
	}
	return errkind.Wrap(errkind.ServerFailed, err, "request to backend server %s", server.ID)
}

// errTooLarge reports a body that exceeds its size limit.
var errTooLarge = errors.New("body exceeds its size limit")

// ReadBody reads a body to its end. It returns an error if the body has more than
// limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(content)) > limit {
		return nil, errTooLarge
	}
	return content, err
}

// maxDrainedBytes bounds how much of an unneeded body is read to make its
// connection reusable.
const maxDrainedBytes = 4 << 10

// Drain reads up to 4 KiB of a body and closes it. The connection can be reused if
// that was the rest of the body.
func Drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainedBytes)
	_ = body.Close()
}
