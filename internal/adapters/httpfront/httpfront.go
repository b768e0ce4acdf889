// Package httpfront provides the code common to the HTTP front ends: the iris
// application, authentication, body limits and the error body.
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
	"fescuespar/internal/adapters/httpguard"
	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Front is the HTTP application in which the front ends register their routes.
type Front struct {
	App *iris.Application

	options Options
}

// Options configure authentication, limits and hooks of a Front.
type Options struct {
	Tokens *auth.Tokens
	// BodyLimit is the largest request body in bytes.
	BodyLimit int64
	// NewRequestID returns the id for a request that has no valid one.
	NewRequestID func() core.RequestID
	// OnPanic is called with the value and stack of a handler's panic; it may be
	// nil.
	OnPanic func(value any, stack []byte)
}

// New returns a Front without routes.
func New(options Options) *Front {
	front := &Front{App: iris.New(), options: options}
	app := front.App
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithFireMethodNotAllowed)
	app.UseRouter(front.assignRequestID)
	app.OnErrorCode(http.StatusNotFound, unroutedHandler(errkind.New(errkind.NotFound, "no route has this path")))
	app.OnErrorCode(http.StatusMethodNotAllowed,
		unroutedHandler(errkind.New(errkind.MethodNotAllowed, "the method is not allowed for this path")))
	return front
}

// routedKey is the key in iris's request values that marks a request for which a
// handler was called.
const routedKey = "fescuespar.routed"

// unroutedHandler writes the error for a request without a matching route. Iris
// also calls it after a handler that answered with that status; that answer is
// left unchanged.
func unroutedHandler(err error) iris.Handler {
	return func(ctx iris.Context) {
		if !ctx.Values().GetBoolDefault(routedKey, false) {
			WriteError(ctx, err)
		}
	}
}

// Handler builds the application after all routes are registered.
func (f *Front) Handler() (http.Handler, error) {
	if err := f.App.Build(); err != nil {
		return nil, err
	}
	return f.App, nil
}

// Memory that a body takes, in bytes for each of its bytes.
const (
	bodyMemoryFactor = 3  // as read: io.ReadAll copies it while it grows
	jsonMemoryFactor = 24 // beside that, if decoded: an array of the smallest objects
)

// HandlerFunc handles a request from an authenticated sender.
type HandlerFunc func(ctx iris.Context, sender auth.Identity) error

// Authorize wraps a handler: it checks that the sender has one of the roles,
// limits the size of the body and writes the error that the handler returns. A
// panic is answered as Internal, or by aborting the connection when part of the
// answer has been sent already.
func (f *Front) Authorize(handle HandlerFunc, roles ...auth.Role) iris.Handler {
	return func(ctx iris.Context) {
		ctx.Values().Set(routedKey, true)
		defer f.recover(ctx)
		sender, err := f.options.Tokens.Authorize(ctx.GetHeader("Authorization"), roles...)
		if err == nil {
			err = ValidateRequestID(ctx.GetHeader(RequestIDHeader))
		}
		if err != nil {
			WriteError(ctx, err)
			return
		}
		counted := httpguard.CountBody(ctx.Request(), ctx.Request().Body, bodyMemoryFactor)
		ctx.Request().Body = http.MaxBytesReader(ctx.ResponseWriter().Naive(), counted, f.options.BodyLimit)
		if err := handle(ctx, sender); err != nil {
			WriteError(ctx, err)
		}
	}
}

// recover handles a panic of a handler; it must be deferred.
func (f *Front) recover(ctx iris.Context) {
	value := recover()
	if value == nil {
		return
	}
	if f.options.OnPanic != nil && value != http.ErrAbortHandler {
		f.options.OnPanic(value, debug.Stack())
	}
	if ctx.ResponseWriter().Written() > 0 || value == http.ErrAbortHandler {
		panic(http.ErrAbortHandler)
	}
	WriteError(ctx, errkind.New(errkind.Internal, "internal error while handling the request"))
}

// ReadJSON decodes the body strictly: unknown fields and data after the value
// are rejected. Errors: BadRequest, TooLarge, Overloaded.
func ReadJSON(ctx iris.Context, target any) error {
	decoder := json.NewDecoder(httpguard.CountBody(ctx.Request(), ctx.Request().Body, jsonMemoryFactor))
	decoder.DisallowUnknownFields()
	if err := ClassifyBodyError(decoder.Decode(target)); err != nil {
		return err
	}
	_, err := decoder.Token()
	switch {
	case err == io.EOF:
		return nil
	case err == nil:
		return errkind.New(errkind.BadRequest, "the body has data after its JSON value")
	default:
		return ClassifyBodyError(err)
	}
}

// ClassifyBodyError returns an error of reading or decoding a body with its kind:
// TooLarge, BadRequest or Overloaded. It returns nil for nil.
func ClassifyBodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(errkind.BadRequest, err, "the body did not arrive in time")
	case errors.Is(err, memorybudget.ErrNoMemory):
		return errkind.Wrap(errkind.Overloaded, err, "the process has no memory for the body")
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	default:
		return errkind.Wrap(errkind.BadRequest, err, "the body cannot be read or decoded")
	}
}

// WriteJSON writes an answer with a JSON body. Errors: Internal when the body
// cannot be encoded.
func WriteJSON(ctx iris.Context, status int, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode the answer")
	}
	ctx.ContentType("application/json")
	ctx.StatusCode(status)
	_, _ = ctx.Write(encoded)
	return nil
}
