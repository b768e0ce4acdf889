package invariants

import (
	"fmt"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/claim"
	"fescuespar/internal/core/delivery"
	"fescuespar/internal/core/lease"
)

// cost is what one mechanism asks of the table service.
type cost struct{ reads, commits, rows int }

func (s *store) cost() cost { return cost{s.reads, s.commits, s.rowsWritten} }

func (c cost) String() string {
	return fmt.Sprintf("%d reads, %d commits, %d rows written", c.reads, c.commits, c.rows)
}

// leaseHour keeps one lease for an hour with a number of standby processes
// that read it at every RenewEvery.
func leaseHour(standbys int) cost {
	service := newStore()
	leaseKey, fenceKey := lease.Keys("x")
	trackers := make([]*lease.Tracker, 1+standbys)
	for i := range trackers {
		trackers[i] = lease.New("x", lease.Self{VM: core.VMID(fmt.Sprint(i))}, timing)
	}
	start := time.Unix(0, 0)
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(100 * time.Millisecond) {
		for _, tracker := range trackers {
			for action := tracker.Decide(now, service.attempt()); action.Kind != lease.ActionWait; action = tracker.Decide(now, service.attempt()) {
				if action.Kind == lease.ActionRead {
					rows := service.read(leaseKey, fenceKey)
					tracker.Observe(rows[0], rows[1], now)
					continue
				}
				tracker.CommitSent(action, now)
				tracker.Committed(service.commit(action.Commit), now)
			}
		}
	}
	return service.cost()
}

// claimGroups claims requests and records their outcomes in groups of size.
// One request in every repeats is sent twice.
func claimGroups(requests, size, repeats int) cost {
	service := newStore()
	owner := claim.Owner{VM: "vm", Incarnation: 1}
	var taken []core.Commit
	for from := 0; from < requests; from += size {
		var members []core.Commit
		for key := from; key < from+size; key++ {
			if repeats > 0 && key > size && key%repeats == 0 {
				repeat := claimRequest(key - size)
				members = append(members, claim.Plan(core.Row{Key: repeat.Key}, repeat, owner, service.attempt()).Commit)
			}
			request := claimRequest(key)
			members = append(members, claim.Plan(core.Row{Key: request.Key}, request, owner, service.attempt()).Commit)
		}
		taken = append(taken, commitAll(service, members)...)
	}
	for from := 0; from < len(taken); from += size {
		var outcomes []core.Commit
		for _, member := range taken[from:min(from+size, len(taken))] {
			key, record := claim.Taken(member)
			outcomes = append(outcomes, claim.RecordOutcome(key, service.rows[key].Version, record, core.PlainResponse{}, service.attempt()))
		}
		commitAll(service, outcomes)
	}
	return service.cost()
}

// commitAll commits members in groups and reads the rows of the refused ones.
func commitAll(service *store, members []core.Commit) (applied []core.Commit) {
	for len(members) > 0 {
		batch, rest := claim.NewBatch(service.attempt(), members)
		split := batch.Settle(service.commit(batch.Commit))
		applied = append(applied, split.Applied...)
		for _, refused := range split.Refused {
			service.read(refused.Writes[0].Key)
		}
		members = append(split.Again, rest...)
	}
	return applied
}

// claimEach is the baseline: read, claim and record each request by itself.
func claimEach(requests int) cost {
	service := newStore()
	owner := claim.Owner{VM: "vm", Incarnation: 1}
	for key := range requests {
		request := claimRequest(key)
		row := service.read(request.Key)[0]
		insert := claim.Plan(row, request, owner, service.attempt()).Commit
		result := service.commit(insert)
		rowKey, record := claim.Taken(insert)
		service.commit(claim.RecordOutcome(rowKey, result.Version, record, core.PlainResponse{}, service.attempt()))
	}
	return service.cost()
}

const (
	stepSamples  = 8192
	groupSamples = 8
	steps        = 10
)

// deliverSteps fixes steps; one group in 100 comes a step late. It returns the
// cost and the most ranges that the delivery row held.
func deliverSteps() (total cost, ranges int) {
	service := newStore()
	perStep := stepSamples / groupSamples
	steady := delivery.Policy{GroupsPerStep: perStep, StalenessBound: 4, Window: delivery.Window{Late: 4, Ahead: 1}}
	guard := delivery.Guard{Fence: 1, Condition: core.Condition{Key: fenceKey}}
	deliveryKey, _ := delivery.Keys("d", 1)
	rows := delivery.Rows{Delivery: service.read(deliveryKey)[0]}
	for step := core.Step(1); step <= steps; step++ {
		record, _ := rows.Delivery.Record.(core.DeliveryRecord)
		_, rows.Step.Key = delivery.Keys("d", step)
		var finished []delivery.Finished
		for _, id := range delivery.Open(record, step+1, perStep, 2*perStep) {
			if id.Step < step || id.Index%100 != 99 {
				finished = append(finished, delivery.Finished{ID: id, Oldest: core.WeightVersion(step)})
			}
		}
		request := core.BatchRequest{Deployment: "d", Step: step, Version: core.WeightVersion(step)}
		decision, err := delivery.PlanStep(rows, request, finished, steady, guard, service.attempt())
		if err != nil || decision.Kind != delivery.Fix {
			panic(fmt.Sprint(decision.Kind, err))
		}
		result := service.commit(decision.Commit)
		rows.Delivery = core.Row{Key: deliveryKey, Version: result.Version, Record: decision.Commit.Writes[1].Record}
		ranges = max(ranges, len(rows.Delivery.Record.(core.DeliveryRecord).Delivered))
	}
	return service.cost(), ranges
}

// deliverEach is the baseline: one insert for each sample.
func deliverEach() cost {
	service := newStore()
	for step := range steps {
		for sample := range stepSamples {
			key := core.RowKey{Table: core.TableStep, ID: fmt.Sprint(step, "/", sample)}
			service.commit(core.Commit{Conditions: []core.Condition{{Key: key}}, Writes: []core.Write{{Key: key, Record: core.StepRecord{}}}})
		}
	}
	return service.cost()
}

// TestTableServiceCalls holds each mechanism to its share of the budget.
func TestTableServiceCalls(t *testing.T) {
	const (
		requests  = 9600
		groupSize = 32
		hour      = 3600
	)
	oneLease := leaseHour(2)
	t.Logf("lease-hour, 2 standbys: %v", oneLease)
	if oneLease.commits > hour/3+1 || oneLease.reads > 2*hour/3+2 {
		t.Errorf("a lease-hour costs %v", oneLease)
	}
	grouped, each := claimGroups(requests, groupSize, 0), claimEach(requests)
	repeated := claimGroups(requests, groupSize, 100)
	t.Logf("%d non-idempotent requests: one by one %v; in groups of %d: %v; with 1%% sent twice: %v",
		requests, each, groupSize, grouped, repeated)
	if grouped.commits != 2*requests/groupSize || repeated.commits*10 > each.commits || repeated.rows != each.rows {
		t.Errorf("claims in groups cost %v, with repeats %v", grouped, repeated)
	}
	batches, ranges := deliverSteps()
	single := deliverEach()
	t.Logf("%d steps of %d samples: one by one %v; step commits %v; at most %d ranges of marks",
		steps, stepSamples, single, batches, ranges)
	if batches.commits != steps || batches.rows > 3*steps {
		t.Errorf("%d steps cost %v", steps, batches)
	}
}
