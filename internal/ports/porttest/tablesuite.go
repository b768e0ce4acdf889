package porttest

import (
	"context"
	"reflect"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// TableHarness is the table service under test, with control over its faults.
type TableHarness struct {
	Service ports.TableService
	Control Control
}

// TableFactory returns an empty table service without faults.
type TableFactory func(t *testing.T) TableHarness

// callTimeout is the deadline of calls that are expected to be answered.
const callTimeout = 10 * time.Second

// TableService runs the contract tests of ports.TableService.
func TableService(t *testing.T, factory TableFactory) {
	t.Run("faults", func(t *testing.T) { tableFaults(t, factory) })
	t.Run("bad_input", func(t *testing.T) { tableBadInput(t, factory) })
	t.Run("conditions", func(t *testing.T) { tableConditions(t, factory) })
	t.Run("races", func(t *testing.T) { tableRaces(t, factory) })
	t.Run("versions", func(t *testing.T) { tableVersions(t, factory) })
	t.Run("records", func(t *testing.T) { tableRecords(t, factory) })
	t.Run("scan", func(t *testing.T) { tableScan(t, factory) })
	t.Run("ended_context", func(t *testing.T) { tableEndedContext(t, factory) })
}

func callContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	t.Cleanup(cancel)
	return ctx
}

func weightKey(id string) core.RowKey { return core.RowKey{Table: core.TableWeight, ID: id} }

func putWeight(attempt core.AttemptID, id string, version core.WeightVersion, conditions ...core.Condition) core.Commit {
	write := core.Write{Key: weightKey(id), Record: core.WeightRecord{Version: version}}
	return core.Commit{Attempt: attempt, Conditions: conditions, Writes: []core.Write{write}}
}

func mustCommit(t *testing.T, h TableHarness, commit core.Commit) core.RowVersion {
	t.Helper()
	result, err := h.Service.Commit(callContext(t), commit)
	if err != nil || !result.Applied {
		t.Fatalf("Commit(%s) = %+v, %v, want the commit applied", commit.Attempt, result, err)
	}
	return result.Version
}

func mustRead(t *testing.T, h TableHarness, keys ...core.RowKey) []core.Row {
	t.Helper()
	rows, err := h.Service.Read(callContext(t), keys)
	if err != nil || len(rows) != len(keys) {
		t.Fatalf("Read(%v) = %d rows, %v, want %d", keys, len(rows), err, len(keys))
	}
	return rows
}

// allRecords has one record for each table, with every field set.
var allRecords = map[core.TableName]core.Record{
	core.TableLease: core.LeaseRecord{Holder: "vm-1", Incarnation: 7, Address: "10.0.0.1:9", Term: 3 * time.Second, Released: true},
	core.TableFence: core.FenceRecord{Number: 12, Holder: "vm-2", Incarnation: 8},
	core.TableClaim: core.ClaimRecord{
		Fingerprint: 1<<64 - 1, Owner: "vm-3", Incarnation: 9, State: core.ClaimDone,
		TakenAt:  time.Unix(1000, 123456789).UTC(),
		Response: &core.PlainResponse{Status: 201, Header: map[string]string{"A": "not UTF-8: \xff"}, Body: []byte{0, 255, '"'}},
	},
	core.TableStep: core.StepRecord{Version: 4, Oldest: 3, Groups: []core.GroupRange{{Step: 3, From: 1, To: 3}, {Step: 4, From: 0, To: 1}}, Body: "batch/4"},
	core.TableDelivery: core.DeliveryRecord{
		LastStep: 4, LastVersion: 9, Closed: 2, Delivered: []core.GroupRange{{Step: 2, From: 5, To: 6}},
	},
	core.TableConfig: core.ConfigRecord{Generation: 6, Parent: 5, Operator: "ops", Body: "config/6"},
	core.TableWeight: core.WeightRecord{Version: 1<<63 + 1},
	core.TableJob:    core.JobRecord{Service: "engines", Items: 7, Body: "job-1", Ended: true, Memory: 1 << 20},
	core.TableResult: core.ResultRecord{
		Result: core.ItemResult{
			Item: "item-1", State: core.ItemCompleted, Text: "not UTF-8: \xff", Versions: []core.WeightVersion{3, 4}, Score: "signed",
		},
		Overflow: "result-1",
	},
	core.TableSettled: core.SettledRecord{Items: []byte{0b10000001, 0, 255}},
	core.TableMember: core.MemberRecord{
		Incarnation: 5, Zone: "z", Region: "r", CallAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Beat: 9, Every: time.Second, Leaving: true,
		Demand: []core.ServiceDemand{{Service: "engines", PerSecond: 45.5}},
		Usage:  &core.MemberUsage{ClockOffset: -time.Hour, CountedThrough: 353445120},
		Rooms:  []core.JobRoom{{Service: "engines", Bytes: 7 << 20}},
	},
	core.TableUsage:    core.UsageRecord{Window: 7, Counts: map[core.AccountName]uint64{"hule930": 412}},
	core.TableReport:   core.ReportRecord{Report: core.UsageReport{Window: 7, Counts: map[core.AccountName]uint64{"hule930": 412}}},
	core.TableReported: core.ReportedRecord{Next: 8},
	core.TableSoftware: core.SoftwareRecord{Base: "v1", Mixed: true},
	core.TableStream:   core.StreamRecord{Service: "coach", Software: "v2"},
	core.TableCrash:    core.CrashRecord{Deaths: []core.ServerInstance{"server-1", "server-2"}, TrialVM: "vm-4", TrialIncarnation: 6},
}

