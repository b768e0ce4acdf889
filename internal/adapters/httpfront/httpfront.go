// Package httpfront holds what the HTTP front ends share: the iris application,
// authentication, body limits and the error body.
package httpfront

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Front is the HTTP application on which the front ends register their routes.
type Front struct {
	App *iris.Application

	options Options
}

// Options say whom a front serves and within what limits.
type Options struct {
	Tokens *auth.Tokens
	// BodyLimit is the largest request body in bytes.
	BodyLimit int64
	// NewRequestID names a request that came without an id.
	NewRequestID func() core.RequestID
	// Panicked is told of a handler's panic and its stack; nil for nobody.
	Panicked func(value any, stack []byte)
}

// New returns a front without routes.
func New(options Options) *Front {
	front := &Front{App: iris.New(), options: options}
	app := front.App
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithFireMethodNotAllowed)
	app.UseRouter(front.identify)
	app.OnErrorCode(http.StatusNotFound, unrouted(errkind.New(errkind.NotFound, "no such path")))
	app.OnErrorCode(http.StatusMethodNotAllowed,
		unrouted(errkind.New(errkind.MethodNotAllowed, "the path does not take this method")))
	return front
}

// routedKey marks a request that reached a handler in iris's request values.
const routedKey = "fescuespar.routed"

// unrouted writes the error of a request that reached no handler. Iris also
// calls it after a handler whose answer has that status; such an answer stays.
func unrouted(err error) iris.Handler {
	return func(ctx iris.Context) {
		if !ctx.Values().GetBoolDefault(routedKey, false) {
			WriteError(ctx, err)
		}
	}
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
// the body and writes the error that the handler returns. A panic is answered
// as Internal or, when a part of the answer has left, by cutting the connection.
func (f *Front) For(handle HandlerFunc, roles ...auth.Role) iris.Handler {
	return func(ctx iris.Context) {
		ctx.Values().Set(routedKey, true)
		defer f.recover(ctx)
		sender, err := f.options.Tokens.Require(ctx.GetHeader("Authorization"), roles...)
		if err == nil {
			err = CheckRequestID(ctx.GetHeader(RequestIDHeader))
		}
		if err != nil {
			WriteError(ctx, err)
			return
		}
		ctx.Request().Body = http.MaxBytesReader(ctx.ResponseWriter().Naive(), ctx.Request().Body, f.options.BodyLimit)
		if err := handle(ctx, sender); err != nil {
			WriteError(ctx, err)
		}
	}
}

func (f *Front) recover(ctx iris.Context) {
	value := recover()
	if value == nil {
		return
	}
	if f.options.Panicked != nil && value != http.ErrAbortHandler {
		f.options.Panicked(value, debug.Stack())
	}
	if ctx.ResponseWriter().Written() > 0 || value == http.ErrAbortHandler {
		panic(http.ErrAbortHandler)
	}
	WriteError(ctx, errkind.New(errkind.Internal, "the request could not be handled"))
}

// ReadJSON decodes the body strictly: unknown fields and data after the value
// are refused. Errors: BadRequest, TooLarge.
func ReadJSON(ctx iris.Context, into any) error {
	decoder := json.NewDecoder(ctx.Request().Body)
	decoder.DisallowUnknownFields()
	if err := BodyError(decoder.Decode(into)); err != nil {
		return err
	}
	_, err := decoder.Token()
	switch {
	case err == io.EOF:
		return nil
	case err == nil:
		return errkind.New(errkind.BadRequest, "the body goes on after its JSON value")
	default:
		return BodyError(err)
	}
}

// BodyError gives an error of reading or decoding a body its kind.
func BodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(errkind.BadRequest, err, "the body did not arrive in time")
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
