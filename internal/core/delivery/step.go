package delivery

import (
	"cmp"
	"fmt"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// firstStep is the first step that a trainer asks for.
const firstStep core.Step = 1

// Window bounds for how many steps a group may be delivered before or after
// the step for which it was planned, and with it the size of the marks.
type Window struct {
	Late  core.Step // steps after its own in which a group may still be delivered
	Ahead core.Step // steps before its own in which a group may already be delivered
}

// closedAfter returns the first step whose groups may still be delivered in
// the step that follows the given one.
func (w Window) closedAfter(step core.Step) core.Step {
	next := step + 1
	if next <= w.Late {
		return 0
	}
	return next - w.Late
}

// Rows are the rows that decide about a step. The coordinator may keep them
// between steps, because only the holder of its lease writes them.
type Rows struct {
	Delivery core.Row
	Step     core.Row // of the step asked for
}

// Keys returns the keys of the delivery row and of a step's row.
func Keys(deployment core.DeploymentName, step core.Step) (deliveryKey, stepKey core.RowKey) {
	deliveryKey = core.RowKey{Table: core.TableDelivery, ID: string(deployment)}
	stepKey = core.RowKey{Table: core.TableStep, ID: fmt.Sprintf("%s/%020d", deployment, step)}
	return deliveryKey, stepKey
}

// Policy is what a deployment asks of its batches.
type Policy struct {
	GroupsPerStep  int
	StalenessBound uint64 // versions a sample may lag behind its trainer
	Window         Window
}

// Finished is a finished and scored group that a step may deliver.
type Finished struct {
	ID     core.GroupID
	Oldest core.WeightVersion // from Group.OldestVersion; zero is never delivered
}

// DecisionKind says how to answer a trainer's request.
type DecisionKind int

// The kinds of decision.
const (
	Fetch    DecisionKind = iota // the step is fixed: read the object Body
	Fix                          // put the chosen groups at Body, then commit
	NotReady                     // Missing more groups are needed
)

// String returns the kind's name for logs and tests.
func (k DecisionKind) String() string { return [...]string{"fetch", "fix", "not_ready"}[k] }

// Decision says how to answer a trainer's request. TooOld lists finished
// groups that can no longer be delivered and must be run again under the same
// identity; it may be set for Fix and NotReady.
type Decision struct {
	Kind    DecisionKind
	Body    core.ObjectKey
	Chosen  []core.GroupID // groups of the batch, in their order
	Commit  core.Commit
	Missing int
	TooOld  []core.GroupID
}

// Guard is the holding under which a coordinator commits: see lease.Holding.
type Guard struct {
	Fence     core.Fence
	Condition core.Condition
}

// PlanStep decides about a trainer's request from its rows and the finished
// groups. Errors: StepConflict.
func PlanStep(rows Rows, request core.BatchRequest, finished []Finished,
	policy Policy, guard Guard, id core.AttemptID) (Decision, error) {
	record, started := rows.Delivery.Record.(core.DeliveryRecord)
	if fixed, found := rows.Step.Record.(core.StepRecord); found {
		return planFetch(record, fixed, request, policy)
	}
	if err := checkOrder(record, started, request); err != nil {
		return Decision{}, err
	}
	chosen, tooOld := choose(record, request, finished, policy)
	if missing := max(policy.GroupsPerStep, 1) - len(chosen); missing > 0 {
		return Decision{Kind: NotReady, Missing: missing, TooOld: tooOld}, nil
	}
	decision := fix(rows, record, request, chosen, policy.Window, guard, id)
	decision.TooOld = tooOld
	return decision, nil
}

// planFetch answers from a fixed step. The trainer's weights at a step do not
// change, so other weights than at first mean that it is not at that step.
func planFetch(record core.DeliveryRecord, fixed core.StepRecord, request core.BatchRequest, policy Policy) (Decision, error) {
	if request.Step != record.LastStep {
		return Decision{}, conflict("step %d was acknowledged; the newest is %d", request.Step, record.LastStep)
	}
	if request.Version < fixed.Version {
		return Decision{}, conflict("step %d was fixed at weights %d, not %d", request.Step, fixed.Version, request.Version)
	}
	if !Fresh(fixed.Oldest, request.Version, policy.StalenessBound) {
		return Decision{}, conflict("the batch of step %d holds weights %d, too old for weights %d",
			request.Step, fixed.Oldest, request.Version)
	}
	return Decision{Kind: Fetch, Body: fixed.Body, Chosen: Unpack(fixed.Groups)}, nil
}

// checkOrder lets a trainer ask only for the step after the newest fixed one,
// with weights at least as new as at that one.
func checkOrder(record core.DeliveryRecord, started bool, request core.BatchRequest) error {
	next := firstStep
	if started {
		next = record.LastStep + 1
	}
	if request.Step != next {
		return conflict("step %d asked for; the next is %d", request.Step, next)
	}
	if request.Version < record.LastVersion {
		return conflict("weights %d are older than weights %d of step %d",
			request.Version, record.LastVersion, record.LastStep)
	}
	return nil
}

func conflict(format string, args ...any) error {
	return errkind.New(errkind.StepConflict, format, args...)
}

// Fresh reports whether weights are recent enough for a trainer. Weights newer
// than the trainer's own are; unknown ones are not.
func Fresh(oldest, trainer core.WeightVersion, bound uint64) bool {
	return oldest != 0 && (oldest >= trainer || uint64(trainer-oldest) <= bound)
}

// choose picks the batch's groups, those planned earliest first, and lists the
// finished groups that have become too old.
func choose(record core.DeliveryRecord, request core.BatchRequest, finished []Finished, policy Policy) (chosen []Finished, tooOld []core.GroupID) {
	sorted := slices.Clone(finished)
	slices.SortFunc(sorted, func(a, b Finished) int {
		return cmp.Or(compareGroups(a.ID, b.ID), cmp.Compare(a.Oldest, b.Oldest))
	})
	sorted = slices.CompactFunc(sorted, func(a, b Finished) bool { return a.ID == b.ID })
	for _, group := range sorted {
		switch {
		case Delivered(record, group.ID) || group.ID.Step > request.Step+policy.Window.Ahead:
		case !Fresh(group.Oldest, request.Version, policy.StalenessBound):
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

// fix makes the commit that fixes a step. It also deletes the row of the step
// before, which the request acknowledges.
func fix(rows Rows, record core.DeliveryRecord, request core.BatchRequest, chosen []Finished,
	window Window, guard Guard, id core.AttemptID) Decision {
	ids := make([]core.GroupID, 0, len(chosen))
	oldest := chosen[0].Oldest
	for _, group := range chosen {
		ids = append(ids, group.ID)
		oldest = min(oldest, group.Oldest)
	}
	body := BodyKey(request.Deployment, request.Step, guard.Fence, id)
	deliveryKey, stepKey := Keys(request.Deployment, request.Step)
	step := core.StepRecord{Version: request.Version, Oldest: oldest, Groups: Pack(ids), Body: body}
	writes := []core.Write{
		{Key: stepKey, Record: step},
		{Key: deliveryKey, Record: mark(record, request, ids, window)},
	}
	if request.Step > firstStep {
		_, acknowledged := Keys(request.Deployment, request.Step-1)
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
