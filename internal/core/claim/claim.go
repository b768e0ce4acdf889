package claim

import (
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Owner identifies the entry process that claims a request.
type Owner struct {
	VM          core.VMID
	Incarnation core.Incarnation
}

// Request is a non-idempotent request to be claimed.
type Request struct {
	Key         core.RowKey // from Key
	Fingerprint uint64      // of method, path and body
	TakenAt     time.Time   // wall clock
}

// keyEscapes keeps the parts of a row id apart.
var keyEscapes = strings.NewReplacer("%", "%25", "/", "%2F")

// Key returns the key of the row that claims a request. Keys of different
// callers and deployments never meet.
func Key(caller core.CallerName, deployment core.DeploymentName, key core.IdempotencyKey) core.RowKey {
	parts := []string{
		keyEscapes.Replace(string(caller)),
		keyEscapes.Replace(string(deployment)),
		keyEscapes.Replace(string(key)),
	}
	return core.RowKey{Table: core.TableClaim, ID: strings.Join(parts, "/")}
}

// DecisionKind says how to go on with a request.
type DecisionKind int

// The kinds of decision.
const (
	Insert     DecisionKind = iota // commit Commit, then dispatch
	Replay                         // answer with Response
	KeyReused                      // refuse: the key belongs to another request
	InProgress                     // ask Owner for the answer; if it has none, the request may have run
	MayHaveRun                     // refuse: nobody can tell whether it ran
)

// String returns the kind's name for logs and tests.
func (k DecisionKind) String() string {
	return [...]string{"insert", "replay", "key_reused", "in_progress", "may_have_run"}[k]
}

// Decision says how to go on with a request. Only the fields that Kind names
// are set.
type Decision struct {
	Kind     DecisionKind
	Commit   core.Commit
	Response *core.PlainResponse
	Owner    Owner
}

// Err returns the error that the decision answers with, or nil for Insert,
// Replay and InProgress.
func (d Decision) Err() error {
	switch d.Kind {
	case KeyReused:
		return errkind.New(errkind.KeyReused, "the idempotency key belongs to another request")
	case MayHaveRun:
		return errkind.New(errkind.MayHaveRun, "the request was dispatched and its outcome is not recorded")
	default:
		return nil
	}
}

// Plan decides about a request from its row. A caller may first assume the row
// to be absent, which saves a read: the insert fails if it is not.
func Plan(row core.Row, request Request, self Owner, id core.AttemptID) Decision {
	record, found := row.Record.(core.ClaimRecord)
	if !found {
		return insert(row, request, self, id)
	}
	if record.Fingerprint != request.Fingerprint {
		return Decision{Kind: KeyReused}
	}
	switch record.State {
	case core.ClaimReleased:
		return insert(row, request, self, id)
	case core.ClaimDone:
		return Decision{Kind: Replay, Response: record.Response}
	default:
		return planTaken(record, self)
	}
}

func insert(row core.Row, request Request, self Owner, id core.AttemptID) Decision {
	record := core.ClaimRecord{
		Fingerprint: request.Fingerprint,
		Owner:       self.VM,
		Incarnation: self.Incarnation,
		State:       core.ClaimTaken,
		TakenAt:     request.TakenAt,
	}
	return Decision{Kind: Insert, Commit: replace(request.Key, row.Version, record, id)}
}

// planTaken decides about a request that was claimed and has no outcome. An
// earlier incarnation on this VM has ended, so nobody will record one.
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
	return replace(key, version, taken, id)
}

// ReleaseUnrun returns the commit that releases a claim. It is made only when
// the backend server proved that the request did not run and never will.
func ReleaseUnrun(key core.RowKey, version core.RowVersion, taken core.ClaimRecord, id core.AttemptID) core.Commit {
	taken.State = core.ClaimReleased
	return replace(key, version, taken, id)
}

// Taken returns the record that an insert of Plan writes.
func Taken(insert core.Commit) (core.RowKey, core.ClaimRecord) {
	record, _ := insert.Writes[0].Record.(core.ClaimRecord)
	return insert.Writes[0].Key, record
}

// Remove returns the commit that removes a claim once the retention has
// passed, and false before. Callers must not repeat a request after that time.
func Remove(row core.Row, now time.Time, retention time.Duration, id core.AttemptID) (core.Commit, bool) {
	record, found := row.Record.(core.ClaimRecord)
	if !found || now.Sub(record.TakenAt) < retention {
		return core.Commit{}, false
	}
	return replace(row.Key, row.Version, nil, id), true
}

func replace(key core.RowKey, version core.RowVersion, record core.Record, id core.AttemptID) core.Commit {
	return core.Commit{
		Attempt:    id,
		Conditions: []core.Condition{{Key: key, Version: version}},
		Writes:     []core.Write{{Key: key, Record: record}},
	}
}
