package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// completion is a request for tokens that is being processed.
type completion struct {
	key             tables.AnswerKey
	request         core.CompletionRequest
	deployment      *core.Deployment
	oldestVersion   core.WeightVersion // oldest weights on which it may start, zero for any
	attempts        int                // attempts since the last one that added tokens
	tokensAtStart   int                // length of the answer when the last attempt started
	excludedServers []core.ServerID
	mayHaveRun      bool // an attempt may have run
	guard           crashGuard
	onEnd           func(error) // called once, in a step; nil error when the answer is complete
}

// Complete admits a request for tokens and starts it. The answer is then read
// with ReadAnswer. A request id that the caller has used before continues that
// answer. An error means that the request was not run.
func (s *Service) Complete(ctx context.Context, request core.CompletionRequest, resume *core.ResumePoint) error {
	result := make(chan error, 1)
	err := s.pool.Enqueue(request.Class, func() { result <- s.acceptCompletion(request, resume) })
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errkind.Wrap(errkind.Canceled, ctx.Err(), "caller stopped waiting before the request was admitted")
	}
}

func (s *Service) acceptCompletion(request core.CompletionRequest, resume *core.ResumePoint) error {
	deployment, err := s.findPermittedDeployment(request.Deployment, request.Caller, core.KindEngine)
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		return err
	}
	request.Deadline = s.ports.Clock.Now().Add(deployment.Limits.RequestTimeout)
	c := &completion{
		key:        tables.AnswerKey{Caller: request.Caller, ID: request.ID},
		request:    request,
		deployment: deployment,
		onEnd:      func(error) { s.lifecycle.EndRequest() },
	}
	return s.beginAnswer(c, resume)
}

// findPermittedDeployment returns a deployment of the kind that serves the
// caller. Errors: Starting, UnknownDeployment, Forbidden.
func (s *Service) findPermittedDeployment(name core.DeploymentName, caller core.CallerName, kind core.ServerKind) (*core.Deployment, error) {
	deployment, err := s.findDeployment(name)
	if err != nil {
		return nil, err
	}
	if deployment.Kind != kind {
		return nil, errkind.New(errkind.UnknownDeployment, "no %s deployment is named %q", kind, name)
	}
	if !slices.Contains(deployment.Callers, caller) {
		return nil, errkind.New(errkind.Forbidden, "deployment %q does not serve caller %q", name, caller)
	}
	return deployment, nil
}

// findDeployment returns a deployment by name. Without a configuration, the
// process cannot tell whether a deployment exists. Errors: Starting,
// UnknownDeployment.
func (s *Service) findDeployment(name core.DeploymentName) (*core.Deployment, error) {
	config := s.configuration.Current()
	if config.Generation == 0 {
		return nil, errkind.New(errkind.Starting, "this entry process has no configuration yet")
	}
	deployment := config.Find(name)
	if deployment == nil {
		return nil, errkind.New(errkind.UnknownDeployment, "no deployment is named %q", name)
	}
	return deployment, nil
}

// beginAnswer creates the answer and admits the request; if the answer exists
// already, it does nothing.
func (s *Service) beginAnswer(c *completion, resume *core.ResumePoint) error {
	base := 0
	if resume != nil {
		base = resume.Offset
	}
	if !s.lifecycle.BeginRequest() {
		return errkind.New(errkind.ShuttingDown, "this entry process is shutting down and accepts no new requests")
	}
	created, err := s.answers.Begin(c.key, base)
	if err != nil || !created {
		s.lifecycle.EndRequest()
		return err
	}
	s.metrics.RequestsAccepted.Inc(1)
	if resume != nil && resume.Offset > 0 {
		s.metrics.AnswersResumed.Inc(1)
		s.resumeStream(c, resume)
		return nil
	}
	return s.admitCompletion(c)
}

// startFirstAttempt starts the first attempt. An error removes the answer
// again, since nothing was run.
func (s *Service) startFirstAttempt(c *completion) error {
	err := s.startAttempt(c)
	if err != nil {
		s.answers.Remove(c.key)
		s.metrics.RequestsRefused.Inc(1)
		c.onEnd(err)
	}
	return err
}

func (s *Service) startRetry(c *completion, cause error) {
	if err := s.startAttempt(c); err != nil {
		s.failCompletion(c, fmt.Errorf("%w; after: %v", err, cause))
	}
}

func (s *Service) decideRetry(failed retry.FailedAttempt) (decision retry.Decision) {
	s.random.WithSource(func(random *rand.Rand) { decision = s.retry.Decide(failed, random) })
	return decision
}

// failCompletion ends a request with an error. A request whose answer has ended
// already, such as a cancelled sample, does not count as failed.
func (s *Service) failCompletion(c *completion, err error) {
	err = finalError(err, c.mayHaveRun)
	if s.answers.InProgress(c.key) {
		s.metrics.RequestsFailed.Inc(1)
	}
	s.answers.Fail(c.key, err, s.ports.Clock.Now())
	c.onEnd(err)
}

// finalError returns the error that a request ends with. When an earlier
// attempt may have run, the refusal of a retry must not report the request as
// not run.
func finalError(err error, ran bool) error {
	if ran && errkind.AnswerTo(err).Execution == errkind.NotRun {
		return errkind.Wrap(errkind.AnswerIncomplete, err, "an earlier attempt may have run")
	}
	return err
}

// mayHaveRun reports whether an attempt that ended with the error may have run.
func mayHaveRun(err error) bool { return err != nil && !errkind.Is(err, errkind.ServerRefused) }

// streamID returns the engine's name for an attempt's stream. It can be derived
// from what a caller sends to resume. It contains the caller, so that no caller
// can resume a stream of another.
func (c *completion) streamID(source core.AnswerSource) string {
	return fmt.Sprintf("%s/%s/%s", c.key.Caller, c.key.ID, source.Attempt)
}

const (
	priorityInteractive = 10
	priorityRollout     = 1
)

func (c *completion) generateRequest(source core.AnswerSource, prefix []string) core.GenerateRequest {
	priority := priorityInteractive
	if c.request.Class == core.ClassRollout {
		priority = priorityRollout
	}
	return core.GenerateRequest{
		Stream: c.streamID(source), Model: core.ModelName(c.deployment.Service), Adapter: c.deployment.Adapter,
		Prompt: c.request.Prompt, Prefix: prefix, MaxTokens: c.request.MaxTokens,
		Priority: priority, Seed: c.request.Seed,
	}
}

// bytesPerToken is used to estimate the tokens of a prompt from its length.
const bytesPerToken = 4

func estimatedTokens(request *core.CompletionRequest) int {
	return len(request.Prompt)/bytesPerToken + request.MaxTokens
}

// ReadAnswer waits until the caller's answer has tokens after the offset or is
// complete. Errors: UnknownRequest, AnswerIncomplete, Canceled, and the kind
// with which the answer failed.
func (s *Service) ReadAnswer(ctx context.Context, caller core.CallerName, id core.RequestID, offset int) (core.AnswerPart, error) {
	key := tables.AnswerKey{Caller: caller, ID: id}
	for {
		view, err := s.answers.Read(key, offset)
		if err != nil {
			return core.AnswerPart{}, err
		}
		if len(view.Chunks) > 0 || view.Finish != "" {
			return core.AnswerPart{Found: true, Chunks: view.Chunks, Source: view.Source, Finish: view.Finish}, nil
		}
		if view.Err != nil {
			return core.AnswerPart{}, view.Err
		}
		select {
		case <-view.Changed:
		case <-ctx.Done():
			return core.AnswerPart{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "caller stopped waiting for the answer")
		}
	}
}
