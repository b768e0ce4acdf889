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
	policy   = delivery.Policy{GroupsPerStep: 4, StalenessBound: 2, Window: delivery.Window{Late: 2, Ahead: 1}}
	fenceKey = core.RowKey{Table: core.TableFence, ID: "d"}
)

// coordinator believes to hold the deployment's lease under its guard.
type coordinator struct {
	guard   delivery.Guard
	rows    delivery.Rows // as read last; may be old
	step    core.Step     // for which rows were read
	pending *delivery.Decision
	request core.BatchRequest
	repeat  bool
}

// deliveries is a trainer and the processes that coordinate its steps.
type deliveries struct {
	store        *store
	coordinators [deliveryCoordinators]coordinator
	bodies       map[core.ObjectKey][]delivery.Finished
	request      core.BatchRequest // the trainer's current one
	answered     bool
	batches      map[core.Step][]core.GroupID
	stepOf       map[core.GroupID]core.Step
	steps        *int // delivered in all systems
}

func newDeliveries(steps *int) *deliveries {
	return &deliveries{
		store:   newStore(),
		bodies:  make(map[core.ObjectKey][]delivery.Finished),
		request: core.BatchRequest{Deployment: "d", Step: 1, Version: 3},
		batches: make(map[core.Step][]core.GroupID),
		stepOf:  make(map[core.GroupID]core.Step),
		steps:   steps,
	}
}

func (s *deliveries) step(d dice) string {
	c := &s.coordinators[d.who%deliveryCoordinators]
	switch op := d.op % 16; {
	case op == 0 && d.how%3 == 0:
		s.takeOver(c)
	case op < 4:
		s.readRows(c)
	case op < 11:
		return s.work(c, d.how)
	case op == 11:
		s.store.arrive(d.how)
	case op == 12:
		s.collect(c)
	case s.answered:
		s.request.Step++
		s.request.Version += core.WeightVersion(d.how % 3)
		s.answered = false
	}
	return ""
}

// takeOver makes c the holder; the former one goes on unaware.
func (s *deliveries) takeOver(c *coordinator) {
	record, _ := s.store.rows[fenceKey].Record.(core.FenceRecord)
	record.Number++
	result := s.store.commit(core.Commit{Attempt: s.store.attempt(), Writes: []core.Write{{Key: fenceKey, Record: record}}})
	*c = coordinator{guard: delivery.Guard{Fence: record.Number, Condition: core.Condition{Key: fenceKey, Version: result.Version}}}
}

func (s *deliveries) readRows(c *coordinator) {
	if c.pending != nil {
		return
	}
	deliveryKey, stepKey := delivery.Keys("d", s.request.Step)
	rows := s.store.read(deliveryKey, stepKey)
	c.rows = delivery.Rows{Delivery: rows[0], Step: rows[1]}
	c.step = s.request.Step
}

// work answers the trainer's request, or goes on with a lost commit.
func (s *deliveries) work(c *coordinator, how int) string {
	if c.guard.Fence == 0 || c.step != s.request.Step && c.pending == nil {
		return ""
	}
	if c.pending != nil {
		return s.resolve(c, how)
	}
	c.request = s.request
	decision, err := delivery.PlanStep(c.rows, c.request, s.finished(how), policy, c.guard, s.store.attempt())
	if err != nil {
		return ""
	}
	switch decision.Kind {
	case delivery.Fetch:
		return s.answer(c.request, decision.Body)
	case delivery.Fix:
		s.bodies[decision.Body] = s.body(decision.Chosen, how)
		c.pending, c.repeat = &decision, false
		return s.send(c, how)
	}
	return ""
}

// finished is groups of the open steps and of delivered ones, of mixed age.
func (s *deliveries) finished(how int) []delivery.Finished {
	var groups []delivery.Finished
	for step := max(s.request.Step, 4) - 3; step <= s.request.Step+2; step++ {
		for index := range policy.GroupsPerStep {
			id := core.GroupID{Step: step, Index: index}
			if (how>>(index+int(step)%4))%3 != 0 {
				groups = append(groups, delivery.Finished{ID: id, Oldest: age(id, how)})
			}
		}
	}
	return groups
}

// age is the oldest weights of one run of a group.
func age(id core.GroupID, how int) core.WeightVersion {
	return core.WeightVersion(id.Step) + core.WeightVersion((how+id.Index)%6)
}

func (s *deliveries) body(chosen []core.GroupID, how int) []delivery.Finished {
	var groups []delivery.Finished
	for _, id := range chosen {
		groups = append(groups, delivery.Finished{ID: id, Oldest: age(id, how)})
	}
	return groups
}

func (s *deliveries) send(c *coordinator, how int) string {
	f := fate(how / 4 % fates)
	result, ok := s.store.send(c.pending.Commit, f)
	switch {
	case ok && result.Applied:
		return s.fixed(c)
	case (ok || f == refused) && !c.repeat:
		c.pending, c.step = nil, 0
	default:
		c.repeat = true
	}
	return ""
}

func (s *deliveries) resolve(c *coordinator, how int) string {
	rows := s.store.read(attempt.Keys(c.pending.Commit)...)
	switch attempt.Judge(c.pending.Commit, rows) {
	case attempt.Applied:
		return s.fixed(c)
	case attempt.Retry:
		return s.send(c, how)
	}
	c.pending, c.step = nil, 0
	return ""
}

func (s *deliveries) fixed(c *coordinator) string {
	body := c.pending.Body
	c.pending, c.step = nil, 0
	return s.answer(c.request, body)
}

// answer is the trainer's check of what it gets.
func (s *deliveries) answer(request core.BatchRequest, key core.ObjectKey) string {
	if request.Step != s.request.Step {
		return "" // the answer to an earlier request comes too late
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
		if uint64(group.Oldest)+policy.StalenessBound < uint64(s.request.Version) {
			return fmt.Sprintf("weights %d delivered to a trainer at %d", group.Oldest, s.request.Version)
		}
	}
	if first, again := s.batches[request.Step]; again && !slices.Equal(first, ids) {
		return fmt.Sprintf("step %d was %v and is %v", request.Step, first, ids)
	}
	s.batches[request.Step] = ids
	if !s.answered {
		*s.steps++
	}
	s.answered = true
	return ""
}

// collect deletes orphaned bodies as a holder that read the rows.
func (s *deliveries) collect(c *coordinator) {
	if c.guard.Fence == 0 {
		return
	}
	deliveryKey, _ := delivery.Keys("d", 0)
	row := s.store.read(deliveryKey)[0]
	record, _ := row.Record.(core.DeliveryRecord)
	_, stepKey := delivery.Keys("d", record.LastStep)
	rows := delivery.Rows{Delivery: row, Step: s.store.read(stepKey)[0]}
	var keys []core.ObjectKey
	for key := range s.bodies {
		keys = append(keys, key)
	}
	for _, key := range delivery.Orphans("d", keys, rows, c.guard.Fence) {
		delete(s.bodies, key)
	}
}

func TestDeliveryInvariants(t *testing.T) {
	steps := 0
	checkInvariants(t, 20261204, func() system { return newDeliveries(&steps) })
	if steps < runs {
		t.Errorf("%d steps delivered in %d runs: the commands do not reach the trainer", steps, runs)
	}
}
