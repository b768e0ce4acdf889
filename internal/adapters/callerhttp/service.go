package callerhttp

import (
	"io"
	"net/http"
	"net/url"
	"path"
	"strings"
	"unicode"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

const (
	servicesPrefix       = "/v1/services/"
	idempotencyKeyHeader = "Idempotency-Key"
	idempotencyKeyLimit  = 200 // bytes
)

// passedMethods are the methods that pass through.
var passedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// passedHeaders are the request and answer headers that pass through.
var passedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Content-Language"}

func passHeaders(from http.Header) map[string]string {
	passed := make(map[string]string)
	for _, name := range passedHeaders {
		if value := from.Get(name); value != "" {
			passed[name] = value
		}
	}
	return passed
}

// checkIdempotencyKey lets through what can be part of a row's id.
func checkIdempotencyKey(key string) error {
	notPrintable := func(r rune) bool { return r < ' ' || r > '~' }
	if len(key) > idempotencyKeyLimit || strings.ContainsFunc(key, notPrintable) {
		return errkind.New(errkind.BadRequest, "an idempotency key has at most %d printable ASCII characters", idempotencyKeyLimit)
	}
	return nil
}

// passedPath returns the path and query for the plain service. A path has one
// spelling only, because what may not run twice is told by the path: escapes
// that are not needed, encoded slashes, empty segments and dots are refused.
func passedPath(ctx iris.Context) (string, error) {
	requested := ctx.Request().URL
	prefix := servicesPrefix + ctx.Params().Get("deployment")
	passed, ok := strings.CutPrefix(requested.EscapedPath(), prefix)
	plain := url.URL{Path: requested.Path}
	if !ok || plain.EscapedPath() != requested.EscapedPath() || !isCanonical(requested.Path) {
		return "", errkind.New(errkind.BadRequest, "the path must be written without needless escapes, empty segments and dots")
	}
	if requested.RawQuery != "" {
		passed += "?" + requested.RawQuery
	}
	return passed, nil
}

// isCanonical reports whether a path has no control characters and cleaning
// leaves it as it is, but for a slash at its end.
func isCanonical(decoded string) bool {
	if strings.ContainsFunc(decoded, unicode.IsControl) {
		return false
	}
	clean := path.Clean(decoded)
	return clean == decoded || clean+"/" == decoded
}

func (h *handlers) service(ctx iris.Context, sender auth.Identity) error {
	target, err := passedPath(ctx)
	if err != nil {
		return err
	}
	key := ctx.GetHeader(idempotencyKeyHeader)
	if err := checkIdempotencyKey(key); err != nil {
		return err
	}
	body, err := io.ReadAll(ctx.Request().Body)
	if err := httpfront.BodyError(err); err != nil {
		return err
	}
	response, err := h.callers.Call(ctx.Request().Context(), core.PlainRequest{
		ID: httpfront.RequestID(ctx), Caller: core.CallerName(sender.Name),
		Deployment: core.DeploymentName(ctx.Params().Get("deployment")),
		Method:     ctx.Method(), Path: target, Header: passHeaders(ctx.Request().Header),
		Body: body, Key: core.IdempotencyKey(key),
	})
	if err != nil {
		return err
	}
	return writePlain(ctx, &response)
}

// writePlain writes a plain service's answer.
func writePlain(ctx iris.Context, response *core.PlainResponse) error {
	if http.StatusText(response.Status) == "" || response.Status < http.StatusOK {
		return errkind.New(errkind.ServerFailed, "the service answered with status %d", response.Status)
	}
	for _, name := range passedHeaders {
		if value := response.Header[name]; value != "" {
			ctx.Header(name, value)
		}
	}
	ctx.StatusCode(response.Status)
	_, _ = ctx.Write(response.Body)
	return nil
}
