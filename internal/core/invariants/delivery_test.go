package invariants

import (
	"fmt"
	"slices"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/core/attempt"
	"fescuespar/internal/core/delivery"
)

const deliveryCoordinators = 3

var (
	policy   = delivery.Policy{GroupsPerStep: 4, StalenessBound: 2, Window: delivery.Window{LateSteps: 2, AheadSteps: 1}}
	fenceKey = core.RowKey{Table: core.TableFence, ID: "d"}
)

// coordinator is a process that holds the deployment's lease, or held it and does not
// know yet that it lost it.
type coordinator struct {
	guard    delivery.Guard
	rows     delivery.Rows // as last read; may be outdated
	step     core.Step     // step for which rows were read
	pending  *delivery.Decision
	request  core.BatchRequest
	repeated bool
}

// deliverySystem is a trainer and the processes that coordinate its steps.
type deliverySystem struct {
	store        *store
	coordinators [deliveryCoordinators]coordinator
	bodies       map[core.ObjectKey][]delivery.FinishedGroup
	request      core.BatchRequest // current request of the trainer
	answered     bool
	batches      map[core.Step][]core.GroupID
	stepOf       map[core.GroupID]core.Step
	steps        *int // steps delivered, over all systems
}

func newDeliveries(steps *int) *deliverySystem {
	return &deliverySystem{
		store:   newStore(),
		bodies:  make(map[core.ObjectKey][]delivery.FinishedGroup),
		request: core.BatchRequest{Deployment: "d", Step: 1, Version: 3},
		batches: make(map[core.Step][]core.GroupID),
		stepOf:  make(map[core.GroupID]core.Step),
		steps:   steps,
	}
}

func (s *deliverySystem) step(d choice) string {
	c := &s.coordinators[d.actor%deliveryCoordinators]
	switch op := d.op % 16; {
	case op == 0 && d.variant%3 == 0:
		s.takeOver(c)
	case op < 4:
		s.readRows(c)
	case op < 11:
		return s.answerRequest(c, d.variant)
	case op == 11:
		s.store.deliverDelayed(d.variant)
	case op == 12:
		s.deleteOrphans(c)
	case s.answered:
		s.request.Step++
		s.request.Version += core.WeightVersion(d.variant % 3)
		s.answered = false
	}
	return ""
}

// takeOver makes c the holder; the former holder continues without knowing it.
func (s *deliverySystem) takeOver(c *coordinator) {
	record, _ := s.store.rows[fenceKey].Record.(core.FenceRecord)
	record.Number++
	result := s.store.commit(core.Commit{Attempt: s.store.newAttempt(), Writes: []core.Write{{Key: fenceKey, Record: record}}})
	*c = coordinator{guard: delivery.Guard{Fence: record.Number, Condition: core.Condition{Key: fenceKey, Version: result.Version}}}
}

func (s *deliverySystem) readRows(c *coordinator) {
	if c.pending != nil {
		return
	}
	deliveryKey, stepKey := delivery.RowKeys("d", s.request.Step)
	rows := s.store.read(deliveryKey, stepKey)
	c.rows = delivery.Rows{Delivery: rows[0], Step: rows[1]}
	c.step = s.request.Step
}

// answerRequest answers the trainer's request, or resolves a commit whose reply was lost.
func (s *deliverySystem) answerRequest(c *coordinator, variant int) string {
	if c.guard.Fence == 0 || c.step != s.request.Step && c.pending == nil {
		return ""
	}
	if c.pending != nil {
		return s.resolve(c, variant)
	}
	c.request = s.request
	decision, err := delivery.PlanStep(c.rows, c.request, s.finishedGroups(variant), policy, c.guard, s.store.newAttempt())
	if err != nil {
		return ""
	}
	switch decision.Kind {
	case delivery.Fetch:
		return s.checkAnswer(c.request, decision.Body)
	case delivery.Fix:
		s.bodies[decision.Body] = s.groupsOf(decision.Chosen, variant)
		c.pending, c.repeated = &decision, false
		return s.send(c, variant)
	}
	return ""
}

