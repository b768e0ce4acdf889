// Package callerhttp is the front end for callers: completions compatible with
// the OpenAI interface, calls to plain services, and the entry addresses.
package callerhttp

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/core"
	"fescuespar/internal/ports"
)

type handlers struct {
	callers ports.Callers
}

// Register adds the callers' routes to a Front.
func Register(front *httpfront.Front, callers ports.Callers) {
	h := &handlers{callers: callers}
	forCaller := func(handle httpfront.HandlerFunc) iris.Handler { return front.Authorize(handle, auth.RoleCaller) }
	front.App.Post("/v1/completions", forCaller(h.completions))
	front.App.Post("/v1/chat/completions", forCaller(h.chatCompletions))
	front.App.Get("/v1/requests/{id}", forCaller(h.resumeRequest))
	for _, method := range forwardedMethods {
		front.App.Handle(method, "/v1/services/{deployment}/{path:path}", forCaller(h.forwardCall))
	}
	front.App.Get("/v1/addresses", front.Authorize(h.addresses, auth.RoleCaller, auth.RoleTrainer, auth.RoleOperator))
}

type addressesBody struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds int      `json:"keep_seconds"`
}

func (h *handlers) addresses(ctx iris.Context, sender auth.Identity) error {
	list := h.callers.Addresses(core.CallerName(sender.Name))
	return httpfront.WriteJSON(ctx, http.StatusOK, addressesBody{
		Addresses:   list.Addresses,
		KeepSeconds: int(list.CacheFor.Seconds()),
	})
}