func tableRecords(t *testing.T, factory TableFactory) {
	h := factory(t)
	for table, record := range allRecords {
		key := core.RowKey{Table: table, ID: "row/1?ü"}
		version := mustCommit(t, h, core.Commit{Attempt: "a-1", Writes: []core.Write{{Key: key, Record: record}}})
		want := core.Row{Key: key, Version: version, Attempt: "a-1", Record: record}
		if got := mustRead(t, h, key)[0]; !reflect.DeepEqual(got, want) {
			t.Errorf("read back %+v, want %+v", got, want)
		}
	}
}

func tableBadInput(t *testing.T, factory TableFactory) {
	h := factory(t)
	cases := []struct {
		name   string
		key    core.RowKey
		record core.Record
	}{
		{"unknown table", core.RowKey{Table: "nosuch", ID: "x"}, core.WeightRecord{Version: 1}},
		{"delete in unknown table", core.RowKey{Table: "nosuch", ID: "x"}, nil},
		{"record of another table", weightKey("x"), core.FenceRecord{Number: 1}},
		{"id that is not UTF-8", weightKey("\xff"), core.WeightRecord{Version: 1}},
		{"pointer record", weightKey("x"), &core.WeightRecord{Version: 1}},
	}
	for _, c := range cases {
		good := core.Write{Key: weightKey("good"), Record: core.WeightRecord{Version: 1}}
		bad := core.Write{Key: c.key, Record: c.record}
		_, err := h.Service.Commit(callContext(t), core.Commit{Attempt: "a", Writes: []core.Write{good, bad}})
		if !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("%s: Commit error = %v, want %s", c.name, err, errkind.BadRequest)
		}
	}
	if row := mustRead(t, h, weightKey("good"))[0]; row.Version != 0 {
		t.Errorf("refused commit wrote row %+v", row)
	}
	unknown := core.RowKey{Table: "nosuch", ID: "x"}
	if _, err := h.Service.Read(callContext(t), []core.RowKey{unknown}); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("Read error = %v, want %s", err, errkind.BadRequest)
	}
	if _, err := h.Service.Scan(callContext(t), unknown.Table, "", "", 1); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("Scan error = %v, want %s", err, errkind.BadRequest)
	}
}

