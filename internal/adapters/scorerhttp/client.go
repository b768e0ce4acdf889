// Package scorerhttp implements ports.Scorer over the scoring services'
// protocol: HTTP with JSON bodies.
package scorerhttp

import (
	"context"
	"net/http"
	"time"

	"fescuespar/internal/adapters/serverhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// ScorePath takes a POST of a ScoreBody, answered with an AnswerBody.
const ScorePath = "/score"

// ScoreBody is a sample to score.
type ScoreBody struct {
	Deployment core.DeploymentName `json:"deployment"`
	ID         string              `json:"id"`
	Prompt     string              `json:"prompt"`
	Tokens     []string            `json:"tokens"`
	Finish     core.FinishReason   `json:"finish_reason"`
}

// AnswerBody is the score of a sample. An answer without score is a failure.
type AnswerBody struct {
	Score *float64 `json:"score"`
}

// Client talks to every scoring service; it keeps connections to each.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

var _ ports.Scorer = (*Client)(nil)

// New returns a client. The timeout bounds each call.
func New(timeout time.Duration) *Client {
	return &Client{http: serverhttp.NewClient(timeout), timeout: timeout}
}

// Score implements ports.Scorer. Errors besides those of the port: Canceled,
// and BadRequest when the service says that the sample cannot be scored.
func (c *Client) Score(ctx context.Context, server core.VM, sample core.Sample) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body := ScoreBody{
		Deployment: sample.Deployment, ID: sample.ID.String(),
		Prompt: sample.Prompt, Tokens: sample.Tokens, Finish: sample.Finish,
	}
	request, err := serverhttp.NewJSONRequest(ctx, http.MethodPost, serverhttp.URL(server, ScorePath), body)
	if err != nil {
		return 0, err
	}
	var answer AnswerBody
	if err := serverhttp.CallJSON(c.http, server, request, &answer); err != nil {
		return 0, err
	}
	if answer.Score == nil {
		return 0, errkind.New(errkind.ServerFailed, "%s answered without score", server.ID)
	}
	return *answer.Score, nil
}
