package configuration

import (
	"fmt"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// KeptGenerations is how many generations' rows stay in the table, so that an
// operator whose reply was lost can still learn which generation won.
const KeptGenerations = 1024

// Head is the key of the row that holds the newest generation's ConfigRecord.
var Head = core.RowKey{Table: core.TableConfig, ID: "head"}

// GenerationRow returns the key of the row that keeps one generation's
// ConfigRecord and the attempt that wrote it.
func GenerationRow(generation core.Generation) core.RowKey {
	return core.RowKey{Table: core.TableConfig, ID: fmt.Sprintf("generation/%020d", generation)}
}

// BodyKey returns the key of the object that holds a generation's
// configuration as one attempt would publish it.
func BodyKey(generation core.Generation, attempt core.AttemptID) core.ObjectKey {
	return core.ObjectKey(fmt.Sprintf("configuration/%020d/%s", generation, attempt))
}

// Next returns the configuration that follows the base generation.
func Next(base core.Generation, operator string, deployments []core.Deployment) core.Configuration {
	return core.Configuration{Generation: base + 1, Parent: base, Operator: operator, Deployments: deployments}
}

// PlanPublish returns the commit that makes a configuration, made by Next, the
// newest one, given the head row as read. Its object must be stored under
// BodyKey before. Errors: GenerationConflict, naming the generation that won,
// when the head is not the configuration's parent.
func PlanPublish(head core.Row, next core.Configuration, attempt core.AttemptID) (core.Commit, error) {
	newest := headRecord(head)
	if newest.Generation != next.Parent {
		return core.Commit{}, conflict(next.Parent, newest)
	}
	record := core.ConfigRecord{
		Generation: next.Generation,
		Parent:     next.Parent,
		Operator:   next.Operator,
		Body:       BodyKey(next.Generation, attempt),
	}
	own := GenerationRow(next.Generation)
	commit := core.Commit{
		Attempt:    attempt,
		Conditions: []core.Condition{{Key: Head, Version: head.Version}},
		Writes:     []core.Write{{Key: Head, Record: record}, {Key: own, Record: record}},
	}
	if next.Generation > KeptGenerations {
		old := GenerationRow(next.Generation - KeptGenerations)
		commit.Writes = append(commit.Writes, core.Write{Key: old})
	}
	return commit, nil
}

// PublishOutcome is what became of an attempt to publish.
type PublishOutcome int

// The outcomes of an attempt to publish.
const (
	PublishPending PublishOutcome = iota // not in effect; the same commit may be sent again
	PublishApplied                       // this attempt made its generation
)

// ResolvePublish tells what became of an attempt whose reply was lost or which
// the table service refused, given the head row and the row of the attempt's
// generation as read afterwards in one read. Errors: GenerationConflict when
// another attempt made that generation, OutcomeUnknown when its row is no
// longer kept.
func ResolvePublish(head, own core.Row, next core.Configuration, attempt core.AttemptID) (PublishOutcome, error) {
	if own.Version != 0 && own.Attempt == attempt {
		return PublishApplied, nil
	}
	if record, ok := own.Record.(core.ConfigRecord); ok {
		return PublishPending, conflict(next.Parent, record)
	}
	if headRecord(head).Generation >= next.Generation {
		return PublishPending, errkind.New(errkind.OutcomeUnknown,
			"generation %d is too old to tell which attempt made it", next.Generation)
	}
	return PublishPending, nil
}

// Newer reports whether a process that applied one generation applies the
// offered one: never the same or an older one.
func Newer(applied, offered core.Generation) bool { return offered > applied }

// headRecord returns the head's record; an absent head is generation zero.
func headRecord(head core.Row) core.ConfigRecord {
	record, _ := head.Record.(core.ConfigRecord)
	return record
}

func conflict(base core.Generation, winner core.ConfigRecord) error {
	if base > winner.Generation {
		return errkind.New(errkind.GenerationConflict,
			"base generation %d was never accepted; generation %d is the newest", base, winner.Generation)
	}
	return errkind.New(errkind.GenerationConflict,
		"generation %d by operator %q came before this change, which was based on generation %d",
		winner.Generation, winner.Operator, base)
}
