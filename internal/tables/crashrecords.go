package tables

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/lockrank"
)

// maxCrashRecords bounds the fingerprints that a process adds to the table.
const maxCrashRecords = 2000

// CrashRecords holds the records of fingerprints under which backend servers died, as
// read from the table service, and what this process has yet to store of them.
type CrashRecords struct {
	self        core.VMID
	incarnation core.Incarnation

	// mu guards all fields below.
	mu      lockrank.Mutex
	records map[uint64]*crashRecord
}

type crashRecord struct {
	stored   core.CrashRecord
	version  core.RowVersion       // of the row, zero if there is none
	since    time.Time             // when the record was first seen in its present form
	storedAt time.Time             // when this process last stored it
	deaths   []core.ServerInstance // not stored yet
	endTrial bool                  // this process's trial has ended, which is not stored yet
}

// merged returns the record with what is not stored yet.
func (r *crashRecord) merged(t *CrashRecords) core.CrashRecord {
	record := crash.AddDeaths(r.stored, r.deaths)
	if r.endTrial {
		record = crash.EndTrial(record, t.self, t.incarnation)
	}
	return record
}

func (r *crashRecord) isStored() bool { return len(r.deaths) == 0 && !r.endTrial }

// NewCrashRecords returns an empty table.
func NewCrashRecords(self core.VMID, incarnation core.Incarnation) *CrashRecords {
	return &CrashRecords{
		self: self, incarnation: incarnation,
		mu: lockrank.New(lockrank.RankCrashes), records: make(map[uint64]*crashRecord),
	}
}

// IsEmpty reports whether no fingerprint has a record.
func (t *CrashRecords) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// Verdict returns what may be done with a request now.
func (t *CrashRecords) Verdict(fingerprint uint64, now time.Time) crash.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[fingerprint]
	if known == nil {
		return crash.Run
	}
	return crash.RecordVerdict(known.merged(t), t.self, t.incarnation, now.Sub(known.since))
}

// RecordDeath records that a server died while it ran a request. The death of a trial's
// server is a new one, even if its new instance is not known yet. It returns the number
// of deaths that are known, and false if the table is full.
func (t *CrashRecords) RecordDeath(fingerprint uint64, instance core.ServerInstance, isTrial bool, now time.Time) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[fingerprint]
	if known == nil {
		if len(t.records) >= maxCrashRecords {
			return 0, false
		}
		known = &crashRecord{}
		t.records[fingerprint] = known
	}
	deaths := known.merged(t).Deaths
	for isTrial && slices.Contains(deaths, instance) {
		instance += "+"
	}
	if !slices.Contains(deaths, instance) {
		known.deaths = append(known.deaths, instance)
		known.since = now
	}
	return len(known.merged(t).Deaths), true
}

// EndTrial records that this process's trial of a fingerprint has ended.
func (t *CrashRecords) EndTrial(fingerprint uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.records[fingerprint]; known != nil {
		known.endTrial, known.since = true, now
	}
}

// Unstored returns a record with what this process has to store of it, and the version
// of the row that it replaces. It returns false if there is nothing to store.
func (t *CrashRecords) Unstored(fingerprint uint64) (core.CrashRecord, core.RowVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[fingerprint]
	if known == nil || known.isStored() {
		return core.CrashRecord{}, 0, false
	}
	return known.merged(t), known.version, true
}

// AllUnstored returns the fingerprints with something to store.
func (t *CrashRecords) AllUnstored() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unstored []uint64
	for fingerprint, known := range t.records {
		if !known.isStored() {
			unstored = append(unstored, fingerprint)
		}
	}
	return unstored
}

// Trial returns a record with a trial of this process added, and the version of the row
// that it replaces. It returns false if no trial may begin.
func (t *CrashRecords) Trial(fingerprint uint64, now time.Time) (core.CrashRecord, core.RowVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[fingerprint]
	if known == nil || !known.isStored() || crash.RecordVerdict(known.stored, t.self, t.incarnation, now.Sub(known.since)) != crash.Hold {
		return core.CrashRecord{}, 0, false
	}
	return crash.BeginTrial(known.stored, t.self, t.incarnation), known.version, true
}

// ApplyStored applies a row that this process has written.
func (t *CrashRecords) ApplyStored(fingerprint uint64, record core.CrashRecord, version core.RowVersion, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[fingerprint]
	if known == nil {
		known = &crashRecord{}
		t.records[fingerprint] = known
	}
	known.stored, known.version, known.since, known.storedAt = record, version, now, now
	known.dropStored()
}

// dropStored removes what the stored record already contains.
func (r *crashRecord) dropStored() {
	r.deaths = slices.DeleteFunc(r.deaths, func(id core.ServerInstance) bool { return slices.Contains(r.stored.Deaths, id) })
	r.endTrial = r.endTrial && r.stored.TrialVM != ""
}

// ApplyRow applies one row as read. An absent row has a nil record.
func (t *CrashRecords) ApplyRow(fingerprint uint64, row core.Row, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyRow(fingerprint, row, now)
}

func (t *CrashRecords) applyRow(fingerprint uint64, row core.Row, now time.Time) {
	known := t.records[fingerprint]
	record, present := row.Record.(core.CrashRecord)
	switch {
	case !present && known == nil:
		return
	case !present && known.isStored():
		delete(t.records, fingerprint)
		return
	case known == nil:
		known = &crashRecord{since: now}
		t.records[fingerprint] = known
	case present && row.Version <= known.version, !present && known.version == 0:
		return
	}
	known.stored, known.version, known.since = record, row.Version, now
	known.dropStored()
	if !present {
		known.endTrial = false
	}
}

// ApplyAll applies all rows, by fingerprint, as read by a call that began at a time.
// Records that this process stored after that are kept.
func (t *CrashRecords) ApplyAll(rows map[uint64]core.Row, began, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fingerprint, known := range t.records {
		if known.storedAt.Before(began) {
			if _, present := rows[fingerprint]; !present {
				t.applyRow(fingerprint, core.Row{}, now)
			}
		}
	}
	for fingerprint, row := range rows {
		if known := t.records[fingerprint]; known == nil || known.storedAt.Before(began) {
			t.applyRow(fingerprint, row, now)
		}
	}
}

// Remove deletes a record and returns the version of its row, zero if it has none.
func (t *CrashRecords) Remove(fingerprint uint64) core.RowVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.records[fingerprint]
	if known == nil {
		return 0
	}
	delete(t.records, fingerprint)
	return known.version
}

// Expired returns the fingerprints whose records have been unchanged for their retention.
func (t *CrashRecords) Expired(now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []uint64
	for fingerprint, known := range t.records {
		if now.Sub(known.since) >= crash.RecordRetention(known.stored) {
			expired = append(expired, fingerprint)
		}
	}
	return expired
}

// CrashRecordsState is the table's part of the state dump.
type CrashRecordsState struct {
	Records int `json:"records"`
	Held    int `json:"held"` // run as a trial only, or not at all
}

// State returns the table's counts.
func (t *CrashRecords) State(now time.Time) CrashRecordsState {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := CrashRecordsState{Records: len(t.records)}
	for _, known := range t.records {
		if crash.RecordVerdict(known.merged(t), t.self, t.incarnation, now.Sub(known.since)) != crash.Run {
			state.Held++
		}
	}
	return state
}
