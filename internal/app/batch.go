package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/errkind"
)

const (
	// batchWaitTime is how long a trainer's request waits for its batch.
	batchWaitTime = 5 * time.Second
	// batchCommitTimeout bounds committing or fetching a batch.
	batchCommitTimeout = 15 * time.Second
	// minLateSteps and maxLateSteps bound how many steps after its own step a
	// group may be delivered. Between them, the staleness bound applies.
	minLateSteps = 2
	maxLateSteps = 16
)

// Batch returns the batch of a step. If another process coordinates the
// deployment, the request is relayed to it.
func (s *Service) Batch(ctx context.Context, trainer core.CallerName, request core.BatchRequest) (core.Batch, error) {
	deployment, err := s.findDeploymentOfTrainer(trainer, request.Deployment)
	if err != nil {
		return core.Batch{}, err
	}
	if !s.lifecycle.BeginRequest() {
		return core.Batch{}, errkind.New(errkind.ShuttingDown, "this entry process is shutting down and accepts no new requests")
	}
	defer s.lifecycle.EndRequest()
	if _, held := s.leases.Holding(coordinatorLease(deployment.Name), s.ports.Clock.Now()); held {
		return s.serveBatch(ctx, deployment, request)
	}
	return s.relayBatch(ctx, deployment, request)
}

// HandleBatch serves a batch request that a peer relayed.
func (s *Service) HandleBatch(ctx context.Context, request core.BatchRequest) (core.Batch, error) {
	deployment, err := s.findTrainedDeployment(request.Deployment)
	if err != nil {
		return core.Batch{}, err
	}
	return s.serveBatch(ctx, deployment, request)
}

func (s *Service) findDeploymentOfTrainer(trainer core.CallerName, name core.DeploymentName) (*core.Deployment, error) {
	deployment, err := s.findTrainedDeployment(name)
	if err != nil {
		return nil, err
	}
	if deployment.Rollout.Trainer != trainer {
		return nil, errkind.New(errkind.Forbidden, "deployment %q is not trained by caller %q", name, trainer)
	}
	return deployment, nil
}

func (s *Service) findTrainedDeployment(name core.DeploymentName) (*core.Deployment, error) {
	deployment, err := s.findDeployment(name)
	if err != nil {
		return nil, err
	}
	if deployment.Rollout == nil {
		return nil, errkind.New(errkind.UnknownDeployment, "deployment %q has no trainer", name)
	}
	return deployment, nil
}

// relayBatch requests the batch from the deployment's coordinator.
func (s *Service) relayBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest) (core.Batch, error) {
	address, err := s.coordinatorAddress(ctx, deployment.Name)
	if err != nil {
		return core.Batch{}, err
	}
	batch, err := callOnLane(ctx, s.lanes.peers, batchWaitTime+batchCommitTimeout, func(ctx context.Context) (core.Batch, error) {
		return s.ports.Peers.Batch(ctx, address, request)
	})
	if errkind.Is(err, errkind.PeerUnreachable) || errkind.Is(err, errkind.NotOwner) {
		return core.Batch{}, errkind.Wrap(errkind.BatchNotReady, err, "the coordinator of deployment %q is changing", deployment.Name)
	}
	return batch, err
}

// coordinatorAddress returns the peer address of the deployment's coordinator,
// from a followed lease or else from the lease's row.
func (s *Service) coordinatorAddress(ctx context.Context, name core.DeploymentName) (string, error) {
	owner, ok := s.leases.Holder(coordinatorLease(name))
	if !ok {
		leaseKey, _ := lease.Keys(coordinatorLease(name))
		rows, err := callOnLane(ctx, s.lanes.table, controlTimeout, func(ctx context.Context) ([]core.Row, error) {
			return s.readRows(ctx, leaseKey)
		})
		if err != nil {
			return "", err
		}
		owner, ok = rows[0].Record.(core.LeaseRecord)
	}
	if !ok || owner.IsFree() || owner.Holder == s.options.Self.VM {
		return "", errkind.New(errkind.BatchNotReady, "deployment %q has no coordinator yet", name)
	}
	return owner.Address, nil
}

// serveBatch serves a request as the coordinator: it waits until the batch is
// available.
func (s *Service) serveBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest) (core.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, batchWaitTime+batchCommitTimeout)
	defer cancel()
	deadline := time.NewTimer(batchWaitTime)
	defer deadline.Stop()
	for {
		changed := s.rollouts.Changed(deployment.Name)
		batch, err := s.tryBatch(ctx, deployment, request)
		if !errkind.Is(err, errkind.BatchNotReady) {
			return batch, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return core.Batch{}, err
		case <-ctx.Done():
			return core.Batch{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "trainer stopped waiting for the batch")
		}
	}
}

func batchNotReady(name core.DeploymentName, reason string) error {
	return errkind.New(errkind.BatchNotReady, "batch of deployment %q is not ready: %s", name, reason)
}

