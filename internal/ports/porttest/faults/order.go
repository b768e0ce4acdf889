// Package faults holds fault orders: which calls of the platform fail, how and
// how often. The fakes of package porttest and the platform stand-in share it.
package faults

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Operation names the calls that an order may hit.
type Operation string

// The operations. All matches every one of them.
const (
	TableRead   Operation = "table_read" // read and scan
	Commit      Operation = "commit"
	ObjectRead  Operation = "object_read"  // get and list
	ObjectWrite Operation = "object_write" // put and delete
	VMList      Operation = "vm_list"
	Weights     Operation = "weights"
	All         Operation = "all"
)

// Event is what happens to a call that an order hits.
type Event string

// The events.
const (
	Refuse     Event = "refuse"      // explicit refusal without effect
	DropBefore Event = "drop_before" // connection closed, no effect
	DropAfter  Event = "drop_after"  // connection closed after the effect
	LateEffect Event = "late_effect" // connection closed, effect after the delay
	Delay      Event = "delay"       // effect and reply after the delay
)

// Order makes calls fail.
type Order struct {
	Operation Operation
	Event     Event
	Table     core.TableName // hits only calls that name this table; empty hits all
	Count     int            // calls to hit; zero sets no bound
	Delay     time.Duration  // for LateEffect and Delay; zero holds the call until it is released
	Duration  time.Duration  // time for which the order stands; zero sets no bound
}

// Outage returns an order that refuses every operation for a time.
func Outage(duration time.Duration) Order {
	return Order{Operation: All, Event: Refuse, Duration: duration}
}

var operations = map[Operation]bool{
	TableRead: true, Commit: true, ObjectRead: true, ObjectWrite: true,
	VMList: true, Weights: true, All: true,
}

var events = map[Event]bool{
	Refuse: true, DropBefore: true, DropAfter: true, LateEffect: true, Delay: true,
}

// Changes reports whether calls of the operation change the platform's state.
func (o Operation) Changes() bool { return o == Commit || o == ObjectWrite }

// Validate returns BadRequest for an order that names no known operation or
// event, has a negative number, or asks for a late effect of a read.
func (o Order) Validate() error {
	if !operations[o.Operation] || !events[o.Event] {
		return errkind.New(errkind.BadRequest, "unknown operation %q or event %q", o.Operation, o.Event)
	}
	if o.Count < 0 || o.Delay < 0 || o.Duration < 0 {
		return errkind.New(errkind.BadRequest, "count, delay and duration must not be negative")
	}
	if o.Event == LateEffect && !o.Operation.Changes() {
		return errkind.New(errkind.BadRequest, "operation %q has no effect that could be late", o.Operation)
	}
	return nil
}

func (o Order) matches(operation Operation, tables []core.TableName) bool {
	if o.Operation != All && o.Operation != operation {
		return false
	}
	if o.Table == "" {
		return true
	}
	for _, table := range tables {
		if table == o.Table {
			return true
		}
	}
	return false
}
