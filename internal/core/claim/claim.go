package claim

import (
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Owner identifies the entry process that claimed a request.
type Owner struct {
	VM          core.VMID
	Incarnation core.Incarnation
}

// Request is a non-idempotent request to be claimed.
type Request struct {
	Key         core.RowKey // returned by Key
	Fingerprint uint64      // of method, path and body
	TakenAt     time.Time   // wall clock
}

// keyEscaper escapes the separator in the parts of a row id, so that different
// parts never form the same id.
var keyEscaper = strings.NewReplacer("%", "%25", "/", "%2F")

// Key returns the key of the row that claims a request. Keys of different
// callers or deployments are always distinct.
func Key(caller core.CallerName, deployment core.DeploymentName, key core.IdempotencyKey) core.RowKey {
	parts := []string{
		keyEscaper.Replace(string(caller)),
		keyEscaper.Replace(string(deployment)),
		keyEscaper.Replace(string(key)),
	}
	return core.RowKey{Table: core.TableClaim, ID: strings.Join(parts, "/")}
}

// DecisionKind says how to proceed with a request.
type DecisionKind int

// Kinds of decision.
const (
	Insert     DecisionKind = iota // commit Commit, then dispatch
	Replay                         // answer with Response
	KeyReused                      // refuse: the key was used for a different request
	InProgress                     // ask Owner for the answer; if it has none, the request may have run
	MayHaveRun                     // refuse: it is not known whether the request ran
)

// String returns the kind's name for logs and tests.
func (k DecisionKind) String() string {
	return [...]string{"insert", "replay", "key_reused", "in_progress", "may_have_run"}[k]
}

// Decision says how to proceed with a request. Only the fields that belong to
// Kind are set.
type Decision struct {
	Kind     DecisionKind
	Commit   core.Commit
	Response *core.PlainResponse
	Owner    Owner
}

// Err returns the error with which to answer the request, or nil for Insert,
// Replay and InProgress.
func (d Decision) Err() error {
	switch d.Kind {
	case KeyReused:
		return errkind.New(errkind.KeyReused, "idempotency key was already used for a different request")
	case MayHaveRun:
		return errkind.New(errkind.MayHaveRun, "request was dispatched earlier and no outcome is recorded for it")
	default:
		return nil
	}
}

// Plan decides about a request from its row. To save a read, a caller may first
// assume that the row is absent: the insert fails if it exists.
func Plan(row core.Row, request Request, self Owner, id core.AttemptID) Decision {
	record, found := row.Record.(core.ClaimRecord)
	if !found {
		return planInsert(row, request, self, id)
	}
	if record.Fingerprint != request.Fingerprint {
		return Decision{Kind: KeyReused}
	}
	switch record.State {
	case core.ClaimReleased:
		return planInsert(row, request, self, id)
	case core.ClaimDone:
		return Decision{Kind: Replay, Response: record.Response}
	default:
		return planTaken(record, self)
	}
}

func planInsert(row core.Row, request Request, self Owner, id core.AttemptID) Decision {
	record := core.ClaimRecord{
		Fingerprint: request.Fingerprint,
		Owner:       self.VM,
		Incarnation: self.Incarnation,
		State:       core.ClaimTaken,
		TakenAt:     request.TakenAt,
	}
	return Decision{Kind: Insert, Commit: replaceRow(request.Key, row.Version, record, id)}
}

// planTaken decides about a request that is claimed and has no outcome. A claim
// by an earlier incarnation on this VM never gets one, because that process has
// ended.
func planTaken(record core.ClaimRecord, self Owner) Decision {
	owner := Owner{VM: record.Owner, Incarnation: record.Incarnation}
	if owner.VM == self.VM && owner.Incarnation < self.Incarnation {
		return Decision{Kind: MayHaveRun}
	}
	return Decision{Kind: InProgress, Owner: owner}
}

// RecordOutcome returns the commit that records the backend server's response
// in the claim that this process took at the given row version.
func RecordOutcome(key core.RowKey, version core.RowVersion, taken core.ClaimRecord,
	response core.PlainResponse, id core.AttemptID) core.Commit {
	taken.State = core.ClaimDone
	taken.Response = &response
	return replaceRow(key, version, taken, id)
}

// ReleaseNotRun returns the commit that releases a claim. It may be used only
// when the backend server proved that the request did not run and never will.
func ReleaseNotRun(key core.RowKey, version core.RowVersion, taken core.ClaimRecord, id core.AttemptID) core.Commit {
	taken.State = core.ClaimReleased
	return replaceRow(key, version, taken, id)
}

// InsertedRecord returns the key and the record that an insert by Plan writes.
func InsertedRecord(insert core.Commit) (core.RowKey, core.ClaimRecord) {
	record, _ := insert.Writes[0].Record.(core.ClaimRecord)
	return insert.Writes[0].Key, record
}

// Remove returns the commit that deletes a claim, or false while its retention
// has not passed. Callers must not retry a request after that time.
func Remove(row core.Row, now time.Time, retention time.Duration, id core.AttemptID) (core.Commit, bool) {
	record, found := row.Record.(core.ClaimRecord)
	if !found || now.Sub(record.TakenAt) < retention {
		return core.Commit{}, false
	}
	return replaceRow(row.Key, row.Version, nil, id), true
}

func replaceRow(key core.RowKey, version core.RowVersion, record core.Record, id core.AttemptID) core.Commit {
	return core.Commit{
		Attempt:    id,
		Conditions: []core.Condition{{Key: key, Version: version}},
		Writes:     []core.Write{{Key: key, Record: record}},
	}
}
