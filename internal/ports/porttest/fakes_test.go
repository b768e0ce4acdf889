package porttest_test

import (
	"context"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports/porttest"
	"fescuespar/internal/ports/porttest/faults"
)

func TestTablesKeepTheContract(t *testing.T) {
	porttest.TableService(t, func(*testing.T) porttest.TableHarness {
		fake := porttest.NewTables()
		return porttest.TableHarness{Service: fake, Control: fake}
	})
}

func TestObjectsKeepTheContract(t *testing.T) {
	porttest.ObjectStore(t, func(*testing.T) porttest.ObjectHarness {
		fake := porttest.NewObjects()
		return porttest.ObjectHarness{Store: fake, Control: fake}
	})
}

func TestVMsKeepTheContract(t *testing.T) {
	porttest.VMList(t, func(*testing.T) porttest.VMHarness {
		fake := porttest.NewVMs()
		return porttest.VMHarness{List: fake, Control: fake, Set: fake.Set}
	})
}

func TestCallUnderLockPanics(t *testing.T) {
	if !lockrank.Checked {
		t.Skip("built without the tag lockcheck")
	}
	held := lockrank.New(lockrank.RankLifecycle)
	held.Lock()
	defer held.Unlock()
	defer func() {
		if recover() == nil {
			t.Error("call of a fake under a lock of the service did not panic")
		}
	}()
	_, _ = porttest.NewTables().Read(context.Background(), nil)
}

func TestStoredRecordsAreCopies(t *testing.T) {
	fake := porttest.NewTables()
	key := core.RowKey{Table: core.TableStep, ID: "x"}
	groups := []core.GroupRange{{Step: 1}}
	write := core.Write{Key: key, Record: core.StepRecord{Groups: groups}}
	if _, err := fake.Commit(context.Background(), core.Commit{Writes: []core.Write{write}}); err != nil {
		t.Fatal(err)
	}
	groups[0].Step = 9
	for range 2 {
		rows, err := fake.Read(context.Background(), []core.RowKey{key})
		if err != nil {
			t.Fatal(err)
		}
		read := rows[0].Record.(core.StepRecord)
		if read.Groups[0].Step != 1 {
			t.Errorf("stored step %d, want 1", read.Groups[0].Step)
		}
		read.Groups[0].Step = 9
	}
}

func TestFaultRulesAreValidated(t *testing.T) {
	cases := []struct {
		name  string
		rule  faults.Rule
		valid bool
	}{
		{"outage", faults.Outage(1), true},
		{"unknown operation", faults.Rule{Operation: "x", Event: faults.Refuse}, false},
		{"unknown event", faults.Rule{Operation: faults.All, Event: "x"}, false},
		{"late read", faults.Rule{Operation: faults.TableRead, Event: faults.LateEffect}, false},
		{"negative count", faults.Rule{Operation: faults.Commit, Event: faults.Refuse, Count: -1}, false},
	}
	for _, c := range cases {
		if err := c.rule.Validate(); (err == nil) != c.valid {
			t.Errorf("%s: error %v, want valid %v", c.name, err, c.valid)
		}
	}
}
