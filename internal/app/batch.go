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
	// batchWait is how long a trainer's request waits for its batch.
	batchWait = 5 * time.Second
	// batchCommitTimeout bounds fixing or fetching a batch.
	batchCommitTimeout = 15 * time.Second
	// fewestLateSteps and mostLateSteps bound for how many steps after its own
	// a group may be delivered; in between it is the staleness bound.
	fewestLateSteps = 2
	mostLateSteps   = 16
)

// Batch returns the batch of a step. A process that does not coordinate the
// deployment relays the request to the one that does.
func (s *Service) Batch(ctx context.Context, trainer core.CallerName, request core.BatchRequest) (core.Batch, error) {
	deployment, err := s.trainedBy(trainer, request.Deployment)
	if err != nil {
		return core.Batch{}, err
	}
	if !s.lifecycle.Enter() {
		return core.Batch{}, errkind.New(errkind.ShuttingDown, "this entry process takes no new requests")
	}
	defer s.lifecycle.Exit()
	if _, held := s.leases.Held(leaseName(deployment.Name), s.ports.Clock.Now()); held {
		return s.localBatch(ctx, deployment, request)
	}
	return s.relayBatch(ctx, deployment, request)
}

// HandleBatch answers a request that a peer relayed.
func (s *Service) HandleBatch(ctx context.Context, request core.BatchRequest) (core.Batch, error) {
	deployment, err := s.findTrained(request.Deployment)
	if err != nil {
		return core.Batch{}, err
	}
	return s.localBatch(ctx, deployment, request)
}

func (s *Service) trainedBy(trainer core.CallerName, name core.DeploymentName) (*core.Deployment, error) {
	deployment, err := s.findTrained(name)
	if err != nil {
		return nil, err
	}
	if deployment.Rollout.Trainer != trainer {
		return nil, errkind.New(errkind.Forbidden, "deployment %q is not trained by %q", name, trainer)
	}
	return deployment, nil
}

func (s *Service) findTrained(name core.DeploymentName) (*core.Deployment, error) {
	deployment, err := s.findDeployment(name)
	if err != nil {
		return nil, err
	}
	if deployment.Rollout == nil {
		return nil, errkind.New(errkind.UnknownDeployment, "deployment %q has no trainer", name)
	}
	return deployment, nil
}

// relayBatch asks the coordinator of the deployment.
func (s *Service) relayBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest) (core.Batch, error) {
	address, err := s.coordinatorAddress(ctx, deployment.Name)
	if err != nil {
		return core.Batch{}, err
	}
	batch, err := runOn(ctx, s.lanes.peers, batchWait+batchCommitTimeout, func(ctx context.Context) (core.Batch, error) {
		return s.ports.Peers.Batch(ctx, address, request)
	})
	if errkind.Is(err, errkind.PeerUnreachable) || errkind.Is(err, errkind.NotOwner) {
		return core.Batch{}, errkind.Wrap(errkind.BatchNotReady, err, "the coordinator of %q is changing", deployment.Name)
	}
	return batch, err
}

// coordinatorAddress returns the peer address of the deployment's coordinator,
// as last seen in a followed lease or read from its row.
func (s *Service) coordinatorAddress(ctx context.Context, name core.DeploymentName) (string, error) {
	owner, ok := s.leases.Owner(leaseName(name))
	if !ok {
		leaseKey, _ := lease.Keys(leaseName(name))
		rows, err := runOn(ctx, s.lanes.table, controlTimeout, func(ctx context.Context) ([]core.Row, error) {
			return s.read(ctx, leaseKey)
		})
		if err != nil {
			return "", err
		}
		owner, ok = rows[0].Record.(core.LeaseRecord)
	}
	if !ok || owner.Released || owner.Holder == s.options.Self.VM {
		return "", errkind.New(errkind.BatchNotReady, "deployment %q has no coordinator yet", name)
	}
	return owner.Address, nil
}

// localBatch answers as the coordinator: it waits until the batch can be fixed.
func (s *Service) localBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest) (core.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, batchWait+batchCommitTimeout)
	defer cancel()
	deadline := time.NewTimer(batchWait)
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
			return core.Batch{}, errkind.Wrap(errkind.Canceled, ctx.Err(), "trainer left")
		}
	}
}

func notReady(name core.DeploymentName, why string) error {
	return errkind.New(errkind.BatchNotReady, "batch of %q is not ready: %s", name, why)
}

