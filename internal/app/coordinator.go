package app

import (
	"context"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/rollout"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// maxStepsAhead bounds how many steps before its own step a group may be
// delivered.
const maxStepsAhead = rollout.MaxStepsAhead

// coordinateDeployments coordinates every deployment whose lease this process
// holds, and cancels the runs of the others.
func (s *Service) coordinateDeployments() {
	config := s.configuration.Current()
	s.updateCoordinatedPolls(config.Deployments)
	for i := range config.Deployments {
		deployment := &config.Deployments[i]
		if deployment.Rollout == nil {
			continue
		}
		holding, held := s.leases.Holding(coordinatorLease(deployment.Name), s.ports.Clock.Now())
		if !held {
			s.limits.SetBacklog(deployment.Name, 0)
			s.cancelRuns(deployment.Name, s.rollouts.Close(deployment.Name))
			continue
		}
		s.coordinateDeployment(deployment, holding)
	}
}

func (s *Service) coordinateDeployment(deployment *core.Deployment, holding lease.Holding) {
	if load, needed := s.rollouts.Open(deployment.Name, holding.Fence, s.ports.Clock.Now()); needed {
		s.loadRollout(deployment, load)
		return
	}
	s.reviewSamples(deployment, holding.Fence)
	newest := s.weights.Newest(deployment.Name)
	now := s.ports.Clock.Now()
	limit := min(s.options.Streams.MaxInFlight/2, s.limits.RolloutCapacity(deployment, now))
	for _, run := range s.rollouts.Start(deployment.Name, holding.Fence, rolloutPolicy(deployment.Rollout), newest, limit, now) {
		s.startSample(deployment, holding.Fence, run)
	}
	s.limits.SetBacklog(deployment.Name, s.rollouts.Pending(deployment.Name, holding.Fence))
}

func rolloutPolicy(r *core.Rollout) rollout.Policy {
	return rollout.Policy{
		GroupsPerStep: r.GroupsPerStep, GroupSize: r.GroupSize, MaxTokens: r.MaxTokens,
		StalenessBound: r.StalenessBound, IdleWeight: r.IdleWeight,
	}
}

// loadRollout reads the state that a new coordinator needs: the delivery row,
// the newest weight version and the prompts.
func (s *Service) loadRollout(deployment *core.Deployment, load tables.RolloutLoad) {
	s.startOnLane(s.lanes.table, func(ctx context.Context) {
		deliveryKey, _ := delivery.RowKeys(deployment.Name, 0)
		rows, err := s.readRows(ctx, deliveryKey, weightRowKey(deployment.Name))
		if err != nil {
			return
		}
		body, err := s.ports.Objects.Get(ctx, deployment.Rollout.Prompts)
		if err != nil {
			s.recordUnreadablePrompts(deployment, load.Fence, err)
			return
		}
		if record, ok := rows[1].Record.(core.WeightRecord); ok {
			s.recordWeightVersion(deployment.Name, record.Version)
		}
		closedRuns := s.rollouts.Load(deployment.Name, load, rows[0], splitPrompts(body))
		s.cancelRuns(deployment.Name, closedRuns)
	})
}

// promptsRetryDelay is the delay before unreadable prompts are read again.
const promptsRetryDelay = 5 * time.Second

func (s *Service) recordUnreadablePrompts(deployment *core.Deployment, fence core.Fence, err error) {
	problem := fmt.Sprintf("prompts %s of deployment %s cannot be read (%s)", deployment.Rollout.Prompts, deployment.Name, errkind.Of(err))
	retryAt := s.ports.Clock.Now().Add(promptsRetryDelay)
	if s.rollouts.SetProblem(deployment.Name, fence, problem, retryAt) {
		s.log.Warn().Msg(problem)
	}
}

// splitPrompts returns the lines of a prompts object that are not blank.
func splitPrompts(body []byte) []string {
	var prompts []string
	for line := range strings.Lines(string(body)) {
		if prompt := strings.TrimSpace(line); prompt != "" {
			prompts = append(prompts, prompt)
		}
	}
	return prompts
}

// rolloutCaller returns the caller name of a deployment's samples. No caller
// with a token can have it.
func rolloutCaller(name core.DeploymentName) core.CallerName {
	return core.CallerName("rollout:" + string(name))
}

// startSample runs a sample through the same path as callers' requests.
func (s *Service) startSample(deployment *core.Deployment, fence core.Fence, run rollout.SampleRun) {
	key := sampleAnswerKey(deployment.Name, run)
	c := &completion{
		key: key,
		request: core.CompletionRequest{
			ID: key.ID, Caller: key.Caller, Deployment: deployment.Name, Class: core.ClassRollout,
			Prompt: run.Prompt, MaxTokens: deployment.Rollout.MaxTokens, Seed: sampleSeed(deployment.Name, run.ID),
			Deadline: s.ports.Clock.Now().Add(deployment.Limits.RequestTimeout),
		},
		deployment:    deployment,
		oldestVersion: run.Oldest,
	}
	c.onEnd = func(err error) {
		s.lifecycle.EndRequest()
		s.handleGeneratedSample(c, fence, run, err)
	}
	if err := s.beginAnswer(c, nil); err != nil {
		s.rollouts.Retry(deployment.Name, fence, run)
	}
}

// sampleAnswerKey returns the key of the answer of one run of a sample in this
// process.
func sampleAnswerKey(name core.DeploymentName, run rollout.SampleRun) tables.AnswerKey {
	id := core.RequestID(fmt.Sprintf("%s.%s.%x", name, run.ID, run.Run))
	return tables.AnswerKey{Caller: rolloutCaller(name), ID: id}
}

// sampleSeed returns a seed that differs between the samples of a group and is
// the same for each run of a sample.
func sampleSeed(name core.DeploymentName, id core.SampleID) int64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%s", name, id)
	return int64(hash.Sum64() >> 1)
}

// handleGeneratedSample records a generated sample and starts its scoring.
func (s *Service) handleGeneratedSample(c *completion, fence core.Fence, run rollout.SampleRun, err error) {
	name := c.deployment.Name
	var view tables.AnswerView
	if err == nil {
		view, err = s.answers.Read(c.key, 0)
	}
	s.answers.Remove(c.key)
	if err != nil {
		s.rollouts.Retry(name, fence, run)
		return
	}
	sample := core.Sample{Deployment: name, ID: run.ID, Prompt: run.Prompt, Finish: view.Finish}
	for _, chunk := range view.Chunks {
		sample.Tokens = append(sample.Tokens, chunk.Tokens...)
		sample.Spans = append(sample.Spans, core.Span{
			From: chunk.Offset, To: chunk.Offset + len(chunk.Tokens), Version: chunk.Version,
		})
	}
	s.metrics.SamplesGenerated.Inc(1)
	s.metrics.TokensOfGenerated.Inc(int64(len(sample.Tokens)))
	if s.rollouts.RecordGenerated(name, fence, run, len(sample.Tokens), s.ports.Clock.Now()) {
		s.scoreSample(c.deployment, fence, run, sample)
	}
}
