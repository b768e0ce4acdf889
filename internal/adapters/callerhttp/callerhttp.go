// Package callerhttp is the front end for callers: completions compatible with
// the OpenAI interface, calls to plain services, and the entry addresses.
package callerhttp

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

type handlers struct {
	callers ports.Callers
}

// Register adds the callers' routes to a front.
func Register(front *httpfront.Front, callers ports.Callers) {
	h := &handlers{callers: callers}
	forCaller := func(handle httpfront.HandlerFunc) iris.Handler { return front.For(handle, auth.RoleCaller) }
	front.App.Post("/v1/completions", forCaller(h.completions))
	front.App.Post("/v1/chat/completions", forCaller(h.chatCompletions))
	front.App.Get("/v1/requests/{id}", forCaller(h.request))
	front.App.Any("/v1/services/{deployment}/{path:path}", forCaller(h.service))
	front.App.Get("/v1/addresses", front.For(h.addresses, auth.RoleCaller, auth.RoleTrainer, auth.RoleOperator))
}

// requestIDLimit bounds the length of a request id in bytes.
const requestIDLimit = 128

// requestID returns the request's id, a new one if the caller gave none, and
// puts it into the answer.
func (h *handlers) requestID(ctx iris.Context) (core.RequestID, error) {
	id := ctx.GetHeader(httpfront.RequestIDHeader)
	if id == "" {
		id = string(h.callers.NewRequestID())
	}
	if err := checkRequestID(id); err != nil {
		return "", err
	}
	ctx.Header(httpfront.RequestIDHeader, id)
	return core.RequestID(id), nil
}

func checkRequestID(id string) error {
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

type addressesBody struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds int      `json:"keep_seconds"`
}

func (h *handlers) addresses(ctx iris.Context, sender auth.Identity) error {
	list := h.callers.Addresses(core.CallerName(sender.Name))
	return httpfront.WriteJSON(ctx, http.StatusOK, addressesBody{
		Addresses:   list.Addresses,
		KeepSeconds: int(list.Keep.Seconds()),
	})
}
