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

// callCounts counts the calls of the table service by one mechanism.
type callCounts struct{ reads, commits, rows int }

func (s *store) callCounts() callCounts { return callCounts{s.reads, s.commits, s.rowsWritten} }

func (c callCounts) String() string {
	return fmt.Sprintf("%d reads, %d commits, %d rows written", c.reads, c.commits, c.rows)
}

// countLeaseHour counts the calls for one lease over an hour, with a number of
// standby processes that read it every RenewEvery.
func countLeaseHour(standbys int) callCounts {
	service := newStore()
	leaseKey, fenceKey := lease.Keys("x")
	trackers := make([]*lease.Tracker, 1+standbys)
	for i := range trackers {
		trackers[i] = lease.New("x", lease.Self{VM: core.VMID(fmt.Sprint(i))}, timing)
	}
	start := time.Unix(0, 0)
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(100 * time.Millisecond) {
		for _, tracker := range trackers {
			for action := tracker.Decide(now, service.newAttempt()); action.Kind != lease.ActionWait; action = tracker.Decide(now, service.newAttempt()) {
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
	return service.callCounts()
}

// countGroupedClaims counts the calls for claiming requests and recording their
// outcomes in groups of the given size. One request in every repeats is sent twice.
func countGroupedClaims(requests, size, repeats int) callCounts {
	service := newStore()
	owner := claim.Owner{VM: "vm", Incarnation: 1}
	var claimed []core.Commit
	for from := 0; from < requests; from += size {
		var members []core.Commit
		for key := from; key < from+size; key++ {
			if repeats > 0 && key > size && key%repeats == 0 {
				repeat := claimRequest(key - size)
				members = append(members, claim.Plan(core.Row{Key: repeat.Key}, repeat, owner, service.newAttempt()).Commit)
			}
			request := claimRequest(key)
			members = append(members, claim.Plan(core.Row{Key: request.Key}, request, owner, service.newAttempt()).Commit)
		}
		claimed = append(claimed, commitAll(service, members)...)
	}
	for from := 0; from < len(claimed); from += size {
		var outcomes []core.Commit
		for _, member := range claimed[from:min(from+size, len(claimed))] {
			key, record := claim.InsertedRecord(member)
			outcomes = append(outcomes, claim.RecordOutcome(key, service.rows[key].Version, record, core.PlainResponse{}, service.newAttempt()))
		}
		commitAll(service, outcomes)
	}
	return service.callCounts()
}

// commitAll commits members in groups and reads the rows of those refused. It returns
// those that took effect.
func commitAll(service *store, members []core.Commit) (applied []core.Commit) {
	for len(members) > 0 {
		batch, rest := claim.NewBatch(service.newAttempt(), members)
		split := batch.ApplyReply(service.commit(batch.Commit))
		applied = append(applied, split.Applied...)
		for _, refused := range split.Refused {
			service.read(refused.Writes[0].Key)
		}
		members = append(split.Retry, rest...)
	}
	return applied
}

// countSingleClaims counts the calls of the baseline, which reads, claims and records each
// request individually.
func countSingleClaims(requests int) callCounts {
	service := newStore()
	owner := claim.Owner{VM: "vm", Incarnation: 1}
	for key := range requests {
		request := claimRequest(key)
		row := service.read(request.Key)[0]
		insert := claim.Plan(row, request, owner, service.newAttempt()).Commit
		result := service.commit(insert)
		rowKey, record := claim.InsertedRecord(insert)
		service.commit(claim.RecordOutcome(rowKey, result.Version, record, core.PlainResponse{}, service.newAttempt()))
	}
	return service.callCounts()
}

const (
	stepSamples  = 8192
	groupSamples = 8
	steps        = 10
)

// countStepCommits counts the calls for fixing steps, with one group in 100 finishing a
// step late. It also returns the maximum number of ranges in the delivery row.
func countStepCommits() (total callCounts, ranges int) {
	service := newStore()
	perStep := stepSamples / groupSamples
	policy := delivery.Policy{GroupsPerStep: perStep, StalenessBound: 4, Window: delivery.Window{LateSteps: 4, AheadSteps: 1}}
	guard := delivery.Guard{Fence: 1, Condition: core.Condition{Key: fenceKey}}
	deliveryKey, _ := delivery.RowKeys("d", 1)
	rows := delivery.Rows{Delivery: service.read(deliveryKey)[0]}
	for step := core.Step(1); step <= steps; step++ {
		record, _ := rows.Delivery.Record.(core.DeliveryRecord)
		_, rows.Step.Key = delivery.RowKeys("d", step)
		var finished []delivery.FinishedGroup
		for _, id := range delivery.OpenGroups(record, step+1, perStep, 2*perStep) {
			if id.Step < step || id.Index%100 != 99 {
				finished = append(finished, delivery.FinishedGroup{ID: id, OldestVersion: core.WeightVersion(step)})
			}
		}
		request := core.BatchRequest{Deployment: "d", Step: step, Version: core.WeightVersion(step)}
		decision, err := delivery.PlanStep(rows, request, finished, policy, guard, service.newAttempt())
		if err != nil || decision.Kind != delivery.Fix {
			panic(fmt.Sprint(decision.Kind, err))
		}
		result := service.commit(decision.Commit)
		rows.Delivery = core.Row{Key: deliveryKey, Version: result.Version, Record: decision.Commit.Writes[1].Record}
		ranges = max(ranges, len(rows.Delivery.Record.(core.DeliveryRecord).Delivered))
	}
	return service.callCounts(), ranges
}

// countSampleInserts counts the calls of the baseline, which inserts each sample
// individually.
func countSampleInserts() callCounts {
	service := newStore()
	for step := range steps {
		for sample := range stepSamples {
			key := core.RowKey{Table: core.TableStep, ID: fmt.Sprint(step, "/", sample)}
			service.commit(core.Commit{Conditions: []core.Condition{{Key: key}}, Writes: []core.Write{{Key: key, Record: core.StepRecord{}}}})
		}
	}
	return service.callCounts()
}

// TestTableServiceCalls checks the calls of each mechanism against its budget.
func TestTableServiceCalls(t *testing.T) {
	const (
		requests  = 9600
		groupSize = 32
		hour      = 3600
	)
	oneLease := countLeaseHour(2)
	t.Logf("one lease for an hour, 2 standby processes: %v", oneLease)
	if oneLease.commits > hour/3+1 || oneLease.reads > 2*hour/3+2 {
		t.Errorf("one lease for an hour takes %v", oneLease)
	}
	grouped, individual := countGroupedClaims(requests, groupSize, 0), countSingleClaims(requests)
	repeated := countGroupedClaims(requests, groupSize, 100)
	t.Logf("%d non-idempotent requests: individually %v; in groups of %d: %v; with 1%% sent twice: %v",
		requests, individual, groupSize, grouped, repeated)
	if grouped.commits != 2*requests/groupSize || repeated.commits*10 > individual.commits || repeated.rows != individual.rows {
		t.Errorf("claims in groups take %v, with repeats %v", grouped, repeated)
	}
	batches, ranges := countStepCommits()
	inserts := countSampleInserts()
	t.Logf("%d steps of %d samples: sample inserts %v; step commits %v; at most %d ranges in the delivery row",
		steps, stepSamples, inserts, batches, ranges)
	if batches.commits != steps || batches.rows > 3*steps {
		t.Errorf("%d steps take %v", steps, batches)
	}
}
