// Package trainer is a stand-in for a trainer: it publishes a weight version,
// fetches the batch of a step, checks the samples, and goes on to the next.
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
	Addresses      []string // host:port of entry VMs to start with
	Token          string
	Deployment     core.DeploymentName
	FirstStep      core.Step
	FirstVersion   core.WeightVersion // published for the first step; each further step adds one
	Steps          int
	StalenessBound uint64
	StepTime       time.Duration // time that training on a batch takes
	StepTimeout    time.Duration // for publishing and fetching one step, all tries together
	FetchTwice     bool          // fetch each batch again and compare

	// PutWeights stores the weights of a version before it is published; nil
	// stores none.
	PutWeights func(ctx context.Context, version core.WeightVersion) error
	// Output gets one JSON line, a StepReport, for each step; nil gets none.
	Output io.Writer
}

// StepReport is what the trainer saw of one step.
type StepReport struct {
	Step          core.Step          `json:"step"`
	WeightVersion core.WeightVersion `json:"weight_version"`
	Groups        int                `json:"groups"`
	Samples       int                `json:"samples"`
	Repeated      int                `json:"repeated"`       // samples delivered before
	Stale         int                `json:"stale"`          // samples over the staleness bound
	Broken        int                `json:"broken"`         // samples whose spans or text do not fit their tokens
	WorstLag      uint64             `json:"worst_lag"`      // versions by which the oldest sample lags
	Tries         int                `json:"tries"`          // requests for the batch
	DifferentCopy bool               `json:"different_copy"` // fetching again gave another batch
	IdleMS        int64              `json:"idle_ms"`        // wait for the batch
}

// Summary adds up the reports of a run.
type Summary struct {
	Steps         int    `json:"steps"`
	Samples       int    `json:"samples"`
	Repeated      int    `json:"repeated"`
	Stale         int    `json:"stale"`
	Broken        int    `json:"broken"`
	DifferentCopy int    `json:"different_copies"`
	WorstLag      uint64 `json:"worst_lag"`
	IdleMS        int64  `json:"idle_ms"`
}

// Sound reports whether nothing went against what trainers are promised.
func (s Summary) Sound() bool {
	return s.Repeated == 0 && s.Stale == 0 && s.Broken == 0 && s.DifferentCopy == 0
}

// trainer is the state of a run.
type trainer struct {
	options Options
	client  *entryclient.Client
	seen    map[string]core.Step // sample id to the step that delivered it
	summary Summary
}

// Run trains the given number of steps. The error is that of the step that
// could not be finished; the summary then tells of the steps before it.
func Run(ctx context.Context, options Options) (Summary, error) {
	t := &trainer{
		options: options, client: entryclient.New(options.Addresses, options.Token),
		seen: make(map[string]core.Step),
	}
	for i := range options.Steps {
		report, err := t.step(ctx, options.FirstStep+core.Step(i), options.FirstVersion+core.WeightVersion(i))
		if err != nil {
			return t.summary, err
		}
		t.add(report)
		if err := httpjson.Sleep(ctx, options.StepTime); err != nil {
			return t.summary, err
		}
	}
	return t.summary, nil
}

func (t *trainer) add(r StepReport) {
	s := &t.summary
	s.Steps++
	s.Samples += r.Samples
	s.Repeated += r.Repeated
	s.Stale += r.Stale
	s.Broken += r.Broken
	s.WorstLag = max(s.WorstLag, r.WorstLag)
	s.IdleMS += r.IdleMS
	if r.DifferentCopy {
		s.DifferentCopy++
	}
	if t.options.Output != nil {
		_ = json.NewEncoder(t.options.Output).Encode(r)
	}
}

func (t *trainer) step(ctx context.Context, step core.Step, version core.WeightVersion) (StepReport, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.StepTimeout)
	defer cancel()
	report := StepReport{Step: step, WeightVersion: version}
	if err := t.publish(ctx, version); err != nil {
		return report, fmt.Errorf("publish version %d: %w", version, err)
	}
	start := time.Now()
	first, err := t.fetch(ctx, &report)
	if err != nil {
		return report, fmt.Errorf("fetch step %d: %w", step, err)
	}
	report.IdleMS = time.Since(start).Milliseconds()
	if err := t.inspect(first, &report); err != nil {
		return report, err
	}
	if t.options.FetchTwice {
		t.client.LeaveCurrent()
		second, err := t.fetch(ctx, &report)
		if err != nil {
			return report, fmt.Errorf("fetch step %d again: %w", step, err)
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

func (t *trainer) publish(ctx context.Context, version core.WeightVersion) error {
	if t.options.PutWeights != nil {
		if err := t.options.PutWeights(ctx, version); err != nil {
			return err
		}
	}
	_, _, err := t.post(ctx, "weights", weightsBody{version})
	return err
}

func (t *trainer) fetch(ctx context.Context, report *StepReport) ([]byte, error) {
	raw, tries, err := t.post(ctx, "batch", fetchBody{report.Step, report.WeightVersion})
	report.Tries += tries
	return raw, err
}

// post sends a message until it is answered or the failure is final. Both
// messages of trainers may be repeated.
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
		if final(err) || backoff.Wait(ctx) != nil {
			return nil, tries, err
		}
	}
}

// final reports whether trying again cannot help.
func final(err error) bool {
	var failure *entryclient.Failure
	if !errors.As(err, &failure) {
		return false
	}
	return !failure.Retryable && failure.Kind != errkind.Timeout && failure.Kind != errkind.Internal
}
