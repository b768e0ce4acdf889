package httpfront

import (
	"strings"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// RequestIDHeader is the header with the request's id, by which its answer can be
// fetched again.
const RequestIDHeader = "X-Request-Id"

// maxRequestIDBytes is the longest request id.
const maxRequestIDBytes = 128

// assignRequestID sets the request id header of every answer: the sender's id, or
// a new one when the sender's is missing or invalid.
func (f *Front) assignRequestID(ctx iris.Context) {
	id := ctx.GetHeader(RequestIDHeader)
	if id == "" || ValidateRequestID(id) != nil {
		id = string(f.options.NewRequestID())
	}
	ctx.Header(RequestIDHeader, id)
	ctx.Next()
}

// RequestID returns the request id in the header of the answer.
func RequestID(ctx iris.Context) core.RequestID {
	return core.RequestID(ctx.ResponseWriter().Header().Get(RequestIDHeader))
}

// ValidateRequestID checks the length and characters of a request id; an empty id
// is valid. Errors: BadRequest.
func ValidateRequestID(id string) error {
	if len(id) > maxRequestIDBytes || strings.ContainsFunc(id, isInvalidIDRune) {
		return errkind.New(errkind.BadRequest,
			"request id of %d bytes is invalid: it may have at most %d letters, digits and the characters . _ -", len(id), maxRequestIDBytes)
	}
	return nil
}

func isInvalidIDRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("._-", r)
	}
}
