package crash

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// maxRecords bounds the fingerprints that a process adds.
const maxRecords = 2000

// Records holds the records of fingerprints as read from the table service, with the
// changes of this process that are not stored yet. It takes the place of a Tracker where
// processes share a table service and exchange no heartbeats: each fingerprint has one
// row, a core.CrashRecord.
//
// The load is a request that crashes each server that runs it, and comes again and
// again under new ids at any process, while servers also die for other reasons with
// harmless requests in flight.
type Records struct {
	self   Process
	states map[uint64]*recordState
}

// recordState is the record of one fingerprint.
type recordState struct {
	stored   core.CrashRecord
	version  core.RowVersion // of the row, zero if there is none
	since    time.Time       // when the record was first seen in its present form
	storedAt time.Time       // when this process last stored it

	// Changes that are not stored yet.
	deaths     []core.ServerInstance
	excused    []core.ServerInstance
	trialEnded bool
}

// NewRecords returns records without fingerprints.
func NewRecords(self Process) *Records {
	return &Records{self: self, states: make(map[uint64]*recordState)}
}

// current returns the record with the changes that are not stored yet.
func (r *Records) current(state *recordState) core.CrashRecord {
	record := addExcused(addDeaths(state.stored, state.deaths), state.excused)
	if state.trialEnded {
		record = r.self.endTrial(record)
	}
	return record
}

func (s *recordState) isStored() bool {
	return len(s.deaths) == 0 && len(s.excused) == 0 && !s.trialEnded
}

// IsEmpty reports whether no fingerprint has a record.
func (r *Records) IsEmpty() bool { return len(r.states) == 0 }

// Verdict returns what may be done with a request now. On Hold it may run as a trial
// once the claim that Trial returns is stored.
func (r *Records) Verdict(fingerprint uint64, now time.Time) Verdict {
	state := r.states[fingerprint]
	if state == nil {
		return Run
	}
	return r.self.verdictOf(r.current(state), now.Sub(state.since))
}

// RecordDeath records that a server died while it ran a request. The death of a trial's
// server is a new one, even if its new instance is not known yet. It returns the number
// of deaths that count, and false if there are too many records.
func (r *Records) RecordDeath(fingerprint uint64, instance core.ServerInstance, isTrial bool, now time.Time) (int, bool) {
	state := r.states[fingerprint]
	if state == nil {
		if len(r.states) >= maxRecords {
			return 0, false
		}
		state = &recordState{}
		r.states[fingerprint] = state
	}
	deaths := r.current(state).Deaths
	for isTrial && slices.Contains(deaths, instance) {
		instance += "+"
	}
	if !slices.Contains(deaths, instance) {
		state.deaths = append(state.deaths, instance)
		state.since = now
	}
	return len(r.current(state).Deaths), true
}

// RecordExcusedDeath records that a server died after it had sent events of a request's
// stream. It returns what RecordDeath returns.
func (r *Records) RecordExcusedDeath(fingerprint uint64, instance core.ServerInstance, now time.Time) (int, bool) {
	state := r.states[fingerprint]
	if state == nil && len(r.states) >= maxRecords {
		return 0, false
	}
	if state == nil {
		state = &recordState{}
		r.states[fingerprint] = state
	}
	current := r.current(state)
	if !slices.Contains(current.Excused, instance) && !slices.Contains(current.Deaths, instance) {
		state.excused, state.since = append(state.excused, instance), now
	}
	return len(r.current(state).Deaths), true
}

// EndTrial records that this process's trial of a fingerprint has ended.
func (r *Records) EndTrial(fingerprint uint64, now time.Time) {
	if state := r.states[fingerprint]; state != nil {
		state.trialEnded, state.since = true, now
	}
}

// Trial returns a record with a trial of this process, and the version of the row that
// it replaces. It returns false if no trial may begin.
func (r *Records) Trial(fingerprint uint64, now time.Time) (core.CrashRecord, core.RowVersion, bool) {
	state := r.states[fingerprint]
	if state == nil || !state.isStored() || r.Verdict(fingerprint, now) != Hold {
		return core.CrashRecord{}, 0, false
	}
	return r.self.beginTrial(state.stored), state.version, true
}

