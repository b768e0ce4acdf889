// Package operatorhttp is the front end for operators: configuration, status,
// state dump and metrics.
package operatorhttp

import (
	"io"
	"net/http"

	"github.com/kataras/iris/v12"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/adapters/httpfront"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

type handlers struct {
	operators ports.Operators
	// metricValues returns the current value of every metric by name.
	metricValues func() map[string]int64
}

// Register adds the operators' routes to a Front; metricValues returns the
// current value of every metric by name.
func Register(front *httpfront.Front, operators ports.Operators, metricValues func() map[string]int64) {
	h := &handlers{operators: operators, metricValues: metricValues}
	forOperator := func(handle httpfront.HandlerFunc) iris.Handler { return front.Authorize(handle, auth.RoleOperator) }
	front.App.Get("/v1/configuration", forOperator(h.configuration))
	front.App.Post("/v1/configuration", forOperator(h.publish))
	front.App.Get("/v1/status", forOperator(h.status))
	front.App.Get("/debug/state", forOperator(h.state))
	front.App.Get("/metrics", forOperator(h.metrics))
}

func (h *handlers) configuration(ctx iris.Context, _ auth.Identity) error {
	encoded, err := configjson.EncodeConfiguration(*h.operators.Configuration())
	if err != nil {
		return err
	}
	ctx.ContentType("application/json")
	_, _ = ctx.Write(encoded)
	return nil
}

// publish records the token's name as the operator and ignores the operator in
// the body.
func (h *handlers) publish(ctx iris.Context, sender auth.Identity) error {
	body, err := io.ReadAll(ctx.Request().Body)
	if err := httpfront.ClassifyBodyError(err); err != nil {
		return err
	}
	request, err := configjson.DecodePublish(body)
	if err != nil {
		return err
	}
	generation, err := h.operators.Publish(ctx.Request().Context(), sender.Name, request.Base, request.Deployments)
	if err != nil {
		return err
	}
	return httpfront.WriteJSON(ctx, http.StatusOK, configjson.Published{Generation: uint64(generation), Operator: sender.Name})
}

func (h *handlers) status(ctx iris.Context, _ auth.Identity) error {
	return httpfront.WriteJSON(ctx, http.StatusOK, encodeStatus(h.operators.Status()))
}

func encodeStatus(status core.Status) configjson.Status {
	body := configjson.Status{Generation: uint64(status.Generation), Warnings: []configjson.Warning{}}
	for _, member := range status.Members {
		body.Members = append(body.Members, configjson.MemberStatus{
			VM: string(member.VM), State: member.State.String(),
			Generation: uint64(member.Generation), Address: member.CallAddress,
		})
	}
	for _, d := range status.Deployments {
		body.Deployments = append(body.Deployments, configjson.DeploymentStatus{
			Name: string(d.Name), Version: uint64(d.Version), Step: uint64(d.Step),
			Queue: d.Queue, Running: d.Running, Owner: string(d.Owner),
		})
	}
	for _, w := range status.Warnings {
		body.Warnings = append(body.Warnings, configjson.Warning{
			Kind: string(w.Kind), Subject: w.Subject, Message: w.Message, Since: w.Since,
			Page: core.WarningPage, Section: w.Section,
		})
	}
	return body
}

func (h *handlers) state(ctx iris.Context, _ auth.Identity) error {
	return httpfront.WriteJSON(ctx, http.StatusOK, h.operators.State())
}

func (h *handlers) metrics(ctx iris.Context, _ auth.Identity) error {
	values := h.metricValues()
	if len(values) == 0 {
		return errkind.New(errkind.Internal, "no metrics are registered")
	}
	return httpfront.WriteJSON(ctx, http.StatusOK, values)
}
