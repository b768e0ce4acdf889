package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// completion is a request on its way through the workers.
type completion struct {
	key        tables.AnswerKey
	request    core.CompletionRequest
	deployment *core.Deployment
	oldest     core.WeightVersion // oldest weights on which it may start, zero for any
	attempt    int                // attempts since the last one that brought tokens
	held       int                // tokens held when the last attempt started
	exclude    []core.ServerID
	guard      guard
	ended      func(error) // called once in a step; nil error when whole
}

// Complete admits a request for tokens and starts it. The answer is then read
// with ReadAnswer. A request id that the caller has used before continues that
// answer. Errors: every refusal is truthfully not run.
func (s *Service) Complete(ctx context.Context, request core.CompletionRequest, resume *core.ResumePoint) error {
	result := make(chan error, 1)
	err := s.pool.Enqueue(request.Class, func() { result <- s.admit(request, resume) })
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		return err
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errkind.Wrap(errkind.Canceled, ctx.Err(), "caller left before the request was admitted")
	}
}

func (s *Service) admit(request core.CompletionRequest, resume *core.ResumePoint) error {
	deployment, err := s.permitted(request.Deployment, request.Caller, core.KindEngine)
	if err != nil {
		s.metrics.RequestsRefused.Inc(1)
		return err
	}
	request.Deadline = s.ports.Clock.Now().Add(deployment.Limits.RequestTimeout)
	c := &completion{
		key:        tables.AnswerKey{Caller: request.Caller, ID: request.ID},
		request:    request,
		deployment: deployment,
		ended:      func(error) { s.lifecycle.Exit() },
	}
	return s.begin(c, resume)
}

