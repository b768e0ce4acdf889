package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/lockrank"
)

// CrashRecords holds the records of fingerprints under which backend servers died. Its
// methods are those of crash.Records.
type CrashRecords struct {
	// mu guards records.
	mu      lockrank.Mutex
	records *crash.Records
}

// NewCrashRecords returns a table without records.
func NewCrashRecords(self crash.Process) *CrashRecords {
	return &CrashRecords{mu: lockrank.New(lockrank.RankCrashes), records: crash.NewRecords(self)}
}

// IsEmpty reports whether no fingerprint has a record.
func (t *CrashRecords) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.IsEmpty()
}

// Verdict returns what may be done with a request now.
func (t *CrashRecords) Verdict(fingerprint uint64, now time.Time) crash.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Verdict(fingerprint, now)
}

// RecordDeath records that a server died while it ran a request, as a trial or not. It
// returns the number of deaths that are known, and false if there are too many records.
func (t *CrashRecords) RecordDeath(fingerprint uint64, instance core.ServerInstance, isTrial bool, now time.Time) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.RecordDeath(fingerprint, instance, isTrial, now)
}

// RecordExcusedDeath records that a server died after it had sent events of a request's
// stream. It returns what RecordDeath returns.
func (t *CrashRecords) RecordExcusedDeath(fingerprint uint64, instance core.ServerInstance, now time.Time) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.RecordExcusedDeath(fingerprint, instance, now)
}

// EndTrial records that this process's trial of a fingerprint has ended.
func (t *CrashRecords) EndTrial(fingerprint uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.EndTrial(fingerprint, now)
}

// Trial returns a record with a trial of this process, and the version of the row that
// it replaces. It returns false if no trial may begin.
func (t *CrashRecords) Trial(fingerprint uint64, now time.Time) (core.CrashRecord, core.RowVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Trial(fingerprint, now)
}

// Unstored returns a record with the changes that are not stored yet, and the version of
// the row that it replaces. It returns false if there are none.
func (t *CrashRecords) Unstored(fingerprint uint64) (core.CrashRecord, core.RowVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Unstored(fingerprint)
}

// AllUnstored returns the fingerprints with changes that are not stored yet.
func (t *CrashRecords) AllUnstored() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.AllUnstored()
}

// ApplyStored applies a row that this process has written.
func (t *CrashRecords) ApplyStored(fingerprint uint64, record core.CrashRecord, version core.RowVersion, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.ApplyStored(fingerprint, record, version, now)
}

// ApplyRow applies one row as read.
func (t *CrashRecords) ApplyRow(fingerprint uint64, row core.Row, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.ApplyRow(fingerprint, row, now)
}

// ApplyAll applies all rows, as read by a call that began at a time, and returns the
// fingerprints with changes that are not stored yet and those that have expired.
func (t *CrashRecords) ApplyAll(rows map[uint64]core.Row, began, now time.Time) (unstored, expired []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.ApplyAll(rows, began, now)
	return t.records.AllUnstored(), t.records.Expired(now)
}

// Remove deletes a record and returns the version of its row, zero if it has none.
func (t *CrashRecords) Remove(fingerprint uint64) core.RowVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Remove(fingerprint)
}

// State returns the table's counts.
func (t *CrashRecords) State(now time.Time) crash.RecordCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Counts(now)
}
