// Package httpfront holds what the HTTP front ends share: the iris application,
// authentication, body limits and the error body.
package httpfront

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/errkind"
)

// RequestIDHeader carries the id under which a request can be asked for again.
const RequestIDHeader = "X-Request-Id"

// Front is the HTTP application on which the front ends register their routes.
type Front struct {
	App    *iris.Application
	Tokens *auth.Tokens
	// BodyLimit is the largest request body in bytes.
	BodyLimit int64
}

// New returns a front without routes.
func New(tokens *auth.Tokens, bodyLimit int64) *Front {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		WriteError(ctx, errkind.New(errkind.NotFound, "no such path"))
	})
	app.OnErrorCode(http.StatusMethodNotAllowed, func(ctx iris.Context) {
		WriteError(ctx, errkind.New(errkind.BadRequest, "the path does not take method %s", ctx.Method()))
	})
	return &Front{App: app, Tokens: tokens, BodyLimit: bodyLimit}
}

// Handler returns the finished application.
func (f *Front) Handler() (http.Handler, error) {
	if err := f.App.Build(); err != nil {
		return nil, err
	}
	return f.App, nil
}

// HandlerFunc handles a request of an authenticated sender.
type HandlerFunc func(ctx iris.Context, sender auth.Identity) error

// For wraps a handler: it checks that the sender has one of the roles, bounds
// the body and writes the error that the handler returns.
func (f *Front) For(handle HandlerFunc, roles ...auth.Role) iris.Handler {
	return func(ctx iris.Context) {
		sender, err := f.Tokens.Require(ctx.GetHeader("Authorization"), roles...)
		if err != nil {
			WriteError(ctx, err)
			return
		}
		ctx.Request().Body = http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, f.BodyLimit)
		if err := handle(ctx, sender); err != nil {
			WriteError(ctx, err)
		}
	}
}

// ReadJSON decodes the body strictly. Errors: BadRequest, TooLarge.
func ReadJSON(ctx iris.Context, into any) error {
	decoder := json.NewDecoder(ctx.Request().Body)
	decoder.DisallowUnknownFields()
	return BodyError(decoder.Decode(into))
}

// BodyError gives an error of reading or decoding a body its kind.
func BodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	default:
		return errkind.Wrap(errkind.BadRequest, err, "the body can't be read")
	}
}

// WriteJSON writes an answer.
func WriteJSON(ctx iris.Context, status int, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encoding the answer")
	}
	ctx.ContentType("application/json")
	ctx.StatusCode(status)
	_, _ = ctx.Write(encoded)
	return nil
}

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error     ErrorDetail `json:"error"`
	RequestID string      `json:"request_id,omitempty"`
}

// ErrorDetail says what went wrong and whether the request was run.
type ErrorDetail struct {
	Kind      errkind.Kind `json:"kind"`
	Message   string       `json:"message"`
	Ran       errkind.Ran  `json:"ran"`
	Retryable bool         `json:"retryable"`
}

// ErrorOf returns the body for an error.
func ErrorOf(err error, requestID string) ErrorBody {
	answer := errkind.AnswerTo(err)
	return ErrorBody{
		Error: ErrorDetail{
			Kind: errkind.Of(err), Message: err.Error(),
			Ran: answer.Ran, Retryable: answer.Retryable,
		},
		RequestID: requestID,
	}
}

// WriteError writes an error's answer from the table of kinds.
func WriteError(ctx iris.Context, err error) {
	answer := errkind.AnswerTo(err)
	if answer.Retryable {
		ctx.Header("Retry-After", "1")
	}
	requestID := ctx.ResponseWriter().Header().Get(RequestIDHeader)
	_ = WriteJSON(ctx, answer.Status, ErrorOf(err, requestID))
}