// tryBatch makes one attempt with the rows as they are now. Errors: NotOwner,
// BatchNotReady and those of committing or fetching.
func (s *Service) tryBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest) (core.Batch, error) {
	name := deployment.Name
	holding, held := s.leases.Holding(coordinatorLease(name), s.ports.Clock.Now())
	if !held {
		return core.Batch{}, errkind.New(errkind.NotOwner, "this process does not coordinate deployment %q", name)
	}
	deliveryRow, finishedGroups, ok := s.rollouts.BeginBatch(name, holding.Fence, request.Step, s.ports.Clock.Now())
	if !ok {
		return core.Batch{}, batchNotReady(name, "its rows are being read or another request is being served")
	}
	batch, err := callOnLane(ctx, s.lanes.table, batchCommitTimeout, func(ctx context.Context) (core.Batch, error) {
		batch, tooOldGroups, err := s.commitOrFetchBatch(ctx, deployment, request, holding, deliveryRow, finishedGroups)
		tooOldCount := s.rollouts.EndBatch(name, holding.Fence, tooOldGroups, request.Version, deployment.Rollout.StalenessBound)
		s.metrics.SamplesTooOld.Inc(int64(tooOldCount))
		return batch, err
	})
	if errkind.Is(err, errkind.Overloaded) {
		s.rollouts.EndBatch(name, holding.Fence, nil, 0, 0)
	}
	return batch, err
}

// commitOrFetchBatch commits a new batch or fetches the committed one. It runs
// on the table lane.
func (s *Service) commitOrFetchBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest,
	holding lease.Holding, deliveryRow core.Row, finishedGroups []delivery.FinishedGroup) (core.Batch, []core.GroupID, error) {
	_, stepKey := delivery.RowKeys(deployment.Name, request.Step)
	rows := delivery.Rows{Delivery: deliveryRow, Step: core.Row{Key: stepKey}}
	if record, ok := deliveryRow.Record.(core.DeliveryRecord); ok && request.Step <= record.LastStep {
		stepRows, err := s.readRows(ctx, stepKey)
		if err != nil {
			return core.Batch{}, nil, err
		}
		rows.Step = stepRows[0]
	}
	guard := delivery.Guard{Fence: holding.Fence, Condition: holding.Guard}
	decision, err := delivery.PlanStep(rows, request, finishedGroups, batchPolicy(deployment.Rollout), guard, s.newAttemptID())
	if err != nil {
		return core.Batch{}, nil, err
	}
	switch decision.Kind {
	case delivery.Fetch:
		batch, err := s.fetchBatch(ctx, decision.Body)
		return batch, nil, err
	case delivery.Fix:
		batch, err := s.commitBatch(ctx, deployment, request, holding, decision)
		return batch, decision.TooOld, err
	default:
		return core.Batch{}, decision.TooOld, batchNotReady(deployment.Name, "too few complete groups")
	}
}

func batchPolicy(rollout *core.Rollout) delivery.Policy {
	return delivery.Policy{
		GroupsPerStep: rollout.GroupsPerStep, StalenessBound: rollout.StalenessBound,
		Window: delivery.Window{
			LateSteps:  core.Step(min(max(rollout.StalenessBound, minLateSteps), maxLateSteps)),
			AheadSteps: maxStepsAhead,
		},
	}
}

func (s *Service) fetchBatch(ctx context.Context, key core.ObjectKey) (core.Batch, error) {
	body, err := s.ports.Objects.Get(ctx, key)
	if err != nil {
		return core.Batch{}, err
	}
	s.metrics.BatchesServed.Inc(1)
	return s.ports.BodyCodec.DecodeBatch(body)
}

// commitBatch stores the batch's body and then commits the step that refers to
// it.
func (s *Service) commitBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest,
	holding lease.Holding, decision delivery.Decision) (core.Batch, error) {
	name := deployment.Name
	batch := core.Batch{
		Deployment: name, Step: request.Step, Version: request.Version,
		Groups: s.rollouts.Groups(name, holding.Fence, decision.Chosen),
	}
	if len(batch.Groups) != len(decision.Chosen) {
		return core.Batch{}, batchNotReady(name, "its groups changed during the request")
	}
	body, err := s.ports.BodyCodec.EncodeBatch(batch)
	if err != nil {
		return core.Batch{}, err
	}
	if err := s.ports.Objects.Put(ctx, decision.Body, body); err != nil {
		return core.Batch{}, err
	}
	result, err := s.commit(ctx, decision.Commit)
	if err != nil {
		s.rollouts.Reload(name, holding.Fence)
		return core.Batch{}, err
	}
	if !result.Applied {
		s.rollouts.Reload(name, holding.Fence)
		return core.Batch{}, batchNotReady(name, "another process has become the coordinator")
	}
	written := writtenRow(decision.Commit, core.TableDelivery, result.Version)
	s.cancelRuns(name, s.rollouts.ApplyDelivered(name, holding.Fence, written, s.ports.Clock.Now()))
	s.metrics.StepsCommitted.Inc(1)
	s.countDeliveredSamples(&batch)
	s.metrics.BatchesServed.Inc(1)
	return batch, nil
}

// countDeliveredSamples counts a batch's samples and tokens, for comparison
// with those of all generated samples.
func (s *Service) countDeliveredSamples(batch *core.Batch) {
	for g := range batch.Groups {
		for i := range batch.Groups[g].Samples {
			s.metrics.SamplesDelivered.Inc(1)
			s.metrics.TokensOfDelivered.Inc(int64(len(batch.Groups[g].Samples[i].Tokens)))
		}
	}
}

// writtenRow returns the row that an applied commit wrote to a table.
func writtenRow(commit core.Commit, table core.TableName, version core.RowVersion) core.Row {
	for _, write := range commit.Writes {
		if write.Key.Table == table {
			return core.Row{Key: write.Key, Version: version, Attempt: commit.Attempt, Record: write.Record}
		}
	}
	return core.Row{}
}