// Unstored returns a record with the changes that are not stored yet, and the version of
// the row that it replaces. It returns false if there are none.
func (r *Records) Unstored(fingerprint uint64) (core.CrashRecord, core.RowVersion, bool) {
	state := r.states[fingerprint]
	if state == nil || state.isStored() {
		return core.CrashRecord{}, 0, false
	}
	return r.current(state), state.version, true
}

// AllUnstored returns the fingerprints with changes that are not stored yet.
func (r *Records) AllUnstored() []uint64 {
	return r.fingerprintsOf(func(state *recordState) bool { return !state.isStored() })
}

// Expired returns the fingerprints whose records have been unchanged for their retention.
func (r *Records) Expired(now time.Time) []uint64 {
	return r.fingerprintsOf(func(state *recordState) bool {
		return now.Sub(state.since) >= retentionOf(state.stored)
	})
}

func (r *Records) fingerprintsOf(has func(*recordState) bool) []uint64 {
	var found []uint64
	for fingerprint, state := range r.states {
		if has(state) {
			found = append(found, fingerprint)
		}
	}
	return found
}

// ApplyStored applies a row that this process has written.
func (r *Records) ApplyStored(fingerprint uint64, record core.CrashRecord, version core.RowVersion, now time.Time) {
	state := r.states[fingerprint]
	if state == nil {
		state = &recordState{}
		r.states[fingerprint] = state
	}
	state.storedAt = now
	state.replaceStored(record, version, now)
}

// replaceStored replaces the stored record and drops the changes that it contains.
func (s *recordState) replaceStored(record core.CrashRecord, version core.RowVersion, now time.Time) {
	s.stored, s.version, s.since = record, version, now
	s.deaths = slices.DeleteFunc(s.deaths, func(id core.ServerInstance) bool { return slices.Contains(record.Deaths, id) })
	s.excused = slices.DeleteFunc(s.excused, func(id core.ServerInstance) bool {
		return slices.Contains(record.Excused, id) || slices.Contains(record.Deaths, id)
	})
	s.trialEnded = s.trialEnded && record.TrialVM != ""
}

// ApplyRow applies one row as read. Changes of this process survive an absent row, one
// without a record, and a row older than the known one is ignored.
func (r *Records) ApplyRow(fingerprint uint64, row core.Row, now time.Time) {
	state := r.states[fingerprint]
	record, present := row.Record.(core.CrashRecord)
	switch {
	case present && state == nil:
		state = &recordState{}
		r.states[fingerprint] = state
	case present && row.Version <= state.version, !present && state == nil:
		return
	case !present && state.isStored():
		delete(r.states, fingerprint)
		return
	case !present && state.version == 0:
		return
	}
	state.replaceStored(record, row.Version, now)
}

// ApplyAll applies all rows, by fingerprint, as read by a call that began at a time.
// Records that this process stored after that are kept.
func (r *Records) ApplyAll(rows map[uint64]core.Row, began, now time.Time) {
	for fingerprint, state := range r.states {
		if _, present := rows[fingerprint]; !present && state.storedAt.Before(began) {
			r.ApplyRow(fingerprint, core.Row{}, now)
		}
	}
	for fingerprint, row := range rows {
		if state := r.states[fingerprint]; state == nil || state.storedAt.Before(began) {
			r.ApplyRow(fingerprint, row, now)
		}
	}
}

// Remove deletes a record and returns the version of its row, zero if it has none.
func (r *Records) Remove(fingerprint uint64) core.RowVersion {
	state := r.states[fingerprint]
	if state == nil {
		return 0
	}
	delete(r.states, fingerprint)
	return state.version
}

// RecordCounts are the counts for the state dump.
type RecordCounts struct {
	Records int `json:"records"`
	Held    int `json:"held"` // run as a trial only, or not at all
}

// Counts returns the counts for the state dump.
func (r *Records) Counts(now time.Time) RecordCounts {
	counts := RecordCounts{Records: len(r.states)}
	for fingerprint := range r.states {
		if r.Verdict(fingerprint, now) != Run {
			counts.Held++
		}
	}
	return counts
}
