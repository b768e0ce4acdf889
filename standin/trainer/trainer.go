// Package trainer is a stand-in for a trainer: for each step it publishes a
// weight version, fetches the batch and checks its samples.
package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/standin/entryclient"
	"fescuespar/standin/httpjson"
)

// Options configures a run.
type Options struct {
	Addresses      []string // initial entry VM addresses, host:port
	Token          string
	Deployment     core.DeploymentName
	FirstStep      core.Step
	FirstVersion   core.WeightVersion // version published for the first step; incremented by one for each further step
	Steps          int
	StalenessBound uint64
	StepTime       time.Duration // simulated duration of training on a batch
	StepTimeout    time.Duration // for publishing and fetching in one step, including all retries
	FetchTwice     bool          // fetch each batch a second time and compare the copies

	// PutWeights stores the weights of a version before it is published. Nil
	// stores none.
	PutWeights func(ctx context.Context, version core.WeightVersion) error
	// Output receives one JSON line, a StepReport, for each step. Nil discards
	// them.
	Output io.Writer
}

// StepReport is the result of one step.
type StepReport struct {
	Step          core.Step          `json:"step"`
	WeightVersion core.WeightVersion `json:"weight_version"`
	Groups        int                `json:"groups"`
	Samples       int                `json:"samples"`
	Repeated      int                `json:"repeated"`       // samples that were already delivered
	Stale         int                `json:"stale"`          // samples that exceed the staleness bound
	Malformed     int                `json:"broken"`         // samples whose spans or text do not match their tokens
	WorstLag      uint64             `json:"worst_lag"`      // versions by which the oldest sample lags
	Tries         int                `json:"tries"`          // requests sent for the batch
	DifferentCopy bool               `json:"different_copy"` // fetching the batch again returned a different one
	IdleMS        int64              `json:"idle_ms"`        // time spent waiting for the batch
}

// Summary is the sum of a run's step reports.
type Summary struct {
	Steps         int    `json:"steps"`
	Samples       int    `json:"samples"`
	Repeated      int    `json:"repeated"`
	Stale         int    `json:"stale"`
	Malformed     int    `json:"broken"`
	DifferentCopy int    `json:"different_copies"`
	WorstLag      uint64 `json:"worst_lag"`
	IdleMS        int64  `json:"idle_ms"`
}

// IsValid reports whether all batches were valid: no sample was repeated, stale
// or malformed, and fetching a batch again returned the same one.
func (s Summary) IsValid() bool {
	return s.Repeated == 0 && s.Stale == 0 && s.Malformed == 0 && s.DifferentCopy == 0
}

// trainer is the state of a run.
type trainer struct {
	options Options
	client  *entryclient.Client
	seen    map[string]core.Step // step that delivered each sample, by sample id
	summary Summary
}

// Run trains the given number of steps. If a step fails, Run returns its error
// and a summary of the steps before it.
func Run(ctx context.Context, options Options) (Summary, error) {
	t := &trainer{
		options: options, client: entryclient.New(options.Addresses, options.Token),
		seen: make(map[string]core.Step),
	}
	for i := range options.Steps {
		report, err := t.runStep(ctx, options.FirstStep+core.Step(i), options.FirstVersion+core.WeightVersion(i))
		if err != nil {
			return t.summary, err
		}
		t.addReport(report)
		if err := httpjson.Sleep(ctx, options.StepTime); err != nil {
			return t.summary, err
		}
	}
	return t.summary, nil
}

func (t *trainer) addReport(r StepReport) {
	s := &t.summary
	s.Steps++
	s.Samples += r.Samples
	s.Repeated += r.Repeated
	s.Stale += r.Stale
	s.Malformed += r.Malformed
	s.WorstLag = max(s.WorstLag, r.WorstLag)
	s.IdleMS += r.IdleMS
	if r.DifferentCopy {
		s.DifferentCopy++
	}
	if t.options.Output != nil {
		_ = json.NewEncoder(t.options.Output).Encode(r)
	}
}

func (t *trainer) runStep(ctx context.Context, step core.Step, version core.WeightVersion) (StepReport, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.StepTimeout)
	defer cancel()
	report := StepReport{Step: step, WeightVersion: version}
	if err := t.publishVersion(ctx, version); err != nil {
		return report, fmt.Errorf("publish version %d: %w", version, err)
	}
	start := time.Now()
	first, err := t.fetchBatch(ctx, &report)
	if err != nil {
		return report, fmt.Errorf("fetch batch of step %d: %w", step, err)
	}
	report.IdleMS = time.Since(start).Milliseconds()
	if err := t.checkBatch(first, &report); err != nil {
		return report, err
	}
	if t.options.FetchTwice {
		t.client.RotateAddress()
		second, err := t.fetchBatch(ctx, &report)
		if err != nil {
			return report, fmt.Errorf("fetch batch of step %d again: %w", step, err)
		}
		report.DifferentCopy = !bytes.Equal(first, second)
	}
	return report, nil
}

type weightsBody struct {
	Version core.WeightVersion `json:"version"`
}

type fetchBody struct {
	Step    core.Step          `json:"step"`
	Version core.WeightVersion `json:"weight_version"`
}

func (t *trainer) publishVersion(ctx context.Context, version core.WeightVersion) error {
	if t.options.PutWeights != nil {
		if err := t.options.PutWeights(ctx, version); err != nil {
			return err
		}
	}
	_, _, err := t.post(ctx, "weights", weightsBody{version})
	return err
}

func (t *trainer) fetchBatch(ctx context.Context, report *StepReport) ([]byte, error) {
	raw, tries, err := t.post(ctx, "batch", fetchBody{report.Step, report.WeightVersion})
	report.Tries += tries
	return raw, err
}

// post sends a message and retries it until it is answered or fails
// permanently. Both of a trainer's messages are idempotent.
func (t *trainer) post(ctx context.Context, what string, message any) ([]byte, int, error) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, 0, err
	}
	request := entryclient.Request{
		Method: http.MethodPost, Body: encoded,
		Path: "/v1/trainers/" + url.PathEscape(string(t.options.Deployment)) + "/" + what,
	}
	var backoff entryclient.Backoff
	for tries := 1; ; tries++ {
		raw, err := t.client.SendJSON(ctx, request)
		if err == nil {
			return raw, tries, nil
		}
		if isFinalError(err) || backoff.Wait(ctx) != nil {
			return nil, tries, err
		}
	}
}

// isFinalError reports whether an error is not worth a retry.
func isFinalError(err error) bool {
	var failure *entryclient.Failure
	if !errors.As(err, &failure) {
		return false
	}
	return !failure.Retryable && failure.Kind != errkind.Timeout && failure.Kind != errkind.Internal
}
