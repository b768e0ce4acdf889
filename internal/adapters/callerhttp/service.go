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
	servicesPrefix         = "/v1/services/"
	idempotencyKeyHeader   = "Idempotency-Key"
	maxIdempotencyKeyBytes = 200 // bytes
)

// forwardedMethods are the HTTP methods that are forwarded to plain services.
var forwardedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// forwardedHeaders are the request and answer headers that are forwarded.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Content-Language"}

func selectHeaders(from http.Header) map[string]string {
	headers := make(map[string]string)
	for _, name := range forwardedHeaders {
		if value := from.Get(name); value != "" {
			headers[name] = value
		}
	}
	return headers
}

// validateIdempotencyKey checks that a key can be part of a row's id. Errors:
// BadRequest.
func validateIdempotencyKey(key string) error {
	notPrintable := func(r rune) bool { return r < ' ' || r > '~' }
	if len(key) > maxIdempotencyKeyBytes || strings.ContainsFunc(key, notPrintable) {
		return errkind.New(errkind.BadRequest, "idempotency key of %d bytes is invalid: it may have at most %d printable ASCII characters", len(key), maxIdempotencyKeyBytes)
	}
	return nil
}

// forwardedPath returns the path and query for the plain service. Each path must
// have a single spelling, because the path decides which calls may run only once:
// unnecessary escapes, encoded slashes, empty segments and dot segments are
// rejected. Errors: BadRequest.
func forwardedPath(ctx iris.Context) (string, error) {
	requested := ctx.Request().URL
	prefix := servicesPrefix + ctx.Params().Get("deployment")
	target, ok := strings.CutPrefix(requested.EscapedPath(), prefix)
	canonical := url.URL{Path: requested.Path}
	if !ok || canonical.EscapedPath() != requested.EscapedPath() || !isCanonical(requested.Path) {
		return "", errkind.New(errkind.BadRequest, "the path must have no unnecessary escapes, empty segments or dot segments")
	}
	if requested.RawQuery != "" {
		target += "?" + requested.RawQuery
	}
	return target, nil
}

// isCanonical reports whether a path has no control characters and is unchanged by
// path.Clean, apart from a trailing slash.
func isCanonical(decoded string) bool {
	if strings.ContainsFunc(decoded, unicode.IsControl) {
		return false
	}
	clean := path.Clean(decoded)
	return clean == decoded || clean+"/" == decoded
}

func (h *handlers) forwardCall(ctx iris.Context, sender auth.Identity) error {
	target, err := forwardedPath(ctx)
	if err != nil {
		return err
	}
	key := ctx.GetHeader(idempotencyKeyHeader)
	if err := validateIdempotencyKey(key); err != nil {
		return err
	}
	body, err := io.ReadAll(ctx.Request().Body)
	if err := httpfront.ClassifyBodyError(err); err != nil {
		return err
	}
	response, err := h.callers.Call(ctx.Request().Context(), core.PlainRequest{
		ID: httpfront.RequestID(ctx), Caller: core.CallerName(sender.Name),
		Deployment: core.DeploymentName(ctx.Params().Get("deployment")),
		Method:     ctx.Method(), Path: target, Header: selectHeaders(ctx.Request().Header),
		Body: body, Key: core.IdempotencyKey(key),
	})
	if err != nil {
		return err
	}
	return writePlainResponse(ctx, &response)
}

// writePlainResponse writes the answer of a plain service. Errors: ServerFailed
// for a status that is not a final HTTP status.
func writePlainResponse(ctx iris.Context, response *core.PlainResponse) error {
	if http.StatusText(response.Status) == "" || response.Status < http.StatusOK {
		return errkind.New(errkind.ServerFailed, "the service answered with invalid status %d", response.Status)
	}
	for _, name := range forwardedHeaders {
		if value := response.Header[name]; value != "" {
			ctx.Header(name, value)
		}
	}
	ctx.StatusCode(response.Status)
	_, _ = ctx.Write(response.Body)
	return nil
}
