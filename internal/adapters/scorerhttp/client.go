// Package scorerhttp implements ports.Scorer with the HTTP protocol of scoring
// services, which has JSON bodies.
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

// ScorePath is the path of the scoring call: POST ScoreBody, returns AnswerBody.
const ScorePath = "/score"

// ScoreBody is the request to score one sample.
type ScoreBody struct {
	Deployment core.DeploymentName `json:"deployment"`
	ID         string              `json:"id"`
	Prompt     string              `json:"prompt"`
	Tokens     []string            `json:"tokens"`
	Finish     core.FinishReason   `json:"finish_reason"`
}

// AnswerBody is the response with the score of a sample. A response without a score
// is a failure.
type AnswerBody struct {
	Score *float64 `json:"score"`
}

// Client calls scoring services and pools its connections to them. It is safe for
// concurrent use.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

var _ ports.Scorer = (*Client)(nil)

// New returns a client. The timeout bounds each call.
func New(timeout time.Duration) *Client {
	return &Client{http: serverhttp.NewClient(timeout), timeout: timeout}
}

// Score implements ports.Scorer. In addition to the errors of the port it returns
// Canceled, and BadRequest when the service reports that the sample cannot be
// scored.
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
	var response AnswerBody
	if err := serverhttp.CallJSON(c.http, server, request, &response); err != nil {
		return 0, err
	}
	if response.Score == nil {
		return 0, errkind.New(errkind.ServerFailed, "response of scoring service %s has no score", server.ID)
	}
	return *response.Score, nil
}
