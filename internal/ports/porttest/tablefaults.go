package porttest

import (
	"context"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
)

// delayedCallTimeout ends calls that a fault order holds. It only has to be
// long enough for a call to reach the service.
const delayedCallTimeout = 300 * time.Millisecond

// faultCase says what a call meets under an event, and whether its effect is
// there when it returns and after held calls were released.
type faultCase struct {
	operation faults.Operation
	event     faults.Event
	kind      errkind.Kind
	effect    bool
	later     bool
}

var tableFaultCases = []faultCase{
	{faults.Commit, faults.Refuse, errkind.StoreUnavailable, false, false},
	{faults.Commit, faults.DropBefore, errkind.OutcomeUnknown, false, false},
	{faults.Commit, faults.DropAfter, errkind.OutcomeUnknown, true, true},
	{faults.Commit, faults.LateEffect, errkind.OutcomeUnknown, false, true},
	{faults.Commit, faults.Delay, errkind.OutcomeUnknown, false, true},
	{faults.TableRead, faults.Refuse, errkind.StoreUnavailable, false, false},
	{faults.TableRead, faults.DropBefore, errkind.StoreUnavailable, false, false},
	{faults.TableRead, faults.DropAfter, errkind.StoreUnavailable, false, false},
	{faults.TableRead, faults.Delay, errkind.StoreUnavailable, false, false},
}

func (c faultCase) name() string { return string(c.operation) + "/" + string(c.event) }

func (c faultCase) order() faults.Order {
	return faults.Order{Operation: c.operation, Event: c.event, Count: 1}
}

// checkKind reports an error of another kind than the case expects.
func (c faultCase) checkKind(t *testing.T, call string, err error) {
	t.Helper()
	if !errkind.Is(err, c.kind) {
		t.Errorf("%s under %s: error %v, want %s", call, c.event, err, c.kind)
	}
}

// checkEffect compares the effect with the case's, before and after the
// release of held calls.
func (c faultCase) checkEffect(t *testing.T, control Control, present func() bool) {
	t.Helper()
	if got := present(); got != c.effect {
		t.Errorf("%s: effect %v when the call returned, want %v", c.event, got, c.effect)
	}
	control.ReleaseHeld()
	if got := present(); got != c.later {
		t.Errorf("%s: effect %v after the release, want %v", c.event, got, c.later)
	}
}

func faultContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), delayedCallTimeout)
	t.Cleanup(cancel)
	return ctx
}

func tableFaults(t *testing.T, factory TableFactory) {
	for _, c := range tableFaultCases {
		t.Run(c.name(), func(t *testing.T) {
			h := factory(t)
			h.Control.Inject(c.order())
			if c.operation == faults.Commit {
				_, err := h.Service.Commit(faultContext(t), putWeight("a", "row", 1))
				c.checkKind(t, "Commit", err)
			} else {
				_, err := h.Service.Read(faultContext(t), []core.RowKey{weightKey("row")})
				c.checkKind(t, "Read", err)
				h.Control.Inject(c.order())
				_, err = h.Service.Scan(faultContext(t), core.TableWeight, "", "", 1)
				c.checkKind(t, "Scan", err)
			}
			c.checkEffect(t, h.Control, func() bool {
				return mustRead(t, h, weightKey("row"))[0].Attempt == "a"
			})
		})
	}
	t.Run("count", func(t *testing.T) { faultCount(t, factory(t)) })
	t.Run("table", func(t *testing.T) { faultTable(t, factory(t)) })
	t.Run("late_loses", func(t *testing.T) { lateCommitLoses(t, factory(t)) })
}

func faultCount(t *testing.T, h TableHarness) {
	h.Control.Inject(faults.Order{Operation: faults.Commit, Event: faults.Refuse, Count: 2})
	for i, want := range []errkind.Kind{errkind.StoreUnavailable, errkind.StoreUnavailable, ""} {
		_, err := h.Service.Commit(callContext(t), putWeight("a", "row", 1))
		if refused := errkind.Is(err, errkind.StoreUnavailable); refused != (want != "") {
			t.Errorf("commit %d: error %v, want kind %q", i, err, want)
		}
	}
	h.Control.Inject(faults.Order{Operation: faults.Commit, Event: faults.Refuse})
	h.Control.ClearFaults()
	mustCommit(t, h, putWeight("b", "row", 1))
}

func faultTable(t *testing.T, h TableHarness) {
	h.Control.Inject(faults.Order{Operation: faults.Commit, Event: faults.Refuse, Table: core.TableFence})
	mustCommit(t, h, putWeight("a", "row", 1))
	write := core.Write{Key: core.RowKey{Table: core.TableFence, ID: "x"}, Record: core.FenceRecord{Number: 1}}
	_, err := h.Service.Commit(callContext(t), core.Commit{Writes: []core.Write{write}})
	if !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("commit to the order's table: error %v, want %s", err, errkind.StoreUnavailable)
	}
}

// lateCommitLoses checks that a late commit's conditions count when it takes
// effect, not when it was sent.
func lateCommitLoses(t *testing.T, h TableHarness) {
	absent := core.Condition{Key: weightKey("row")}
	h.Control.Inject(faults.Order{Operation: faults.Commit, Event: faults.LateEffect, Count: 1})
	_, err := h.Service.Commit(callContext(t), putWeight("late", "row", 1, absent))
	if !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Fatalf("late commit: error %v, want %s", err, errkind.OutcomeUnknown)
	}
	mustCommit(t, h, putWeight("rival", "row", 2, absent))
	if held := h.Control.ReleaseHeld(); held != 1 {
		t.Errorf("%d calls were held, want 1", held)
	}
	if row := mustRead(t, h, weightKey("row"))[0]; row.Attempt != "rival" {
		t.Errorf("row written by %q, want rival", row.Attempt)
	}
}
