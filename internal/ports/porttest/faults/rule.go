// Package faults defines fault injection rules: which calls to the platform
// fail, how and how often. The fakes of package porttest and the platform
// stand-in share it.
package faults

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Operation names the calls that a rule may apply to.
type Operation string

// The operations. All matches every operation.
const (
	TableRead   Operation = "table_read" // read and scan
	Commit      Operation = "commit"
	ObjectRead  Operation = "object_read"  // get and list
	ObjectWrite Operation = "object_write" // put and delete
	VMList      Operation = "vm_list"
	Weights     Operation = "weights"
	All         Operation = "all"
)

// Event is what happens to a call that a rule applies to.
type Event string

// The events.
const (
	Refuse     Event = "refuse"      // explicit refusal without effect
	DropBefore Event = "drop_before" // connection closed, no effect
	DropAfter  Event = "drop_after"  // effect, then connection closed
	LateEffect Event = "late_effect" // connection closed, effect after the delay
	Delay      Event = "delay"       // effect and reply after the delay
)

// Rule is a fault injection rule.
type Rule struct {
	Operation Operation
	Event     Event
	Table     core.TableName // applies only to calls that use this table; empty means all
	Count     int            // number of calls that it applies to; zero means no limit
	Delay     time.Duration  // for LateEffect and Delay; zero holds the call until it is released
	Duration  time.Duration  // how long the rule is active; zero means no limit
}

// Outage returns a rule that refuses every operation for the given duration.
func Outage(duration time.Duration) Rule {
	return Rule{Operation: All, Event: Refuse, Duration: duration}
}

var operations = map[Operation]bool{
	TableRead: true, Commit: true, ObjectRead: true, ObjectWrite: true,
	VMList: true, Weights: true, All: true,
}

var events = map[Event]bool{
	Refuse: true, DropBefore: true, DropAfter: true, LateEffect: true, Delay: true,
}

// Changes reports whether the operation changes the platform's state.
func (o Operation) Changes() bool { return o == Commit || o == ObjectWrite }

// Validate returns BadRequest for a rule with an unknown operation or event or a
// negative number, and for a late effect of an operation that changes nothing.
func (r Rule) Validate() error {
	if !operations[r.Operation] || !events[r.Event] {
		return errkind.New(errkind.BadRequest, "unknown operation %q or event %q", r.Operation, r.Event)
	}
	if r.Count < 0 || r.Delay < 0 || r.Duration < 0 {
		return errkind.New(errkind.BadRequest, "count, delay and duration must not be negative")
	}
	if r.Event == LateEffect && !r.Operation.Changes() {
		return errkind.New(errkind.BadRequest, "operation %q changes no state, so it cannot have event %q", r.Operation, r.Event)
	}
	return nil
}

// matches reports whether the rule applies to a call of the operation that uses
// the tables.
func (r Rule) matches(operation Operation, tables []core.TableName) bool {
	if r.Operation != All && r.Operation != operation {
		return false
	}
	if r.Table == "" {
		return true
	}
	for _, table := range tables {
		if table == r.Table {
			return true
		}
	}
	return false
}
