package crash

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// deathsBeforeHold is the number of deaths from which a fingerprint may run only as
	// a trial. A harmless request is rarely in flight at two deaths in a row.
	deathsBeforeHold = 2
	// deathsBeforeRefusal is the number of deaths from which no trial is made. A request
	// may cost two servers after the third.
	deathsBeforeRefusal = 5
	// maxExcused is the number of deaths that do not count since the servers had sent events
	// of the request's stream. A request crashes servers when it begins to run, so that they
	// are likely to have died of something else; one that crashes them later, each time
	// anew, may cost as many servers more.
	maxExcused = 2
	// trialExpiry is the time after which a trial whose process has not ended it is
	// void. Requests end before that.
	trialExpiry = 2 * time.Minute
)

// trialDelays is the time from the last change of a record until the next trial, by the
// number of deaths.
var trialDelays = map[int]time.Duration{2: quietPeriod, 3: time.Minute, 4: 10 * time.Minute}

// Process identifies one start of an entry process.
type Process struct {
	VM          core.VMID
	Incarnation core.Incarnation
}

// verdictOf returns what a process may do with a request whose record it has seen
// unchanged for a time.
func (p Process) verdictOf(record core.CrashRecord, unchanged time.Duration) Verdict {
	deaths := len(record.Deaths)
	ofEarlierStart := record.TrialVM == p.VM && record.TrialIncarnation != p.Incarnation
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

// beginTrial returns the record with a trial of the process.
func (p Process) beginTrial(record core.CrashRecord) core.CrashRecord {
	record.TrialVM, record.TrialIncarnation = p.VM, p.Incarnation
	return record
}

// endTrial returns the record without the trial of the process, if it has one.
func (p Process) endTrial(record core.CrashRecord) core.CrashRecord {
	if record.TrialVM == p.VM && record.TrialIncarnation == p.Incarnation {
		record.TrialVM, record.TrialIncarnation = "", 0
	}
	return record
}

// addDeaths returns the record with further deaths. An instance counts once, and no more
// than deathsBeforeRefusal are kept.
func addDeaths(record core.CrashRecord, instances []core.ServerInstance) core.CrashRecord {
	record.Deaths = addInstances(record.Deaths, instances, deathsBeforeRefusal)
	return record
}

// addExcused returns the record with further deaths that do not count, up to maxExcused. The
// others count.
func addExcused(record core.CrashRecord, instances []core.ServerInstance) core.CrashRecord {
	record.Excused = addInstances(record.Excused, instances, maxExcused)
	rest := slices.DeleteFunc(slices.Clone(instances), func(id core.ServerInstance) bool { return slices.Contains(record.Excused, id) })
	return addDeaths(record, rest)
}

// addInstances returns a list with further instances, each once and up to a limit.
func addInstances(list, instances []core.ServerInstance, limit int) []core.ServerInstance {
	list = slices.Clone(list)
	for _, instance := range instances {
		if len(list) < limit && !slices.Contains(list, instance) {
			list = append(list, instance)
		}
	}
	return list
}

// retentionOf returns the time after which an unchanged record is removed.
func retentionOf(record core.CrashRecord) time.Duration {
	if len(record.Deaths) <= deathsBeforeHold {
		return suspectRetention
	}
	return convictedRetention
}