// tryBatch decides once from the present rows.
func (s *Service) tryBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest) (core.Batch, error) {
	name := deployment.Name
	holding, held := s.leases.Held(leaseName(name), s.ports.Clock.Now())
	if !held {
		return core.Batch{}, errkind.New(errkind.NotOwner, "this process does not coordinate %q", name)
	}
	deliveryRow, finished, ok := s.rollouts.BeginBatch(name, holding.Fence, request.Step, s.ports.Clock.Now())
	if !ok {
		return core.Batch{}, notReady(name, "its rows are being read or another request is at work")
	}
	batch, err := runOn(ctx, s.lanes.table, batchCommitTimeout, func(ctx context.Context) (core.Batch, error) {
		batch, tooOld, err := s.decideBatch(ctx, deployment, request, holding, deliveryRow, finished)
		count := s.rollouts.EndBatch(name, holding.Fence, tooOld, request.Version, deployment.Rollout.StalenessBound)
		s.metrics.SamplesTooOld.Inc(int64(count))
		return batch, err
	})
	if errkind.Is(err, errkind.Overloaded) {
		s.rollouts.EndBatch(name, holding.Fence, nil, 0, 0)
	}
	return batch, err
}

// decideBatch runs on the table lane.
func (s *Service) decideBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest,
	holding lease.Holding, deliveryRow core.Row, finished []delivery.Finished) (core.Batch, []core.GroupID, error) {
	_, stepKey := delivery.Keys(deployment.Name, request.Step)
	rows := delivery.Rows{Delivery: deliveryRow, Step: core.Row{Key: stepKey}}
	if record, ok := deliveryRow.Record.(core.DeliveryRecord); ok && request.Step <= record.LastStep {
		read, err := s.read(ctx, stepKey)
		if err != nil {
			return core.Batch{}, nil, err
		}
		rows.Step = read[0]
	}
	guard := delivery.Guard{Fence: holding.Fence, Condition: holding.Guard}
	decision, err := delivery.PlanStep(rows, request, finished, batchPolicy(deployment.Rollout), guard, s.newAttemptID())
	if err != nil {
		return core.Batch{}, nil, err
	}
	switch decision.Kind {
	case delivery.Fetch:
		batch, err := s.fetchBatch(ctx, decision.Body)
		return batch, nil, err
	case delivery.Fix:
		batch, err := s.fixBatch(ctx, deployment, request, holding, decision)
		return batch, decision.TooOld, err
	default:
		return core.Batch{}, decision.TooOld, notReady(deployment.Name, "groups are missing")
	}
}

func batchPolicy(rollout *core.Rollout) delivery.Policy {
	return delivery.Policy{
		GroupsPerStep: rollout.GroupsPerStep, StalenessBound: rollout.StalenessBound,
		Window: delivery.Window{
			Late:  core.Step(min(max(rollout.StalenessBound, fewestLateSteps), mostLateSteps)),
			Ahead: maxStepsAhead,
		},
	}
}

func (s *Service) fetchBatch(ctx context.Context, key core.ObjectKey) (core.Batch, error) {
	body, err := s.ports.Objects.Get(ctx, key)
	if err != nil {
		return core.Batch{}, err
	}
	s.metrics.BatchesServed.Inc(1)
	return s.ports.Bodies.DecodeBatch(body)
}

// fixBatch stores the batch's body and then commits the step that names it.
func (s *Service) fixBatch(ctx context.Context, deployment *core.Deployment, request core.BatchRequest,
	holding lease.Holding, decision delivery.Decision) (core.Batch, error) {
	name := deployment.Name
	batch := core.Batch{
		Deployment: name, Step: request.Step, Version: request.Version,
		Groups: s.rollouts.Groups(name, holding.Fence, decision.Chosen),
	}
	if len(batch.Groups) != len(decision.Chosen) {
		return core.Batch{}, notReady(name, "its groups have changed")
	}
	body, err := s.ports.Bodies.EncodeBatch(batch)
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
		return core.Batch{}, notReady(name, "the coordinator has changed")
	}
	written := writtenRow(decision.Commit, core.TableDelivery, result.Version)
	s.cancelRuns(name, s.rollouts.Delivered(name, holding.Fence, written, s.ports.Clock.Now()))
	s.metrics.StepsCommitted.Inc(1)
	s.metrics.BatchesServed.Inc(1)
	return batch, nil
}

// writtenRow returns the row of a table as an applied commit wrote it.
func writtenRow(commit core.Commit, table core.TableName, version core.RowVersion) core.Row {
	for _, write := range commit.Writes {
		if write.Key.Table == table {
			return core.Row{Key: write.Key, Version: version, Attempt: commit.Attempt, Record: write.Record}
		}
	}
	return core.Row{}
}
