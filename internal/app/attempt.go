package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/tables"
)

// dispatchAttempt picks a server and starts the stream on its lane.
func (s *Service) dispatchAttempt(c *completion) error {
	query := routing.Query{
		Kind: core.KindEngine, Service: c.deployment.Service, Adapter: c.deployment.Adapter,
		Zone: s.options.Self.Zone, Region: s.options.Self.Region,
		Class: c.request.Class, ExpectedTokens: estimatedTokens(&c.request), Exclude: c.excludedServers,
		Prefix:  core.PrefixHashes(c.request.Prompt),
		Version: max(c.oldestVersion, c.deployment.Versions.Pinned), ExactVersion: c.deployment.Versions.Pinned != 0,
		CostPerVersion: lagCost(c),
	}
	dispatch, err := s.acquireForAttempt(&c.guard, query)
	if err != nil {
		return err
	}
	server := dispatch.VM
	source := core.AnswerSource{Server: server.ID, Attempt: s.newAttemptName()}
	prefix, _, err := s.answers.StartAttempt(c.key, source)
	if err != nil {
		s.releaseServer(dispatch, 0, err)
		return err
	}
	c.beginAttempt(len(prefix))
	s.metrics.Attempts.Inc(1)
	request := c.generateRequest(source, prefix)
	err = s.lanes.streams.Go(func(ctx context.Context) {
		end, err := s.runStream(ctx, c, source, func(ctx context.Context, sink func(core.Chunk) error) (core.StreamEnd, error) {
			return s.ports.Engine.Generate(ctx, server, request, sink)
		})
		s.pool.MustEnqueue(c.request.Class, func() {
			s.releaseServer(dispatch, end.Tokens, c.guard.routingError(err))
			s.recordAttemptEnd(&c.guard, server, err, func() { s.handleAttemptEnd(c, source, end, err) })
		})
	})
	if err != nil {
		s.releaseServer(dispatch, 0, err)
	}
	return err
}

// maxLagCost is the waiting time equivalent to one version of staleness for a
// deployment with an idle weight of zero.
const maxLagCost = 20 * time.Second

// lagCost returns the waiting time that costs as much as one version of
// staleness.
func lagCost(c *completion) time.Duration {
	if c.request.Class != core.ClassRollout || c.deployment.Rollout == nil {
		return 0
	}
	return time.Duration((1 - c.deployment.Rollout.IdleWeight) * float64(maxLagCost))
}

// beginAttempt counts an attempt that starts with the given number of tokens.
func (c *completion) beginAttempt(tokens int) {
	c.tokensAtStart = tokens
	c.attempts++
}

// recordFailure excludes the server of a failed attempt. An attempt that added
// tokens resets the attempt count to one and does not exclude its server. An
// attempt that was moved off a slow server also resets the count, since it did
// not fail, but excludes the server.
func (c *completion) recordFailure(server core.ServerID, progress tables.AnswerProgress) {
	addedTokens := progress.Tokens > c.tokensAtStart
	if addedTokens || progress.Migrating {
		c.attempts = 1
	}
	if !addedTokens || progress.Migrating {
		c.excludedServers = append(c.excludedServers, server)
	}
}

// runStream appends the chunks of one attempt to the answer until the deadline.
func (s *Service) runStream(ctx context.Context, c *completion, source core.AnswerSource,
	startStream func(context.Context, func(core.Chunk) error) (core.StreamEnd, error)) (core.StreamEnd, error) {
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	return startStream(ctx, func(chunk core.Chunk) error {
		s.metrics.TokensDelivered.Inc(int64(len(chunk.Tokens)))
		return s.answers.Append(c.key, source, chunk)
	})
}

func (s *Service) handleAttemptEnd(c *completion, source core.AnswerSource, end core.StreamEnd, err error) {
	if err == nil {
		err = s.answers.Finish(c.key, source, end, s.ports.Clock.Now())
	}
	if err == nil {
		c.onEnd(nil)
		return
	}
	c.mayHaveRun = c.mayHaveRun || mayHaveRun(err)
	c.recordFailure(source.Server, s.answers.Progress([]tables.AnswerKey{c.key})[0])
	s.retryCompletion(c, err)
}
