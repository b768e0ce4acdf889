package tables

import (
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rollout"
)

// TestStaleLoadIsIgnored delivers the result of a read that began before a
// reload. Its delivery row would set the deployment back to an earlier step.
func TestStaleLoadIsIgnored(t *testing.T) {
	rollouts := NewRollouts()
	start := time.Unix(1, 0)
	row := func(step core.Step) core.Row { return core.Row{Record: core.DeliveryRecord{LastStep: step}} }
	lastStep := func() core.Step {
		delivered, _, ok := rollouts.BeginBatch("d", 1, 1, time.Unix(1, 0))
		if !ok {
			t.Fatal("rows are not loaded")
		}
		rollouts.EndBatch("d", 1, nil, 0, 0)
		return delivered.Record.(core.DeliveryRecord).LastStep
	}
	stale, needed := rollouts.Open("d", 1, start)
	if !needed {
		t.Fatal("Open under a new fencing number does not require a load")
	}
	rollouts.Load("d", stale, row(1), nil)
	rollouts.Load("d", stale, row(0), nil)
	if got := lastStep(); got != 1 {
		t.Errorf("last step %d after a second load, want 1", got)
	}
	rollouts.Reload("d", 1)
	fresh, needed := rollouts.Open("d", 1, start)
	if !needed {
		t.Fatal("Open after Reload does not require a load")
	}
	rollouts.Load("d", stale, row(1), nil)
	rollouts.Load("d", fresh, row(2), nil)
	if got := lastStep(); got != 2 {
		t.Errorf("last step %d after a reload, want 2", got)
	}
}

// TestReopenedWorkKeepsStatistics closes a deployment's work and opens it again,
// as happens when the lease is not valid for a moment: the statistics of its
// finished samples must not be lost.
func TestReopenedWorkKeepsStatistics(t *testing.T) {
	const samples = 20
	rollouts := NewRollouts()
	now := time.Unix(1, 0)
	policy := rollout.Policy{GroupsPerStep: 1, GroupSize: samples, MaxTokens: 12, StalenessBound: 1}
	load, _ := rollouts.Open("d", 1, now)
	rollouts.Load("d", load, core.Row{}, []string{"p"})
	for _, work := range rollouts.Start("d", 1, policy, 1, samples, now) {
		rollouts.RecordGenerated("d", 1, work, 12, now.Add(time.Second))
	}
	rollouts.Close("d")
	load, _ = rollouts.Open("d", 1, now)
	rollouts.Load("d", load, core.Row{}, []string{"p"})
	learned := rollouts.rows["d"].scheduler.Statistics()
	if got := learned.History.Tokens.Count(); got != samples {
		t.Errorf("statistics of %d samples after the work was reopened, want %d", got, samples)
	}
}

// TestFailedLoadIsDelayed guards against unreadable prompts being read again on
// every call of Open.
func TestFailedLoadIsDelayed(t *testing.T) {
	rollouts := NewRollouts()
	start := time.Unix(1, 0)
	rollouts.Open("d", 1, start)
	if !rollouts.SetProblem("d", 1, "gone", start.Add(time.Second)) || rollouts.SetProblem("d", 1, "gone", start.Add(time.Second)) {
		t.Error("SetProblem must report a change for the first call only")
	}
	for _, c := range []struct {
		after  time.Duration
		needed bool
	}{{0, false}, {999 * time.Millisecond, false}, {time.Second, true}} {
		if _, needed := rollouts.Open("d", 1, start.Add(c.after)); needed != c.needed {
			t.Errorf("%v after the failure: load needed %v, want %v", c.after, needed, c.needed)
		}
	}
}
