package attempt

import (
	"testing"

	"fescuespar/internal/core"
)

var (
	keyA = core.RowKey{Table: core.TableStep, ID: "a"}
	keyB = core.RowKey{Table: core.TableFence, ID: "b"}
)

// guarded writes A, which it requires to be absent, while B is at version 4.
func guarded() core.Commit {
	return core.Commit{
		Attempt:    "mine",
		Conditions: []core.Condition{{Key: keyA}, {Key: keyB, Version: 4}},
		Writes:     []core.Write{{Key: keyA, Record: core.StepRecord{}}},
	}
}

func row(key core.RowKey, version core.RowVersion, attempt core.AttemptID) core.Row {
	return core.Row{Key: key, Version: version, Attempt: attempt, Record: core.StepRecord{}}
}

func TestJudge(t *testing.T) {
	unguarded := core.Commit{Attempt: "mine", Writes: []core.Write{{Key: keyA, Record: core.StepRecord{}}}}
	cases := []struct {
		name   string
		commit core.Commit
		rows   []core.Row
		want   Verdict
	}{
		{"attempt id found", guarded(), []core.Row{row(keyA, 9, "mine"), row(keyB, 4, "x")}, Applied},
		{"attempt id found, fence moved on since", guarded(), []core.Row{row(keyA, 9, "mine"), row(keyB, 10, "x")}, Applied},
		{"nothing changed", guarded(), []core.Row{{Key: keyA}, row(keyB, 4, "x")}, Retry},
		{"fence changed, row still absent", guarded(), []core.Row{{Key: keyA}, row(keyB, 5, "x")}, Superseded},
		{"row written by another attempt", guarded(), []core.Row{row(keyA, 9, "other"), row(keyB, 4, "x")}, MaybeApplied},
		{"a row is missing from the re-read", guarded(), []core.Row{row(keyB, 4, "x")}, MaybeApplied},
		{"no condition on a written row", unguarded, []core.Row{{Key: keyA}}, MaybeApplied},
		{"attempt id only on a row it does not write", guarded(), []core.Row{{Key: keyA}, row(keyB, 4, "mine")}, Retry},
	}
	for _, c := range cases {
		if got := Judge(c.commit, c.rows); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := Keys(guarded()); len(got) != 2 {
		t.Errorf("Keys = %v, want A and B once each", got)
	}
}