// permitted finds a deployment of the kind that serves the caller.
func (s *Service) permitted(name core.DeploymentName, caller core.CallerName, kind core.ServerKind) (*core.Deployment, error) {
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

// findDeployment looks a deployment up. A process that has no configuration yet
// can't tell that a deployment is unknown. Errors: Starting, UnknownDeployment.
func (s *Service) findDeployment(name core.DeploymentName) (*core.Deployment, error) {
	config := s.configuration.InForce()
	if config.Generation == 0 {
		return nil, errkind.New(errkind.Starting, "this entry process has no configuration yet")
	}
	deployment := config.Find(name)
	if deployment == nil {
		return nil, errkind.New(errkind.UnknownDeployment, "no deployment is named %q", name)
	}
	return deployment, nil
}

// begin adds the answer and starts its first attempt, or joins one that is
// already here.
func (s *Service) begin(c *completion, resume *core.ResumePoint) error {
	base := 0
	if resume != nil {
		base = resume.Offset
	}
	if !s.lifecycle.Enter() {
		return errkind.New(errkind.ShuttingDown, "this entry process takes no new requests")
	}
	created, err := s.answers.Begin(c.key, base)
	if err != nil || !created {
		s.lifecycle.Exit()
		return err
	}
	s.metrics.RequestsAccepted.Inc(1)
	if resume != nil && resume.Offset > 0 {
		s.metrics.AnswersResumed.Inc(1)
		s.startResume(c, resume)
		return nil
	}
	return s.enterCompletion(c)
}

// startFirst starts the first attempt; a refusal drops the answer again, since
// nothing was run.
func (s *Service) startFirst(c *completion) error {
	err := s.startAttempt(c)
	if err != nil {
		s.answers.Forget(c.key)
		s.metrics.RequestsRefused.Inc(1)
		c.ended(err)
	}
	return err
}

// dispatchAttempt routes the request and hands the stream to the lane.
func (s *Service) dispatchAttempt(c *completion) error {
	query := routing.Query{
		Kind: core.KindEngine, Service: c.deployment.Service, Adapter: c.deployment.Adapter,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region,
		Class: c.request.Class, Tokens: expectedTokens(&c.request), Exclude: c.exclude,
		Prefix:  core.PrefixHashes(c.request.Prompt),
		Version: max(c.oldest, c.deployment.Versions.Pinned),
		LagCost: lagCost(c),
	}
	begun, err := s.acquireGuarded(c, query)
	if err != nil {
		return err
	}
	server := begun.VM
	source := core.AnswerSource{Server: server.ID, Attempt: s.newAttempt()}
	prefix, _, err := s.answers.StartAttempt(c.key, source)
	if err != nil {
		s.release(begun, 0, err)
		return err
	}
	c.countAttempt(len(prefix))
	s.metrics.Attempts.Inc(1)
	generate := c.generateRequest(source, prefix)
	err = s.lanes.streams.Go(func(ctx context.Context) {
		end, err := s.stream(ctx, c, source, func(ctx context.Context, sink func(core.Chunk) error) (core.StreamEnd, error) {
			return s.ports.Engine.Generate(ctx, server, generate, sink)
		})
		s.pool.MustEnqueue(c.request.Class, func() {
			s.release(begun, end.Tokens, err)
			s.judgeAttempt(c, server, err, func() { s.attemptEnded(c, source, end, err) })
		})
	})
	if err != nil {
		s.release(begun, 0, err)
	}
	return err
}

// fullLagCost is what a sample's start on weights one version old costs a
// deployment that weighs staleness only, as waiting.
const fullLagCost = 20 * time.Second

// lagCost returns the waiting that is as dear as one version of staleness.
func lagCost(c *completion) time.Duration {
	if c.request.Class != core.ClassRollout || c.deployment.Rollout == nil {
		return 0
	}
	return time.Duration((1 - c.deployment.Rollout.IdleWeight) * float64(fullLagCost))
}

// countAttempt counts an attempt that starts with the given tokens held.
func (c *completion) countAttempt(held int) {
	c.held = held
	c.attempt++
}

// noteFailure excludes the server of a failed attempt. One that brought tokens
// counts as the first attempt, and its server is no worse than others.
func (c *completion) noteFailure(server core.ServerID, held int) {
	if held > c.held {
		c.attempt = 1
		return
	}
	c.exclude = append(c.exclude, server)
}

// startResume takes up a stream that another entry process started. Its tokens
// before the offset are not known here, so it can't move to another engine.
func (s *Service) startResume(c *completion, resume *core.ResumePoint) {
	server, ok := s.servers.Server(resume.Source.Server)
	if !ok {
		s.fail(c, errkind.New(errkind.AnswerIncomplete, "server %s of the answer is gone", resume.Source.Server))
		return
	}
	if _, _, err := s.answers.StartAttempt(c.key, resume.Source); err != nil {
		s.fail(c, err)
		return
	}
	stream := c.streamID(resume.Source)
	err := s.lanes.streams.Go(func(ctx context.Context) {
		end, err := s.stream(ctx, c, resume.Source, func(ctx context.Context, sink func(core.Chunk) error) (core.StreamEnd, error) {
			return s.ports.Engine.Resume(ctx, server, stream, resume.Offset, sink)
		})
		s.pool.MustEnqueue(c.request.Class, func() { s.resumeEnded(c, resume.Source, end, err) })
	})
	if err != nil {
		s.fail(c, err)
	}
}

// stream feeds one attempt's chunks to the answer until the deadline.
func (s *Service) stream(ctx context.Context, c *completion, source core.AnswerSource,
	run func(context.Context, func(core.Chunk) error) (core.StreamEnd, error)) (core.StreamEnd, error) {
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	return run(ctx, func(chunk core.Chunk) error {
		s.metrics.TokensDelivered.Inc(int64(len(chunk.Tokens)))
		return s.answers.Append(c.key, source, chunk)
	})
}

func (s *Service) resumeEnded(c *completion, source core.AnswerSource, end core.StreamEnd, err error) {
	if err == nil {
		err = s.answers.Finish(c.key, source, end, s.ports.Clock.Now())
	}
	if err != nil {
		s.fail(c, errkind.Wrap(errkind.AnswerIncomplete, err, "the rest of the answer could not be had from %s", source.Server))
		return
	}
	c.ended(nil)
}

func (s *Service) attemptEnded(c *completion, source core.AnswerSource, end core.StreamEnd, err error) {
	if err == nil {
		err = s.answers.Finish(c.key, source, end, s.ports.Clock.Now())
	}
	if err == nil {
		c.ended(nil)
		return
	}
	c.noteFailure(source.Server, s.answers.Progress([]tables.AnswerKey{c.key})[0].Tokens)
	s.repeatCompletion(c, err)
}

func (s *Service) retryAttempt(c *completion, cause error) {
	if err := s.startAttempt(c); err != nil {
		s.fail(c, fmt.Errorf("%w; after: %v", err, cause))
	}
}

func (s *Service) decideRetry(failed retry.Attempt) (decision retry.Decision) {
	s.random.With(func(random *rand.Rand) { decision = s.retry.Decide(failed, random) })
	return decision
}

func (s *Service) fail(c *completion, err error) {
	s.metrics.RequestsFailed.Inc(1)
	s.answers.Fail(c.key, err, s.ports.Clock.Now())
	c.ended(err)
}

// streamID names an attempt at the engine. It can be derived again from what a
// caller presents when it resumes.
// The caller is part of it, so that no caller can resume a stream of another.
func (c *completion) streamID(source core.AnswerSource) string {
	return fmt.Sprintf("%s/%s/%s", c.key.Caller, c.key.ID, source.Attempt)
}

const (
	priorityPeople  = 10
	priorityRollout = 1
)

func (c *completion) generateRequest(source core.AnswerSource, prefix []string) core.GenerateRequest {
	priority := priorityPeople
	if c.request.Class == core.ClassRollout {
		priority = priorityRollout
	}
	return core.GenerateRequest{
		Stream: c.streamID(source), Model: core.ModelName(c.deployment.Service), Adapter: c.deployment.Adapter,
		Prompt: c.request.Prompt, Prefix: prefix, MaxTokens: c.request.MaxTokens,
		Priority: priority, Seed: c.request.Seed,
	}
}

// bytesPerToken estimates a prompt's tokens from its length.
const bytesPerToken = 4

func expectedTokens(request *core.CompletionRequest) int {
	return len(request.Prompt)/bytesPerToken + request.MaxTokens
}

// ReadAnswer waits until the caller's answer has tokens after the offset or is
// whole. Errors: UnknownRequest, AnswerIncomplete, Canceled, and the kind for
// which the answer ended early.
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
			return core.AnswerPart{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "waiting for the answer")
		}
	}
}

// controlTimeout bounds one short call to the platform, a peer or an engine's
// control interface.
const controlTimeout = 5 * time.Second
