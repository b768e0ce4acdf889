package crash

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"fescuespar/internal/core"
)

func rowOf(version core.RowVersion, deaths ...core.ServerInstance) core.Row {
	return core.Row{Version: version, Record: core.CrashRecord{Deaths: deaths}}
}

// TestRecordsApplyRows covers rows that are read before, after and beside the changes of
// this process.
func TestRecordsApplyRows(t *testing.T) {
	const fingerprint = 1
	at := func(seconds int) time.Time { return time.Unix(1000, 0).Add(time.Duration(seconds) * time.Second) }
	all := func(row core.Row) map[uint64]core.Row { return map[uint64]core.Row{fingerprint: row} }
	cases := []struct {
		name        string
		apply       func(*Records)
		wantDeaths  int
		wantVersion core.RowVersion
	}{
		{"row of another process", func(r *Records) { r.ApplyAll(all(rowOf(5, "a", "b")), at(1), at(1)) }, 2, 5},
		{"older row", func(r *Records) {
			r.ApplyAll(all(rowOf(5, "a", "b")), at(1), at(1))
			r.ApplyAll(all(rowOf(4, "a")), at(2), at(2))
		}, 2, 5},
		{"row removed by another process", func(r *Records) {
			r.ApplyAll(all(rowOf(5, "a")), at(1), at(1))
			r.ApplyAll(nil, at(2), at(2))
		}, 0, 0},
		{"read began before the row was stored", func(r *Records) {
			r.ApplyStored(fingerprint, core.CrashRecord{Deaths: []core.ServerInstance{"a"}}, 5, at(2))
			r.ApplyAll(nil, at(1), at(3))
		}, 1, 5},
		{"death that is not stored yet", func(r *Records) {
			r.RecordDeath(fingerprint, "a", false, at(1))
			r.ApplyAll(nil, at(2), at(2))
		}, 1, 0},
		{"death beside one of another process", func(r *Records) {
			r.RecordDeath(fingerprint, "a", false, at(1))
			r.ApplyAll(all(rowOf(5, "b")), at(2), at(2))
		}, 2, 5},
		{"row removed beside a death", func(r *Records) {
			r.ApplyAll(all(rowOf(5, "a")), at(1), at(1))
			r.RecordDeath(fingerprint, "b", false, at(2))
			r.ApplyAll(nil, at(3), at(3))
		}, 1, 0},
		{"death of a trial's server that restarted under its id", func(r *Records) {
			r.RecordDeath(fingerprint, "a", false, at(1))
			r.RecordDeath(fingerprint, "a", true, at(2))
		}, 2, 0},
	}
	for _, c := range cases {
		records := NewRecords(Process{"vm-1", 1})
		c.apply(records)
		deaths, version := 0, core.RowVersion(0)
		if state := records.states[fingerprint]; state != nil {
			deaths, version = len(records.current(state).Deaths), state.version
		}
		if deaths != c.wantDeaths || version != c.wantVersion {
			t.Errorf("%s: %d deaths at version %d, want %d at %d", c.name, deaths, version, c.wantDeaths, c.wantVersion)
		}
	}
}

func TestRecordsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	records := NewRecords(Process{"vm-1", 1})
	records.ApplyAll(map[uint64]core.Row{1: rowOf(1, "a"), 2: rowOf(2, "a", "b", "c")}, now, now)
	if expired := records.Expired(now.Add(suspectRetention - 1)); len(expired) != 0 {
		t.Errorf("%v expired early", expired)
	}
	if expired := records.Expired(now.Add(suspectRetention)); !slices.Equal(expired, []uint64{1}) {
		t.Errorf("%v expired, want the record of one death", expired)
	}
	if expired := records.Expired(now.Add(convictedRetention)); len(expired) != 2 {
		t.Errorf("%v expired, want both records", expired)
	}
}

// crashDay runs requests on servers that die. All processes have the same records.
type crashDay struct {
	random    *rand.Rand
	records   *Records
	version   core.RowVersion
	instances []int // number of starts of each server
	runs      []simulatedRun
	lost      int // servers lost to the crashing request
	refused   int // harmless requests
}

type simulatedRun struct {
	path, server, attempts int
	isTrial                bool
	until                  time.Time
}

