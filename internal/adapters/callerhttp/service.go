package callerhttp

import (
	"io"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

const (
	idempotencyKeyHeader = "Idempotency-Key"
	idempotencyKeyLimit  = 200 // bytes
)

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

func (h *handlers) service(ctx iris.Context, sender auth.Identity) error {
	id, err := h.requestID(ctx)
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
	path := "/" + ctx.Params().Get("path")
	if query := ctx.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	response, err := h.callers.Call(ctx.Request().Context(), core.PlainRequest{
		ID: id, Caller: core.CallerName(sender.Name),
		Deployment: core.DeploymentName(ctx.Params().Get("deployment")),
		Method:     ctx.Method(), Path: path, Header: passHeaders(ctx.Request().Header),
		Body: body, Key: core.IdempotencyKey(key),
	})
	if err != nil {
		return err
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
