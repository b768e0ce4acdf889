package delivery

import (
	"slices"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

var (
	policy = Policy{GroupsPerStep: 2, StalenessBound: 1, Window: Window{LateSteps: 2, AheadSteps: 1}}
	guard  = Guard{Fence: 4, Condition: core.Condition{Key: core.RowKey{Table: core.TableFence, ID: "d"}, Version: 30}}
)

func newRows(record core.DeliveryRecord, step core.Step) Rows {
	deliveryKey, stepKey := RowKeys("d", step)
	return Rows{Delivery: core.Row{Key: deliveryKey, Version: 8, Record: record}, Step: core.Row{Key: stepKey}}
}

func finishedGroup(step core.Step, index int, oldest core.WeightVersion) FinishedGroup {
	return FinishedGroup{ID: core.GroupID{Step: step, Index: index}, OldestVersion: oldest}
}

func newRequest(step core.Step, version core.WeightVersion) core.BatchRequest {
	return core.BatchRequest{Deployment: "d", Step: step, Version: version}
}

func TestPlanStep(t *testing.T) {
	// Step 4 is fixed at version 7; groups (3,0), (4,0) and (4,1) are
	// delivered.
	record := core.DeliveryRecord{LastStep: 4, LastVersion: 7, Closed: 3,
		Delivered: PackRanges([]core.GroupID{{Step: 3}, {Step: 4}, {Step: 4, Index: 1}})}
	cases := []struct {
		name     string
		request  core.BatchRequest
		finished []FinishedGroup
		chosen   []core.GroupID
		tooOld   []core.GroupID
		missing  int
		conflict bool
	}{
		{"late group first", newRequest(5, 8), []FinishedGroup{finishedGroup(5, 0, 8), finishedGroup(5, 1, 8), finishedGroup(3, 1, 7)},
			[]core.GroupID{{Step: 3, Index: 1}, {Step: 5}}, nil, 0, false},
		{"delivered and closed groups are excluded", newRequest(5, 8), []FinishedGroup{finishedGroup(4, 0, 8), finishedGroup(2, 1, 8), finishedGroup(5, 0, 8)},
			nil, nil, 1, false},
		{"too old for the trainer's weights", newRequest(5, 9), []FinishedGroup{finishedGroup(5, 0, 7), finishedGroup(5, 1, 8), finishedGroup(6, 0, 9)},
			[]core.GroupID{{Step: 5, Index: 1}, {Step: 6}}, []core.GroupID{{Step: 5}}, 0, false},
		{"unknown weights", newRequest(5, 8), []FinishedGroup{finishedGroup(5, 0, 0), finishedGroup(5, 1, 8)}, nil, []core.GroupID{{Step: 5}}, 1, false},
		{"duplicate of a group counts once, with its oldest weights", newRequest(5, 8), []FinishedGroup{finishedGroup(5, 0, 8), finishedGroup(5, 0, 6)},
			nil, []core.GroupID{{Step: 5}}, 2, false},
		{"planned too far ahead", newRequest(5, 8), []FinishedGroup{finishedGroup(5, 0, 8), finishedGroup(7, 0, 8)}, nil, nil, 1, false},
		{"skipped step", newRequest(6, 8), nil, nil, nil, 0, true},
		{"acknowledged step", newRequest(3, 8), nil, nil, nil, 0, true},
		{"older weights than before", newRequest(5, 6), nil, nil, nil, 0, true},
	}
	for _, c := range cases {
		decision, err := PlanStep(newRows(record, c.request.Step), c.request, c.finished, policy, guard, "a1")
		if c.conflict != errkind.Is(err, errkind.StepConflict) {
			t.Errorf("%s: error %v", c.name, err)
			continue
		}
		if !slices.Equal(decision.Chosen, c.chosen) || !slices.Equal(decision.TooOld, c.tooOld) || decision.Missing != c.missing {
			t.Errorf("%s: chosen %v, too old %v, missing %d", c.name, decision.Chosen, decision.TooOld, decision.Missing)
		}
		if decision.Kind == Fix && !slices.Contains(decision.Commit.Conditions, guard.Condition) {
			t.Errorf("%s: commit is not conditional on the fence row", c.name)
		}
	}
}

func TestFetchFixedStep(t *testing.T) {
	record := core.DeliveryRecord{LastStep: 4, LastVersion: 7}
	rows := newRows(record, 4)
	rows.Step.Version = 8
	rows.Step.Record = core.StepRecord{Version: 7, Oldest: 6, Groups: PackRanges([]core.GroupID{{Step: 4}, {Step: 4, Index: 1}}), Body: "b"}
	for _, c := range []struct {
		name     string
		version  core.WeightVersion
		conflict bool
	}{{"same weights", 7, false}, {"older weights", 6, true}, {"weights for which the batch is too old", 8, true}} {
		decision, err := PlanStep(rows, newRequest(4, c.version), nil, policy, guard, "a1")
		if c.conflict != errkind.Is(err, errkind.StepConflict) {
			t.Errorf("%s: error %v", c.name, err)
		}
		if err == nil && (decision.Kind != Fetch || decision.Body != "b" || len(decision.Chosen) != 2) {
			t.Errorf("%s: decision %+v, want the fixed batch of two groups", c.name, decision)
		}
	}
}

func TestOpenReplacesGroupsOfClosedSteps(t *testing.T) {
	record := core.DeliveryRecord{LastStep: 4, Closed: 4, Delivered: PackRanges([]core.GroupID{{Step: 4, Index: 1}, {Step: 5}})}
	want := []core.GroupID{{Step: 4}, {Step: 5, Index: 1}, {Step: 5, Index: 2}}
	if got := OpenGroups(record, 5, 2, 3); !slices.Equal(got, want) {
		t.Errorf("Open = %v, want %v", got, want)
	}
	if got := OpenGroups(record, 3, 2, 3); got != nil {
		t.Errorf("Open of a closed step = %v, want none", got)
	}
}

func TestOrphans(t *testing.T) {
	record := core.DeliveryRecord{LastStep: 4}
	rows := newRows(record, 4)
	referenced := BodyKey("d", 4, 3, "named")
	rows.Step.Record = core.StepRecord{Body: referenced}
	acknowledged := BodyKey("d", 3, 3, "a")
	unreferenced := BodyKey("d", 4, 4, "b")
	formerHolder := BodyKey("d", 5, 3, "c")
	current := BodyKey("d", 5, 4, "e")
	other := BodyKey("d2", 1, 1, "f")
	got := OrphanedBodies("d", []core.ObjectKey{acknowledged, referenced, unreferenced, formerHolder, current, other}, rows, 4)
	if want := []core.ObjectKey{acknowledged, unreferenced, formerHolder}; !slices.Equal(got, want) {
		t.Errorf("Orphans = %v, want %v", got, want)
	}
	rows.Step.Record = nil
	if got := OrphanedBodies("d", []core.ObjectKey{acknowledged}, rows, 4); got != nil {
		t.Errorf("Orphans without the newest step's row = %v, want none", got)
	}
}
