package tables

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestStaleLoadIsNotTaken lets a reading arrive that began before a reload: its
// delivery row would set the deployment's steps back.
func TestStaleLoadIsNotTaken(t *testing.T) {
	rollouts := NewRollouts()
	row := func(step core.Step) core.Row { return core.Row{Record: core.DeliveryRecord{LastStep: step}} }
	lastStep := func() core.Step {
		delivered, _, ok := rollouts.BeginBatch("d", 1, 1, time.Unix(1, 0))
		if !ok {
			t.Fatal("rows are not loaded")
		}
		rollouts.EndBatch("d", 1, nil, 0, 0)
		return delivered.Record.(core.DeliveryRecord).LastStep
	}
	stale, needed := rollouts.Open("d", 1)
	if !needed {
		t.Fatal("a new holding needs no rows")
	}
	rollouts.Load("d", stale, row(1), nil)
	rollouts.Load("d", stale, row(0), nil)
	if got := lastStep(); got != 1 {
		t.Errorf("last step %d after a second reading, want 1", got)
	}
	rollouts.Reload("d", 1)
	fresh, needed := rollouts.Open("d", 1)
	if !needed {
		t.Fatal("a reload needs no rows")
	}
	rollouts.Load("d", stale, row(1), nil)
	rollouts.Load("d", fresh, row(2), nil)
	if got := lastStep(); got != 2 {
		t.Errorf("last step %d after a reload, want 2", got)
	}
}
