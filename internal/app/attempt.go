package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/tables"
)

// dispatchAttempt routes the request and hands the stream to the lane.
func (s *Service) dispatchAttempt(c *completion) error {
	query := routing.Query{
		Kind: core.KindEngine, Service: c.deployment.Service, Adapter: c.deployment.Adapter,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region,
		Class: c.request.Class, Tokens: expectedTokens(&c.request), Exclude: c.exclude,
		Prefix:  core.PrefixHashes(c.request.Prompt),
		Version: max(c.oldest, c.deployment.Versions.Pinned), Exact: c.deployment.Versions.Pinned != 0,
		LagCost: lagCost(c),
	}
	begun, err := s.acquireGuarded(&c.guard, query)
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
			s.release(begun, end.Tokens, c.guard.blame(err))
			s.judgeAttempt(&c.guard, server, err, func() { s.attemptEnded(c, source, end, err) })
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
// counts as the first attempt, and its server is no worse than others, unless
// the answer left it for being slow. Such a move is not a failed attempt either.
func (c *completion) noteFailure(server core.ServerID, progress tables.AnswerProgress) {
	brought := progress.Tokens > c.held
	if brought || progress.Left {
		c.attempt = 1
	}
	if !brought || progress.Left {
		c.exclude = append(c.exclude, server)
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

func (s *Service) attemptEnded(c *completion, source core.AnswerSource, end core.StreamEnd, err error) {
	if err == nil {
		err = s.answers.Finish(c.key, source, end, s.ports.Clock.Now())
	}
	if err == nil {
		c.ended(nil)
		return
	}
	c.ran = c.ran || mayHaveRun(err)
	c.noteFailure(source.Server, s.answers.Progress([]tables.AnswerKey{c.key})[0])
	s.repeatCompletion(c, err)
}