// finishedGroups returns groups of open and of delivered steps, of various ages.
func (s *deliverySystem) finishedGroups(variant int) []delivery.FinishedGroup {
	var groups []delivery.FinishedGroup
	for step := max(s.request.Step, 4) - 3; step <= s.request.Step+2; step++ {
		for index := range policy.GroupsPerStep {
			id := core.GroupID{Step: step, Index: index}
			if (variant>>(index+int(step)%4))%3 != 0 {
				groups = append(groups, delivery.FinishedGroup{ID: id, OldestVersion: oldestVersion(id, variant)})
			}
		}
	}
	return groups
}

// oldestVersion returns the oldest weights of one run of a group.
func oldestVersion(id core.GroupID, variant int) core.WeightVersion {
	return core.WeightVersion(id.Step) + core.WeightVersion((variant+id.Index)%6)
}

func (s *deliverySystem) groupsOf(chosen []core.GroupID, variant int) []delivery.FinishedGroup {
	var groups []delivery.FinishedGroup
	for _, id := range chosen {
		groups = append(groups, delivery.FinishedGroup{ID: id, OldestVersion: oldestVersion(id, variant)})
	}
	return groups
}

func (s *deliverySystem) send(c *coordinator, variant int) string {
	outcome := sendOutcome(variant / 4 % sendOutcomes)
	result, ok := s.store.send(c.pending.Commit, outcome)
	switch {
	case ok && result.Applied:
		return s.checkFixed(c)
	case (ok || outcome == refused) && !c.repeated:
		c.pending, c.step = nil, 0
	default:
		c.repeated = true
	}
	return ""
}

func (s *deliverySystem) resolve(c *coordinator, variant int) string {
	rows := s.store.read(attempt.KeysToRead(c.pending.Commit)...)
	switch attempt.Judge(c.pending.Commit, rows) {
	case attempt.Applied:
		return s.checkFixed(c)
	case attempt.Retry:
		return s.send(c, variant)
	}
	c.pending, c.step = nil, 0
	return ""
}

func (s *deliverySystem) checkFixed(c *coordinator) string {
	body := c.pending.Body
	c.pending, c.step = nil, 0
	return s.checkAnswer(c.request, body)
}

// checkAnswer checks a batch as received by the trainer: its body exists, no group is
// in two steps, no group is too old, and a step always has the same groups.
func (s *deliverySystem) checkAnswer(request core.BatchRequest, key core.ObjectKey) string {
	if request.Step != s.request.Step {
		return "" // a late answer to an earlier request
	}
	body, found := s.bodies[key]
	if !found {
		return fmt.Sprintf("the body of step %d was deleted", request.Step)
	}
	var ids []core.GroupID
	for _, group := range body {
		ids = append(ids, group.ID)
		if step, delivered := s.stepOf[group.ID]; delivered && step != request.Step {
			return fmt.Sprintf("group %v is in steps %d and %d", group.ID, step, request.Step)
		}
		s.stepOf[group.ID] = request.Step
		if uint64(group.OldestVersion)+policy.StalenessBound < uint64(s.request.Version) {
			return fmt.Sprintf("a group of weights %d was delivered to a trainer at version %d", group.OldestVersion, s.request.Version)
		}
	}
	if first, repeated := s.batches[request.Step]; repeated && !slices.Equal(first, ids) {
		return fmt.Sprintf("step %d was delivered with groups %v and again with %v", request.Step, first, ids)
	}
	s.batches[request.Step] = ids
	if !s.answered {
		*s.steps++
	}
	s.answered = true
	return ""
}

// deleteOrphans deletes orphaned bodies as the coordinator would after reading the rows.
func (s *deliverySystem) deleteOrphans(c *coordinator) {
	if c.guard.Fence == 0 {
		return
	}
	deliveryKey, _ := delivery.RowKeys("d", 0)
	row := s.store.read(deliveryKey)[0]
	record, _ := row.Record.(core.DeliveryRecord)
	_, stepKey := delivery.RowKeys("d", record.LastStep)
	rows := delivery.Rows{Delivery: row, Step: s.store.read(stepKey)[0]}
	var keys []core.ObjectKey
	for key := range s.bodies {
		keys = append(keys, key)
	}
	for _, key := range delivery.OrphanedBodies("d", keys, rows, c.guard.Fence) {
		delete(s.bodies, key)
	}
}

func TestDeliveryInvariants(t *testing.T) {
	steps := 0
	checkInvariants(t, 20261204, func() system { return newDeliveries(&steps) })
	if steps < runs {
		t.Errorf("%d steps delivered in %d runs, want at least one per run: the commands do not exercise the trainer", steps, runs)
	}
}
