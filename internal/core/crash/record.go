package crash

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Processes that share a table service keep what they know of a fingerprint in one row,
// a core.CrashRecord. The functions below decide on it, in place of a Tracker.
//
// The load is a request that crashes each server that runs it, and comes again and
// again under new ids at any process, while servers also die for other reasons with
// harmless requests in flight.

const (
	// deathsBeforeHold is the number of deaths from which a fingerprint may run only as
	// a trial. A harmless request is rarely in flight at two deaths in a row.
	deathsBeforeHold = 2
	// deathsBeforeRefusal is the number of deaths from which no trial is made. Callers
	// may cost two servers after the third.
	deathsBeforeRefusal = 5
	// trialExpiry is the time after which a trial whose process has not ended it is
	// void. Requests end before that.
	trialExpiry = 2 * time.Minute
)

// trialDelays is the time from the last change of a record until the next trial, by the
// number of deaths.
var trialDelays = map[int]time.Duration{2: quietPeriod, 3: time.Minute, 4: 10 * time.Minute}

// RecordVerdict returns what a process may do with a request whose record it has seen
// unchanged for a time. On Hold it may run the request as a trial, which it first
// claims with BeginTrial.
func RecordVerdict(record core.CrashRecord, self core.VMID, incarnation core.Incarnation, unchanged time.Duration) Verdict {
	deaths := len(record.Deaths)
	ofEarlierStart := record.TrialVM == self && record.TrialIncarnation != incarnation
	switch {
	case deaths < deathsBeforeHold:
		return Run
	case deaths >= deathsBeforeRefusal:
		return Refuse
	case record.TrialVM != "" && unchanged < trialExpiry && !ofEarlierStart:
		return Refuse
	case unchanged < trialDelays[deaths]:
		return Refuse
	default:
		return Hold
	}
}

// BeginTrial returns the record with a trial by a process.
func BeginTrial(record core.CrashRecord, self core.VMID, incarnation core.Incarnation) core.CrashRecord {
	record.TrialVM, record.TrialIncarnation = self, incarnation
	return record
}

// EndTrial returns the record without the trial of a process, if it has one.
func EndTrial(record core.CrashRecord, self core.VMID, incarnation core.Incarnation) core.CrashRecord {
	if record.TrialVM == self && record.TrialIncarnation == incarnation {
		record.TrialVM, record.TrialIncarnation = "", 0
	}
	return record
}

// AddDeaths returns the record with further deaths. An instance counts once, and no more
// than deathsBeforeRefusal are kept.
func AddDeaths(record core.CrashRecord, instances []core.ServerInstance) core.CrashRecord {
	record.Deaths = slices.Clone(record.Deaths)
	for _, instance := range instances {
		if len(record.Deaths) < deathsBeforeRefusal && !slices.Contains(record.Deaths, instance) {
			record.Deaths = append(record.Deaths, instance)
		}
	}
	return record
}

// RecordRetention returns the time after which an unchanged record is removed.
func RecordRetention(record core.CrashRecord) time.Duration {
	if len(record.Deaths) <= deathsBeforeHold {
		return suspectRetention
	}
	return convictedRetention
}
