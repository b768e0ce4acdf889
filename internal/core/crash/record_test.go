package crash

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"fescuespar/internal/core"
)

func TestRecordVerdict(t *testing.T) {
	const self, incarnation = "vm-1", 7
	trialOf := func(vm core.VMID, started core.Incarnation) core.CrashRecord {
		return BeginTrial(core.CrashRecord{Deaths: []core.ServerInstance{"a", "b"}}, vm, started)
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
		{"own trial", trialOf(self, incarnation), time.Minute, Refuse},
		{"own trial before a restart", trialOf(self, incarnation-1), time.Minute, Hold},
	}
	for _, c := range cases {
		if got := RecordVerdict(c.record, self, incarnation, c.unchanged); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

func TestAddDeaths(t *testing.T) {
	before := core.CrashRecord{Deaths: []core.ServerInstance{"a"}}
	after := AddDeaths(before, []core.ServerInstance{"a", "b", "b", "c", "d", "e", "f"})
	if !slices.Equal(after.Deaths, []core.ServerInstance{"a", "b", "c", "d", "e"}) || len(before.Deaths) != 1 {
		t.Errorf("deaths %v of %v before", after.Deaths, before.Deaths)
	}
}

func TestEndTrialKeepsTrialOfOthers(t *testing.T) {
	record := BeginTrial(core.CrashRecord{}, "vm-1", 1)
	if EndTrial(record, "vm-1", 2).TrialVM == "" || EndTrial(record, "vm-2", 1).TrialVM == "" {
		t.Error("a trial was ended by a process that did not begin it")
	}
	if EndTrial(record, "vm-1", 1).TrialVM != "" {
		t.Error("the trial was not ended by its process")
	}
}

// TestRecordsUnderRandomCrashes replays a day of 10 minutes in which a crashing request
// comes 20 times a second, servers die for other reasons twice a second, and harmless
// requests of 25 ms run all the while. Records are applied at once.
func TestRecordsUnderRandomCrashes(t *testing.T) {
	const (
		step           = 5 * time.Millisecond
		length         = 10 * time.Minute
		servers        = 12
		harmlessPaths  = 200
		runTime        = 25 * time.Millisecond
		attempts       = 3   // of one request
		maxLost        = 6   // servers: three, and three retries after them
		sentPerRefusal = 500 // least number of harmless requests for each that is refused
	)
	type run struct {
		path, server, attempts int
		trial                  bool
		until                  time.Duration
	}
	random := rand.New(rand.NewPCG(3, 4))
	records := make(map[int]core.CrashRecord)
	changed := make(map[int]time.Duration)
	var runs []run
	var sent, refused, lost, incarnation int
	addDeath := func(now time.Duration, path int) {
		death := []core.ServerInstance{core.ServerInstance(strconv.Itoa(incarnation))}
		records[path], changed[path] = EndTrial(AddDeaths(records[path], death), "vm", 1), now
	}
	start := func(now time.Duration, path, earlier int) {
		if earlier >= attempts {
			return
		}
		verdict := RecordVerdict(records[path], "vm", 1, now-changed[path])
		switch {
		case path == 0 && verdict != Refuse:
			lost++
			incarnation++
			addDeath(now, path)
			return
		case path == 0:
			return
		case verdict == Refuse:
			refused++
			return
		case verdict == Hold:
			records[path], changed[path] = BeginTrial(records[path], "vm", 1), now
		}
		runs = append(runs, run{path, random.IntN(servers), earlier + 1, verdict == Hold, now + runTime})
	}
	for now := time.Duration(0); now < length; now += step {
		var cut []run
		if random.Float64() < 2*step.Seconds() {
			dead := random.IntN(servers)
			incarnation++
			for _, r := range runs {
				if r.server == dead {
					cut = append(cut, r)
				}
			}
			runs = slices.DeleteFunc(runs, func(r run) bool { return r.server == dead })
		}
		for _, r := range cut {
			addDeath(now, r.path)
			start(now, r.path, r.attempts)
		}
		runs = slices.DeleteFunc(runs, func(r run) bool {
			if r.until <= now {
				delete(records, r.path)
			}
			return r.until <= now
		})
		if random.Float64() < 20*step.Seconds() {
			start(now, 0, 0)
		}
		sent++
		start(now, 1+random.IntN(harmlessPaths), 0)
	}
	t.Logf("%d servers lost to the crashing request, %d of %d harmless requests refused", lost, refused, sent)
	if lost > maxLost {
		t.Errorf("%d servers lost, want at most %d", lost, maxLost)
	}
	if refused > sent/sentPerRefusal {
		t.Errorf("%d of %d harmless requests refused, want at most one in %d", refused, sent, sentPerRefusal)
	}
	for path := range harmlessPaths {
		if len(records[1+path].Deaths) >= deathsBeforeRefusal {
			t.Errorf("harmless path %d is refused for good", 1+path)
		}
	}
}
