package tables

import (
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/rollout"
)

// TestStaleLoadIsNotTaken lets a reading arrive that began before a reload: its
// delivery row would set the deployment's steps back.
func TestStaleLoadIsNotTaken(t *testing.T) {
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
		t.Fatal("a new holding needs no rows")
	}
	rollouts.Load("d", stale, row(1), nil)
	rollouts.Load("d", stale, row(0), nil)
	if got := lastStep(); got != 1 {
		t.Errorf("last step %d after a second reading, want 1", got)
	}
	rollouts.Reload("d", 1)
	fresh, needed := rollouts.Open("d", 1, start)
	if !needed {
		t.Fatal("a reload needs no rows")
	}
	rollouts.Load("d", stale, row(1), nil)
	rollouts.Load("d", fresh, row(2), nil)
	if got := lastStep(); got != 2 {
		t.Errorf("last step %d after a reload, want 2", got)
	}
}

// TestReopenedWorkKeepsWhatWasLearned closes a deployment's work and opens it
// again, as when the lease is not trusted for a moment: what its finished
// samples told must not have to be learned anew.
func TestReopenedWorkKeepsWhatWasLearned(t *testing.T) {
	const samples = 20
	rollouts := NewRollouts()
	now := time.Unix(1, 0)
	policy := rollout.Policy{GroupsPerStep: 1, GroupSize: samples, MaxTokens: 12, Bound: 1}
	load, _ := rollouts.Open("d", 1, now)
	rollouts.Load("d", load, core.Row{}, []string{"p"})
	for _, work := range rollouts.Start("d", 1, policy, 1, samples, now) {
		rollouts.Generated("d", 1, work, 12, now.Add(time.Second))
	}
	rollouts.Close("d")
	load, _ = rollouts.Open("d", 1, now)
	rollouts.Load("d", load, core.Row{}, []string{"p"})
	learned := rollouts.rows["d"].book.Learned()
	if got := learned.History.Tokens.Count(); got != samples {
		t.Errorf("%d samples learned from after the work was opened again, want %d", got, samples)
	}
}

func TestUnreadablePromptsAreNotReadAtEveryLook(t *testing.T) {
	rollouts := NewRollouts()
	start := time.Unix(1, 0)
	rollouts.Open("d", 1, start)
	if !rollouts.SetProblem("d", 1, "gone", start.Add(time.Second)) || rollouts.SetProblem("d", 1, "gone", start.Add(time.Second)) {
		t.Error("a problem is news once")
	}
	for _, c := range []struct {
		after  time.Duration
		needed bool
	}{{0, false}, {999 * time.Millisecond, false}, {time.Second, true}} {
		if _, needed := rollouts.Open("d", 1, start.Add(c.after)); needed != c.needed {
			t.Errorf("%v after the failure: needed %v", c.after, needed)
		}
	}
}
