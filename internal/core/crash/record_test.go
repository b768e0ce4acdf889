package crash

import (
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

func TestRecordVerdict(t *testing.T) {
	self := Process{"vm-1", 7}
	trialOf := func(vm core.VMID, started core.Incarnation) core.CrashRecord {
		return Process{vm, started}.beginTrial(core.CrashRecord{Deaths: []core.ServerInstance{"a", "b"}})
	}
	cases := []struct {
		name      string
		record    core.CrashRecord
		unchanged time.Duration
		want      Verdict
	}{
		{"no death", core.CrashRecord{}, 0, Run},
		{"one death", core.CrashRecord{Deaths: []core.ServerInstance{"a"}}, 0, Run},
		{"two deaths", core.CrashRecord{Deaths: []core.ServerInstance{"a", "b"}}, 0, Refuse},
		{"two deaths, quiet", core.CrashRecord{Deaths: []core.ServerInstance{"a", "b"}}, quietPeriod, Hold},
		{"three deaths", core.CrashRecord{Deaths: []core.ServerInstance{"a", "b", "c"}}, quietPeriod, Refuse},
		{"three deaths, after a minute", core.CrashRecord{Deaths: []core.ServerInstance{"a", "b", "c"}}, time.Minute, Hold},
		{"five deaths, after a day", core.CrashRecord{Deaths: []core.ServerInstance{"a", "b", "c", "d", "e"}}, 24 * time.Hour, Refuse},
		{"trial elsewhere", trialOf("vm-2", 3), time.Minute, Refuse},
		{"trial elsewhere that never ended", trialOf("vm-2", 3), trialExpiry, Hold},
		{"own trial", trialOf(self.VM, self.Incarnation), time.Minute, Refuse},
		{"own trial before a restart", trialOf(self.VM, self.Incarnation-1), time.Minute, Hold},
	}
	for _, c := range cases {
		if got := self.verdictOf(c.record, c.unchanged); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

func TestAddDeaths(t *testing.T) {
	before := core.CrashRecord{Deaths: []core.ServerInstance{"a"}}
	after := addDeaths(before, []core.ServerInstance{"a", "b", "b", "c", "d", "e", "f"})
	if !slices.Equal(after.Deaths, []core.ServerInstance{"a", "b", "c", "d", "e"}) || len(before.Deaths) != 1 {
		t.Errorf("deaths %v of %v before", after.Deaths, before.Deaths)
	}
}

func TestEndTrialKeepsTrialOfOthers(t *testing.T) {
	record := Process{"vm-1", 1}.beginTrial(core.CrashRecord{})
	if (Process{"vm-1", 2}).endTrial(record).TrialVM == "" || (Process{"vm-2", 1}).endTrial(record).TrialVM == "" {
		t.Error("a trial was ended by a process that did not begin it")
	}
	if (Process{"vm-1", 1}).endTrial(record).TrialVM != "" {
		t.Error("the trial was not ended by its process")
	}
}

// TestDeathsAfterEventsAreExcused guards against a stream that is held since servers died
// while they ran it, and against one that is never held.
func TestDeathsAfterEventsAreExcused(t *testing.T) {
	now := time.Unix(1000, 0)
	records, others := NewRecords(Process{"vm-1", 1}), NewRecords(Process{"vm-2", 1})
	version := core.RowVersion(0)
	for n, instance := range []core.ServerInstance{"a", "a", "b", "c", "d"} {
		deaths, _ := records.RecordExcusedDeath(1, instance, now)
		if want := max(0, n-2); deaths != want {
			t.Errorf("%d deaths count after that of %s, want %d", deaths, instance, want)
		}
		if record, _, found := records.Unstored(1); found {
			version++
			records.ApplyStored(1, record, version, now)
			others.ApplyRow(1, core.Row{Version: version, Record: record}, now)
		}
		wantVerdict := Run
		if n == 4 {
			wantVerdict = Refuse
		}
		if got := others.Verdict(1, now); got != wantVerdict {
			t.Errorf("verdict %d after the death of %s, want %d", got, instance, wantVerdict)
		}
	}
}
