package httpfront

import (
	"strings"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// RequestIDHeader carries the id under which a request can be asked for again.
const RequestIDHeader = "X-Request-Id"

// requestIDLimit bounds the length of a request id in bytes.
const requestIDLimit = 128

// identify puts a request id into every answer: the sender's, or a new one when
// the sender gave none that can be used.
func (f *Front) identify(ctx iris.Context) {
	id := ctx.GetHeader(RequestIDHeader)
	if id == "" || CheckRequestID(id) != nil {
		id = string(f.options.NewRequestID())
	}
	ctx.Header(RequestIDHeader, id)
	ctx.Next()
}

// RequestID returns the id that the answer carries.
func RequestID(ctx iris.Context) core.RequestID {
	return core.RequestID(ctx.ResponseWriter().Header().Get(RequestIDHeader))
}

// CheckRequestID lets through what can be a request id, and the empty one.
// Errors: BadRequest.
func CheckRequestID(id string) error {
	if len(id) > requestIDLimit || strings.ContainsFunc(id, isNotIDRune) {
		return errkind.New(errkind.BadRequest,
			"a request id has at most %d letters, digits and the characters . _ -", requestIDLimit)
	}
	return nil
}

func isNotIDRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("._-", r)
	}
}
