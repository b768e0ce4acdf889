package configuration

import (
	"fmt"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// RetainedGenerations is the number of generations whose rows are retained, so that an
// operator whose reply was lost can still determine which change was accepted.
const RetainedGenerations = 1024

// HeadKey is the key of the row that holds the newest generation's ConfigRecord.
var HeadKey = core.RowKey{Table: core.TableConfig, ID: "head"}

// GenerationKey returns the key of the row that holds the ConfigRecord of one
// generation and the attempt that wrote it.
func GenerationKey(generation core.Generation) core.RowKey {
	return core.RowKey{Table: core.TableConfig, ID: fmt.Sprintf("generation/%020d", generation)}
}

// BodyKey returns the key of the object that holds the configuration of a
// generation as published by one attempt.
func BodyKey(generation core.Generation, attempt core.AttemptID) core.ObjectKey {
	return core.ObjectKey(fmt.Sprintf("configuration/%020d/%s", generation, attempt))
}

// Next returns the configuration whose parent is the base generation.
func Next(base core.Generation, operator string, deployments []core.Deployment) core.Configuration {
	return core.Configuration{Generation: base + 1, Parent: base, Operator: operator, Deployments: deployments}
}

// PlanPublish returns the commit that publishes a configuration returned by Next,
// given the head row as read. The configuration must already be stored in the object
// BodyKey. Errors: GenerationConflict, with the newest generation, if the head is not
// the parent of the configuration.
func PlanPublish(head core.Row, next core.Configuration, attempt core.AttemptID) (core.Commit, error) {
	newest := headRecord(head)
	if newest.Generation != next.Parent {
		return core.Commit{}, conflictError(next.Parent, newest)
	}
	record := core.ConfigRecord{
		Generation: next.Generation,
		Parent:     next.Parent,
		Operator:   next.Operator,
		Body:       BodyKey(next.Generation, attempt),
	}
	generationKey := GenerationKey(next.Generation)
	commit := core.Commit{
		Attempt:    attempt,
		Conditions: []core.Condition{{Key: HeadKey, Version: head.Version}},
		Writes:     []core.Write{{Key: HeadKey, Record: record}, {Key: generationKey, Record: record}},
	}
	if next.Generation > RetainedGenerations {
		expired := GenerationKey(next.Generation - RetainedGenerations)
		commit.Writes = append(commit.Writes, core.Write{Key: expired})
	}
	return commit, nil
}

// PublishOutcome is the outcome of an attempt to publish.
type PublishOutcome int

// The outcomes of an attempt to publish.
const (
	PublishPending PublishOutcome = iota // not in effect; the same commit may be sent again
	PublishApplied                       // this attempt published its generation
)

// ResolvePublish returns the outcome of an attempt whose reply was lost or which the
// table service refused. The head row and the row of the attempt's generation must
// have been read afterwards in one call. Errors: GenerationConflict if another
// attempt published that generation, OutcomeUnknown if its row is no longer stored.
func ResolvePublish(head, own core.Row, next core.Configuration, attempt core.AttemptID) (PublishOutcome, error) {
	if own.Version != 0 && own.Attempt == attempt {
		return PublishApplied, nil
	}
	if record, ok := own.Record.(core.ConfigRecord); ok {
		return PublishPending, conflictError(next.Parent, record)
	}
	if headRecord(head).Generation >= next.Generation {
		return PublishPending, errkind.New(errkind.OutcomeUnknown,
			"cannot determine which attempt published generation %d: its row is no longer stored", next.Generation)
	}
	return PublishPending, nil
}

// IsNewer reports whether a process that has applied one generation should apply the
// offered one. It never applies the same or an older one.
func IsNewer(applied, offered core.Generation) bool { return offered > applied }

// headRecord returns the record of the head row. The generation of an absent row is
// zero.
func headRecord(head core.Row) core.ConfigRecord {
	record, _ := head.Record.(core.ConfigRecord)
	return record
}

// conflictError returns the error for a change based on a generation that is not the
// newest.
func conflictError(base core.Generation, winner core.ConfigRecord) error {
	if base > winner.Generation {
		return errkind.New(errkind.GenerationConflict,
			"base generation %d was never accepted; generation %d is the newest", base, winner.Generation)
	}
	return errkind.New(errkind.GenerationConflict,
		"generation %d by operator %q was published before this change, which was based on generation %d",
		winner.Generation, winner.Operator, base)
}
