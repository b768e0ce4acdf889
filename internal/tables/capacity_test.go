package tables

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/claim"
	"fescuespar/internal/core/rollout"
)

// The benchmarks in this file measure the costs per item that docs/CAPACITY.md
// lists.

// heapBytes returns the bytes of live heap objects after a garbage collection.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkAnswerMemory reports the heap bytes of one finished answer by its
// number of tokens and by the number of answers.
func BenchmarkAnswerMemory(b *testing.B) {
	for _, c := range []struct{ answers, tokens int }{
		{1000, 32}, {1000, 128}, {1000, 512}, {1000, 2048}, {4000, 295}, {16000, 295},
	} {
		b.Run(fmt.Sprintf("answers=%d/tokens=%d", c.answers, c.tokens), func(b *testing.B) {
			before, table := heapBytes(), NewAnswers(c.answers)
			for i := range c.answers {
				addFinishedAnswer(b, table, AnswerKey{Caller: "family", ID: core.RequestID(fmt.Sprint("entry-1.1.", i))}, c.tokens)
			}
			b.ReportMetric((heapBytes()-before)/float64(c.answers), "heap-B/answer")
			runtime.KeepAlive(table)
		})
	}
}

func addFinishedAnswer(b *testing.B, table *Answers, key AnswerKey, tokens int) {
	source := core.AnswerSource{Server: "engine-1", Attempt: "entry-1.1.1"}
	if _, err := table.Begin(key, 0); err != nil {
		b.Fatal(err)
	}
	if _, _, err := table.StartAttempt(key, source); err != nil {
		b.Fatal(err)
	}
	for offset := range tokens {
		chunk := core.Chunk{Offset: offset, Tokens: []string{strings.Clone("token")}, Version: 1}
		if err := table.Append(key, source, chunk); err != nil {
			b.Fatal(err)
		}
	}
	if err := table.Finish(key, source, core.StreamEnd{Finish: core.FinishStop, Tokens: tokens}, time.Now()); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRolloutMemory reports the heap bytes of one finished sample of 295
// tokens that waits for its step, and the time to plan two steps.
func BenchmarkRolloutMemory(b *testing.B) {
	const groupSize, tokens, steps = 8, 295, 2
	for _, perStep := range []int{128, 1024, 8192} {
		b.Run(fmt.Sprintf("samples=%d", perStep), func(b *testing.B) {
			before, table := heapBytes(), NewRollouts()
			policy := rollout.Policy{GroupsPerStep: perStep / groupSize, GroupSize: groupSize, MaxTokens: tokens, StalenessBound: steps, IdleWeight: 1}
			now := time.Unix(1e9, 0)
			load, _ := table.Open("coach", 1, now)
			table.Load("coach", load, core.Row{}, []string{"advise a family"})
			works := table.Start("coach", 1, policy, 1, steps*perStep, now)
			for _, work := range works {
				sample := core.Sample{Deployment: "coach", ID: work.ID, Spans: []core.Span{{To: tokens, Version: 1}}}
				for range tokens {
					sample.Tokens = append(sample.Tokens, strings.Clone("token"))
				}
				table.RecordGenerated("coach", 1, work, tokens, now)
				table.Finish(1, work, sample, now)
			}
			perSample := (heapBytes() - before) / float64(len(works))
			b.ResetTimer()
			for range b.N {
				table.Start("coach", 1, policy, 1, steps*perStep, now)
			}
			b.ReportMetric(perSample, "heap-B/sample")
		})
	}
}

// BenchmarkClaimMemory reports the heap bytes of one claim that waits for a
// commit.
func BenchmarkClaimMemory(b *testing.B) {
	for _, claims := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			before, table := heapBytes(), NewCommits()
			for i := range claims {
				key := claim.Key("donor", "desk", core.IdempotencyKey(fmt.Sprintf("%036d", i)))
				request := claim.Request{Key: key, Fingerprint: uint64(i), TakenAt: time.Now()}
				owner := claim.Owner{VM: "entry-1", Incarnation: 1}
				commit := claim.Plan(core.Row{Key: key}, request, owner, core.AttemptID(fmt.Sprint(i))).Commit
				table.Enqueue(commit, func(CommitOutcome) {})
			}
			b.ReportMetric((heapBytes()-before)/float64(claims), "heap-B/claim")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkLimitsFleet reports the heap bytes of a deployment's limit and the
// time to refresh nine deployments, by the number of entry processes and of
// those that borrow units.
func BenchmarkLimitsFleet(b *testing.B) {
	const deployments = 9
	timing := admission.ShareTiming{LoanTimeout: 30 * time.Second, PeerTimeout: 35 * time.Second, StartupDelay: 2 * time.Second}
	for _, c := range []struct{ members, borrowers int }{{10, 0}, {100, 0}, {610, 0}, {10, 9}, {100, 24}, {610, 24}} {
		b.Run(fmt.Sprintf("members=%d/borrowers=%d", c.members, c.borrowers), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			before, table := heapBytes(), NewLimits("entry-0", 1, timing, now.Add(-time.Hour))
			fillLimits(b, table, deployments, c.members, now)
			lendUnits(b, table, deployments, c.borrowers, now)
			perDeployment := (heapBytes() - before) / deployments
			b.ResetTimer()
			for range b.N {
				table.Refresh(now)
			}
			b.ReportMetric(perDeployment, "heap-B/deployment")
		})
	}
}

// fillLimits lists the members, admits one request to each deployment and
// exchanges one heartbeat with every member.
func fillLimits(b *testing.B, table *Limits, deployments, members int, now time.Time) {
	vms := make([]core.VMID, members)
	for i := range vms {
		vms[i] = core.VMID(fmt.Sprint("entry-", i))
	}
	table.ApplyEntryVMs(vms, now.Add(-time.Hour))
	table.Refresh(now)
	for i := range deployments {
		deployment := &core.Deployment{
			Name: core.DeploymentName(fmt.Sprint("coach-", i)), Limits: core.Limits{Concurrent: 20000, QueueLength: 20000},
		}
		request := &admission.Request[AdmissionCallback]{Caller: "family", Class: core.ClassInteractive, Cost: 1, Payload: func(error) {}}
		if _, err := table.Admit(deployment, request, now); err != nil {
			b.Fatal(err)
		}
	}
	for _, vm := range vms[1:] {
		table.ApplyUpdates(vm, table.HeartbeatUpdates(vm, false, now), now, now)
	}
}

// lendUnits lends one unit of every deployment to each of the first borrowers
// peers.
func lendUnits(b *testing.B, table *Limits, deployments, borrowers int, now time.Time) {
	for i := range borrowers {
		vm := core.VMID(fmt.Sprint("entry-", i+1))
		var demands []core.LimitUpdate
		for d := range deployments {
			demands = append(demands, core.LimitUpdate{
				Deployment: core.DeploymentName(fmt.Sprint("coach-", d)), Epoch: core.AccountEpoch{Incarnation: 1, Reset: 1}, Demand: 1,
			})
		}
		table.ApplyUpdates(vm, demands, time.Time{}, now)
		for _, update := range table.HeartbeatUpdates(vm, true, now) {
			if update.Lent != 1 {
				b.Fatalf("%d units lent to %s, want 1", update.Lent, vm)
			}
		}
	}
}