const (
	crashingPath      = 0
	simulatedServers  = 12
	simulatedAttempts = 3 // of one request
	simulatedRunTime  = 25 * time.Millisecond
)

// store stores the changes of a record at once.
func (d *crashDay) store(path int, now time.Time) {
	if record, _, found := d.records.Unstored(uint64(path)); found {
		d.version++
		d.records.ApplyStored(uint64(path), record, d.version, now)
	}
}

// start sends a request until it runs on a server that does not die at once.
func (d *crashDay) start(path, attempts int, now time.Time) {
	for ; attempts < simulatedAttempts; attempts++ {
		verdict := d.records.Verdict(uint64(path), now)
		if verdict == Refuse {
			if path != crashingPath {
				d.refused++
			}
			return
		}
		if verdict == Hold {
			record, _, _ := d.records.Trial(uint64(path), now)
			d.version++
			d.records.ApplyStored(uint64(path), record, d.version, now)
		}
		run := simulatedRun{path, d.random.IntN(simulatedServers), attempts + 1, verdict == Hold, now.Add(simulatedRunTime)}
		d.runs = append(d.runs, run)
		if path != crashingPath {
			return
		}
		d.lost++
		d.killServer(run.server, now)
	}
}

// killServer ends a server. The requests that ran there, other than the crashing one, are
// sent again.
func (d *crashDay) killServer(server int, now time.Time) {
	instance := core.ServerInstance(strconv.Itoa(server) + "@" + strconv.Itoa(d.instances[server]))
	d.instances[server]++
	var cut []simulatedRun
	d.runs = slices.DeleteFunc(d.runs, func(r simulatedRun) bool {
		if r.server == server {
			cut = append(cut, r)
		}
		return r.server == server
	})
	for _, r := range cut {
		d.records.RecordDeath(uint64(r.path), instance, r.isTrial, now)
		if r.isTrial {
			d.records.EndTrial(uint64(r.path), now)
		}
		d.store(r.path, now)
	}
	for _, r := range cut {
		if r.path != crashingPath {
			d.start(r.path, r.attempts, now)
		}
	}
}

// endRuns ends the runs that are over. An answer removes the request's record.
func (d *crashDay) endRuns(now time.Time) {
	d.runs = slices.DeleteFunc(d.runs, func(r simulatedRun) bool {
		if !r.until.After(now) {
			d.records.Remove(uint64(r.path))
			return true
		}
		return false
	})
}

// TestRecordsUnderRandomCrashes replays 10 minutes in which a crashing request comes 20
// times a second, servers die for other reasons twice a second, and 200 harmless requests
// a second run all the while.
func TestRecordsUnderRandomCrashes(t *testing.T) {
	const (
		step           = 5 * time.Millisecond
		length         = 10 * time.Minute
		harmlessPaths  = 200
		maxLost        = 6   // servers: three, and three retries after them
		sentPerRefusal = 500 // least number of harmless requests for each that is refused
	)
	d := &crashDay{random: rand.New(rand.NewPCG(3, 4)), records: NewRecords(Process{"vm", 1}), instances: make([]int, simulatedServers)}
	sent := 0
	began := time.Unix(1000, 0)
	for now := began; now.Sub(began) < length; now = now.Add(step) {
		if d.random.Float64() < 2*step.Seconds() {
			d.killServer(d.random.IntN(simulatedServers), now)
		}
		d.endRuns(now)
		if d.random.Float64() < 20*step.Seconds() {
			d.start(crashingPath, 0, now)
		}
		sent++
		d.start(1+d.random.IntN(harmlessPaths), 0, now)
	}
	t.Logf("%d servers lost to the crashing request, %d of %d harmless requests refused", d.lost, d.refused, sent)
	if d.lost > maxLost {
		t.Errorf("%d servers lost, want at most %d", d.lost, maxLost)
	}
	if d.refused > sent/sentPerRefusal {
		t.Errorf("%d of %d harmless requests refused, want at most one in %d", d.refused, sent, sentPerRefusal)
	}
	for fingerprint, state := range d.records.states {
		if fingerprint != crashingPath && len(d.records.current(state).Deaths) >= deathsBeforeRefusal {
			t.Errorf("harmless request %d is refused for good", fingerprint)
		}
	}
}
