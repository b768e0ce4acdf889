package delivery

import (
	"cmp"
	"fmt"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// firstStep is the first step requested by a trainer.
const firstStep core.Step = 1

// Window limits how many steps before or after its planned step a group may be
// delivered. It thereby bounds the size of the delivery record.
type Window struct {
	LateSteps  core.Step // steps after the planned one in which a group may still be delivered
	AheadSteps core.Step // steps before the planned one in which a group may already be delivered
}

// firstDeliverableAfter returns the first step whose groups may still be
// delivered in the step after the given one.
func (w Window) firstDeliverableAfter(step core.Step) core.Step {
	next := step + 1
	if next <= w.LateSteps {
		return 0
	}
	return next - w.LateSteps
}

// Rows are the rows on which the decision about a step depends. The coordinator
// may cache them between steps, because only the holder of its lease writes
// them.
type Rows struct {
	Delivery core.Row
	Step     core.Row // of the requested step
}

// RowKeys returns the keys of a deployment's delivery row and of a step's row.
func RowKeys(deployment core.DeploymentName, step core.Step) (deliveryKey, stepKey core.RowKey) {
	deliveryKey = core.RowKey{Table: core.TableDelivery, ID: string(deployment)}
	stepKey = core.RowKey{Table: core.TableStep, ID: fmt.Sprintf("%s/%020d", deployment, step)}
	return deliveryKey, stepKey
}

// Policy holds a deployment's settings for its batches.
type Policy struct {
	GroupsPerStep  int
	StalenessBound uint64 // versions by which a sample may lag behind its trainer
	Window         Window
}

// FinishedGroup is a complete and scored group that may be delivered.
type FinishedGroup struct {
	ID            core.GroupID
	OldestVersion core.WeightVersion // from Group.OldestVersion; a group with version zero is never delivered
}

// DecisionKind is the way to answer a trainer's request.
type DecisionKind int

const (
	Fetch    DecisionKind = iota // the step is fixed: return the object Body
	Fix                          // write the chosen groups to Body, then commit
	NotReady                     // Missing additional groups are needed
)

// String returns the name used in logs and tests.
func (k DecisionKind) String() string { return [...]string{"fetch", "fix", "not_ready"}[k] }

// Decision is the answer to a trainer's request. TooOld lists finished groups
// that can no longer be delivered and must be generated again under the same
// identity; it may be set for Fix and NotReady.
type Decision struct {
	Kind    DecisionKind
	Body    core.ObjectKey
	Chosen  []core.GroupID // groups of the batch, in order
	Commit  core.Commit
	Missing int
	TooOld  []core.GroupID
}

// Guard is the lease holding under which a coordinator commits: see
// lease.Holding.
type Guard struct {
	Fence     core.Fence
	Condition core.Condition
}

// PlanStep returns the answer to a trainer's request, given its rows and the
// finished groups. Errors: StepConflict.
func PlanStep(rows Rows, request core.BatchRequest, finished []FinishedGroup,
	policy Policy, guard Guard, id core.AttemptID) (Decision, error) {
	record, hasRecord := rows.Delivery.Record.(core.DeliveryRecord)
	if fixed, found := rows.Step.Record.(core.StepRecord); found {
		return planFetch(record, fixed, request, policy)
	}
	if err := checkStepOrder(record, hasRecord, request); err != nil {
		return Decision{}, err
	}
	chosen, tooOld := chooseGroups(record, request, finished, policy)
	if missing := max(policy.GroupsPerStep, 1) - len(chosen); missing > 0 {
		return Decision{Kind: NotReady, Missing: missing, TooOld: tooOld}, nil
	}
	decision := fixDecision(rows, record, request, chosen, policy.Window, guard, id)
	decision.TooOld = tooOld
	return decision, nil
}

// planFetch answers a request for a fixed step. A trainer's weights do not
// change within a step, so a request with different weights than the first one
// comes from a trainer that is not at this step.
func planFetch(record core.DeliveryRecord, fixed core.StepRecord, request core.BatchRequest, policy Policy) (Decision, error) {
	if request.Step != record.LastStep {
		return Decision{}, conflictError("step %d is already acknowledged; the newest step is %d", request.Step, record.LastStep)
	}
	if request.Version < fixed.Version {
		return Decision{}, conflictError("step %d was fixed at weight version %d; the request has the older version %d", request.Step, fixed.Version, request.Version)
	}
	if !IsFresh(fixed.Oldest, request.Version, policy.StalenessBound) {
		return Decision{}, conflictError("the batch of step %d has samples of weight version %d, too old for a trainer at version %d",
			request.Step, fixed.Oldest, request.Version)
	}
	return Decision{Kind: Fetch, Body: fixed.Body, Chosen: UnpackRanges(fixed.Groups)}, nil
}

// checkStepOrder returns an error unless the request is for the step after the
// newest fixed one, with weights that are not older than that step's.
func checkStepOrder(record core.DeliveryRecord, hasRecord bool, request core.BatchRequest) error {
	next := firstStep
	if hasRecord {
		next = record.LastStep + 1
	}
	if request.Step != next {
		return conflictError("requested step %d, but the next step is %d", request.Step, next)
	}
	if request.Version < record.LastVersion {
		return conflictError("requested weight version %d is older than version %d of step %d",
			request.Version, record.LastVersion, record.LastStep)
	}
	return nil
}

func conflictError(format string, args ...any) error {
	return errkind.New(errkind.StepConflict, format, args...)
}

// IsFresh reports whether weights are at most bound versions older than the
// trainer's. Newer weights are fresh; unknown ones, version zero, are not.
func IsFresh(oldest, trainer core.WeightVersion, bound uint64) bool {
	return oldest != 0 && (oldest >= trainer || uint64(trainer-oldest) <= bound)
}

// chooseGroups returns the batch's groups, the earliest planned first, and the
// finished groups that have become too old.
func chooseGroups(record core.DeliveryRecord, request core.BatchRequest, finished []FinishedGroup, policy Policy) (chosen []FinishedGroup, tooOld []core.GroupID) {
	sorted := slices.Clone(finished)
	slices.SortFunc(sorted, func(a, b FinishedGroup) int {
		return cmp.Or(compareGroups(a.ID, b.ID), cmp.Compare(a.OldestVersion, b.OldestVersion))
	})
	sorted = slices.CompactFunc(sorted, func(a, b FinishedGroup) bool { return a.ID == b.ID })
	for _, group := range sorted {
		switch {
		case IsDelivered(record, group.ID) || group.ID.Step > request.Step+policy.Window.AheadSteps:
		case !IsFresh(group.OldestVersion, request.Version, policy.StalenessBound):
			tooOld = append(tooOld, group.ID)
		case len(chosen) < policy.GroupsPerStep:
			chosen = append(chosen, group)
		}
	}
	return chosen, tooOld
}

func compareGroups(a, b core.GroupID) int {
	return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// fixDecision returns the decision with the commit that fixes a step. The
// commit also deletes the row of the previous step, which the request
// acknowledges.
func fixDecision(rows Rows, record core.DeliveryRecord, request core.BatchRequest, chosen []FinishedGroup,
	window Window, guard Guard, id core.AttemptID) Decision {
	ids := make([]core.GroupID, 0, len(chosen))
	oldest := chosen[0].OldestVersion
	for _, group := range chosen {
		ids = append(ids, group.ID)
		oldest = min(oldest, group.OldestVersion)
	}
	body := BodyKey(request.Deployment, request.Step, guard.Fence, id)
	deliveryKey, stepKey := RowKeys(request.Deployment, request.Step)
	step := core.StepRecord{Version: request.Version, Oldest: oldest, Groups: PackRanges(ids), Body: body}
	writes := []core.Write{
		{Key: stepKey, Record: step},
		{Key: deliveryKey, Record: markDelivered(record, request, ids, window)},
	}
	if request.Step > firstStep {
		_, acknowledged := RowKeys(request.Deployment, request.Step-1)
		writes = append(writes, core.Write{Key: acknowledged})
	}
	return Decision{Kind: Fix, Body: body, Chosen: ids, Commit: core.Commit{
		Attempt: id,
		Conditions: []core.Condition{
			guard.Condition,
			{Key: stepKey, Version: rows.Step.Version},
			{Key: deliveryKey, Version: rows.Delivery.Version},
		},
		Writes: writes,
	}}
}
