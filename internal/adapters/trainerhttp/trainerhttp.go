// Package trainerhttp is the front end for trainers, which publish weight
// versions and fetch the batch of a step.
package trainerhttp

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
	trainers ports.Trainers
}

// Register adds the trainers' routes to a Front.
func Register(front *httpfront.Front, trainers ports.Trainers) {
	h := &handlers{trainers: trainers}
	front.App.Post("/v1/trainers/{deployment}/weights", front.Authorize(h.weights, auth.RoleTrainer))
	front.App.Post("/v1/trainers/{deployment}/batch", front.Authorize(h.batch, auth.RoleTrainer))
}

type weightsBody struct {
	Version core.WeightVersion `json:"version"`
}

func (h *handlers) weights(ctx iris.Context, sender auth.Identity) error {
	var body weightsBody
	if err := httpfront.ReadJSON(ctx, &body); err != nil {
		return err
	}
	if body.Version == 0 {
		return errkind.New(errkind.BadRequest, "version is 0; it must be 1 or more")
	}
	deployment := core.DeploymentName(ctx.Params().Get("deployment"))
	err := h.trainers.PublishWeights(ctx.Request().Context(), core.CallerName(sender.Name), deployment, body.Version)
	if err != nil {
		return err
	}
	return httpfront.WriteJSON(ctx, http.StatusOK, body)
}

type batchRequestBody struct {
	Step    core.Step          `json:"step"`
	Version core.WeightVersion `json:"weight_version"`
}

type spanBody struct {
	From    int                `json:"from"`
	To      int                `json:"to"`
	Version core.WeightVersion `json:"weight_version"`
}

type sampleBody struct {
	ID     string            `json:"id"`
	Index  int               `json:"index"`
	Prompt string            `json:"prompt"`
	Text   string            `json:"text"`
	Tokens []string          `json:"tokens"`
	Score  float64           `json:"score"`
	Finish core.FinishReason `json:"finish_reason"`
	Spans  []spanBody        `json:"spans"`
}

type groupBody struct {
	PlannedStep core.Step    `json:"planned_step"`
	Index       int          `json:"index"`
	Samples     []sampleBody `json:"samples"`
}

type batchBody struct {
	Step    core.Step          `json:"step"`
	Version core.WeightVersion `json:"weight_version"`
	Groups  []groupBody        `json:"groups"`
}

func (h *handlers) batch(ctx iris.Context, sender auth.Identity) error {
	var body batchRequestBody
	if err := httpfront.ReadJSON(ctx, &body); err != nil {
		return err
	}
	if body.Step == 0 || body.Version == 0 {
		return errkind.New(errkind.BadRequest, "step is %d and weight_version is %d; both must be 1 or more", body.Step, body.Version)
	}
	batch, err := h.trainers.Batch(ctx.Request().Context(), core.CallerName(sender.Name), core.BatchRequest{
		Deployment: core.DeploymentName(ctx.Params().Get("deployment")),
		Step:       body.Step, Version: body.Version,
	})
	if err != nil {
		return err
	}
	return httpfront.WriteJSON(ctx, http.StatusOK, encodeBatch(&batch))
}

func encodeBatch(batch *core.Batch) batchBody {
	body := batchBody{Step: batch.Step, Version: batch.Version}
	for i := range batch.Groups {
		group := &batch.Groups[i]
		encoded := groupBody{PlannedStep: group.ID.Step, Index: group.ID.Index}
		for j := range group.Samples {
			encoded.Samples = append(encoded.Samples, encodeSample(&group.Samples[j]))
		}
		body.Groups = append(body.Groups, encoded)
	}
	return body
}

func encodeSample(sample *core.Sample) sampleBody {
	body := sampleBody{
		ID: sample.ID.String(), Index: sample.ID.Index, Prompt: sample.Prompt,
		Text: strings.Join(sample.Tokens, ""), Tokens: sample.Tokens,
		Score: sample.Score, Finish: sample.Finish,
	}
	for _, span := range sample.Spans {
		body.Spans = append(body.Spans, spanBody(span))
	}
	return body
}
