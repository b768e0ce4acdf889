package attempt

import (
	"testing"

	"fescuespar/internal/core"
)

var (
	keyA = core.RowKey{Table: core.TableStep, ID: "a"}
	keyB = core.RowKey{Table: core.TableFence, ID: "b"}
)

// guardedCommit returns a commit that writes A, which must be absent, while B
// must be at version 4.
func guardedCommit() core.Commit {
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
		{"attempt id found", guardedCommit(), []core.Row{row(keyA, 9, "mine"), row(keyB, 4, "x")}, Applied},
		{"attempt id found, fence changed since", guardedCommit(), []core.Row{row(keyA, 9, "mine"), row(keyB, 10, "x")}, Applied},
		{"nothing changed", guardedCommit(), []core.Row{{Key: keyA}, row(keyB, 4, "x")}, Retry},
		{"fence changed, row still absent", guardedCommit(), []core.Row{{Key: keyA}, row(keyB, 5, "x")}, Superseded},
		{"row written by another attempt", guardedCommit(), []core.Row{row(keyA, 9, "other"), row(keyB, 4, "x")}, MaybeApplied},
		{"a row is missing from the re-read", guardedCommit(), []core.Row{row(keyB, 4, "x")}, MaybeApplied},
		{"no condition on a written row", unguarded, []core.Row{{Key: keyA}}, MaybeApplied},
		{"attempt id only on a row it does not write", guardedCommit(), []core.Row{{Key: keyA}, row(keyB, 4, "mine")}, Retry},
	}
	for _, c := range cases {
		if got := Judge(c.commit, c.rows); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := KeysToRead(guardedCommit()); len(got) != 2 {
		t.Errorf("Keys = %v, want A and B once each", got)
	}
}