func tableConditions(t *testing.T, factory TableFactory) {
	h := factory(t)
	first := mustCommit(t, h, putWeight("a", "present", 1))
	at := func(id string, version core.RowVersion) core.Condition {
		return core.Condition{Key: weightKey(id), Version: version}
	}
	cases := []struct {
		name       string
		conditions []core.Condition
		failed     []core.RowKey
	}{
		{"stale version", []core.Condition{at("present", first+1)}, []core.RowKey{weightKey("present")}},
		{"absence of a present row", []core.Condition{at("present", 0)}, []core.RowKey{weightKey("present")}},
		{"presence of an absent row", []core.Condition{at("absent", first)}, []core.RowKey{weightKey("absent")}},
		{"one of two fails", []core.Condition{at("present", first), at("absent", 9)}, []core.RowKey{weightKey("absent")}},
		{"both fail", []core.Condition{at("present", 0), at("absent", 9)}, []core.RowKey{weightKey("present"), weightKey("absent")}},
		{"all are met", []core.Condition{at("present", first), at("absent", 0)}, nil},
	}
	for _, c := range cases {
		commit := putWeight("b", "target", 2, c.conditions...)
		commit.Writes = append(commit.Writes, core.Write{Key: weightKey("present")})
		result, err := h.Service.Commit(callContext(t), commit)
		if err != nil || result.Applied != (c.failed == nil) || !reflect.DeepEqual(result.Failed, c.failed) {
			t.Errorf("%s: result %+v, %v, want failed keys %v", c.name, result, err, c.failed)
		}
		rows := mustRead(t, h, weightKey("target"), weightKey("present"))
		written, deleted := rows[0].Version != 0, rows[1].Version == 0
		if written != result.Applied || deleted != result.Applied {
			t.Errorf("%s: written %v, deleted %v, want both %v", c.name, written, deleted, result.Applied)
		}
	}
}

func tableVersions(t *testing.T, factory TableFactory) {
	h := factory(t)
	first := mustCommit(t, h, putWeight("a", "row", 1))
	deleted := mustCommit(t, h, core.Commit{Attempt: "b", Writes: []core.Write{{Key: weightKey("row")}}})
	absent := core.Row{Key: weightKey("row")}
	if got := mustRead(t, h, weightKey("row"))[0]; got != absent {
		t.Errorf("deleted row reads %+v, want %+v", got, absent)
	}
	again := mustCommit(t, h, putWeight("c", "row", 1, core.Condition{Key: weightKey("row")}))
	if first >= deleted || deleted >= again {
		t.Errorf("versions %d, %d, %d do not increase", first, deleted, again)
	}
	row := mustRead(t, h, weightKey("row"))[0]
	if row.Version != again || row.Attempt != "c" {
		t.Errorf("row at version %d by attempt %q, want %d by c", row.Version, row.Attempt, again)
	}
}

func tableRaces(t *testing.T, factory TableFactory) {
	const rivals = 16
	h := factory(t)
	results := make([]core.CommitResult, rivals)
	errs := make([]error, rivals)
	var done sync.WaitGroup
	for i := range rivals {
		commit := putWeight("r", "row", core.WeightVersion(i), core.Condition{Key: weightKey("row")})
		done.Go(func() { results[i], errs[i] = h.Service.Commit(context.Background(), commit) })
	}
	done.Wait()
	applied := 0
	for i := range rivals {
		if errs[i] != nil {
			t.Errorf("commit %d: %v", i, errs[i])
		}
		if results[i].Applied {
			applied++
		}
	}
	if applied != 1 {
		t.Errorf("%d of %d concurrent commits with the same condition were applied, want 1", applied, rivals)
	}
}

func tableScan(t *testing.T, factory TableFactory) {
	h := factory(t)
	for _, id := range []string{"b/2", "a/1", "b/1", "b/3", "c/1"} {
		mustCommit(t, h, putWeight("a", id, 1))
	}
	mustCommit(t, h, core.Commit{Writes: []core.Write{
		{Key: core.RowKey{Table: core.TableFence, ID: "b/9"}, Record: core.FenceRecord{Number: 1}},
	}})
	cases := []struct {
		prefix, after string
		limit         int
		want          []string
	}{
		{"b/", "", 10, []string{"b/1", "b/2", "b/3"}},
		{"b/", "b/1", 1, []string{"b/2"}},
		{"b/", "b/3", 10, nil},
		{"", "b/2", 10, []string{"b/3", "c/1"}},
		{"", "", 0, nil},
	}
	for _, c := range cases {
		rows, err := h.Service.Scan(callContext(t), core.TableWeight, c.prefix, c.after, c.limit)
		var got []string
		for _, row := range rows {
			got = append(got, row.Key.ID)
		}
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("Scan(%q, %q, %d) = %v, %v, want %v", c.prefix, c.after, c.limit, got, err, c.want)
		}
	}
}

func tableEndedContext(t *testing.T, factory TableFactory) {
	h := factory(t)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := h.Service.Commit(ended, putWeight("a", "row", 1))
	if !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("Commit error = %v, want %s", err, errkind.StoreUnavailable)
	}
	if row := mustRead(t, h, weightKey("row"))[0]; row.Version != 0 {
		t.Errorf("unsent commit wrote row %+v", row)
	}
}
