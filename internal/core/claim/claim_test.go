package claim

import (
	"fmt"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/attempt"
	"fescuespar/internal/errkind"
)

var (
	self    = Owner{VM: "vm1", Incarnation: 2}
	request = Request{Key: Key("donors", "receipts", "k1"), Fingerprint: 11, TakenAt: time.Unix(1000, 0)}
)

func claimRow(state core.ClaimState, vm core.VMID, incarnation core.Incarnation, fingerprint uint64) core.Row {
	record := core.ClaimRecord{Fingerprint: fingerprint, Owner: vm, Incarnation: incarnation, State: state}
	if state == core.ClaimDone {
		record.Response = &core.PlainResponse{Status: 201}
	}
	return core.Row{Key: request.Key, Version: 6, Attempt: "x", Record: record}
}

func TestPlan(t *testing.T) {
	cases := []struct {
		name string
		row  core.Row
		want DecisionKind
		kind errkind.Kind
	}{
		{"no row", core.Row{Key: request.Key}, Insert, ""},
		{"released", claimRow(core.ClaimReleased, "vm2", 1, 11), Insert, ""},
		{"outcome recorded", claimRow(core.ClaimDone, "vm2", 1, 11), Replay, ""},
		{"claimed on another VM", claimRow(core.ClaimTaken, "vm2", 1, 11), InProgress, ""},
		{"claimed by this process", claimRow(core.ClaimTaken, "vm1", 2, 11), InProgress, ""},
		{"claimed before this VM's process was restarted", claimRow(core.ClaimTaken, "vm1", 1, 11), MayHaveRun, errkind.MayHaveRun},
		{"key of a different request", claimRow(core.ClaimDone, "vm2", 1, 12), KeyReused, errkind.KeyReused},
	}
	for _, c := range cases {
		decision := Plan(c.row, request, self, "a1")
		if decision.Kind != c.want {
			t.Errorf("%s: %v, want %v", c.name, decision.Kind, c.want)
		}
		if err := decision.Err(); (c.kind == "") != (err == nil) || (err != nil && !errkind.Is(err, c.kind)) {
			t.Errorf("%s: error %v, want kind %q", c.name, err, c.kind)
		}
		if decision.Kind == Insert && decision.Commit.Conditions[0].Version != c.row.Version {
			t.Errorf("%s: insert is not conditional on the row as read", c.name)
		}
	}
}

func TestKeysOfDifferentCallersAreDistinct(t *testing.T) {
	if Key("a/b", "c", "d") == Key("a", "b/c", "d") || Key("a%2Fb", "c", "d") == Key("a/b", "c", "d") {
		t.Error("keys of two callers are equal")
	}
}

func claimInserts(count int) []core.Commit {
	var commits []core.Commit
	for i := range count {
		r := Request{Key: Key("donors", "receipts", core.IdempotencyKey(fmt.Sprint(i)))}
		commits = append(commits, Plan(core.Row{Key: r.Key}, r, self, "member").Commit)
	}
	return commits
}

func TestBatchLimitsRowsAndSeparatesRepeatedKeys(t *testing.T) {
	commits := append(claimInserts(1), claimInserts(MaxBatchRows+5)...)
	batch, rest := NewBatch("b1", commits)
	if len(batch.Commit.Writes) != MaxBatchRows || len(rest) != 6 {
		t.Errorf("batch of %d rows, %d commits left; want %d and 6", len(batch.Commit.Writes), len(rest), MaxBatchRows)
	}
	if rest[0].Writes[0].Key != commits[0].Writes[0].Key {
		t.Error("two commits on the same row are in one batch")
	}
	split := batch.ApplyReply(core.CommitResult{Failed: []core.RowKey{commits[4].Writes[0].Key}})
	if len(split.Refused) != 1 || len(split.Retry) != MaxBatchRows-1 || len(split.Applied) != 0 {
		t.Errorf("refused %d, again %d, applied %d", len(split.Refused), len(split.Retry), len(split.Applied))
	}
}

func TestBatchResolveAfterLostReply(t *testing.T) {
	commits := claimInserts(3)
	batch, _ := NewBatch("b1", commits)
	row := func(i int, version core.RowVersion, id core.AttemptID) core.Row {
		return core.Row{Key: commits[i].Writes[0].Key, Version: version, Attempt: id, Record: commits[i].Writes[0].Record}
	}
	cases := []struct {
		name                    string
		rows                    []core.Row
		want                    attempt.Verdict
		applied, refused, again int
	}{
		{"took effect, one outcome recorded since", []core.Row{row(0, 9, "b1"), row(1, 12, "done"), row(2, 9, "b1")}, attempt.Applied, 3, 0, 0},
		{"no row changed", []core.Row{row(0, 0, ""), row(1, 0, ""), row(2, 0, "")}, attempt.Retry, 0, 0, 0},
		{"another process claimed one", []core.Row{row(0, 0, ""), row(1, 4, "other"), row(2, 0, "")}, attempt.Superseded, 0, 1, 2},
		{"others claimed all", []core.Row{row(0, 3, "o"), row(1, 4, "o"), row(2, 5, "o")}, attempt.MaybeApplied, 0, 3, 0},
	}
	for _, c := range cases {
		verdict, split := batch.Resolve(c.rows)
		if verdict != c.want || len(split.Applied) != c.applied || len(split.Refused) != c.refused || len(split.Retry) != c.again {
			t.Errorf("%s: %v, applied %d refused %d again %d", c.name, verdict, len(split.Applied), len(split.Refused), len(split.Retry))
		}
	}
}

func TestRemoveWaitsForRetention(t *testing.T) {
	row := claimRow(core.ClaimDone, "vm2", 1, 11)
	if _, due := Remove(row, time.Time{}.Add(time.Hour-1), time.Hour, "r"); due {
		t.Error("removed before the retention has passed")
	}
	if commit, due := Remove(row, time.Time{}.Add(time.Hour), time.Hour, "r"); !due || commit.Conditions[0].Version != 6 {
		t.Error("not removed, or not under a condition on the row as read")
	}
}
