package porttest

import (
	"context"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
)

// faultCase is the expected result of a call that an event is applied to.
type faultCase struct {
	operation          faults.Operation
	event              faults.Event
	kind               errkind.Kind // of the call's error
	effectAtReturn     bool         // the call has taken effect when it returns
	effectAfterRelease bool         // the call has taken effect after the release of held calls
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

func (c faultCase) rule() faults.Rule {
	return faults.Rule{Operation: c.operation, Event: c.event, Count: 1}
}

// call makes one call with the case's event injected. If the event is Delay, the
// call is canceled once its effect is held.
func (c faultCase) call(t *testing.T, control Control, call func(context.Context) error) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	control.Inject(c.rule())
	if c.event != faults.Delay {
		return call(ctx)
	}
	done := make(chan error, 1)
	go func() { done <- call(ctx) }()
	if err := control.AwaitHeld(ctx, 1); err != nil {
		t.Fatalf("%s: call was not held: %v", c.event, err)
	}
	cancel()
	return <-done
}

// checkKind fails the test if the error's kind is not the case's.
func (c faultCase) checkKind(t *testing.T, call string, err error) {
	t.Helper()
	if !errkind.Is(err, c.kind) {
		t.Errorf("%s with event %s: error %v, want %s", call, c.event, err, c.kind)
	}
}

// checkEffect checks whether the call has taken effect as the case expects,
// before and after the release of held calls.
func (c faultCase) checkEffect(t *testing.T, control Control, present func() bool) {
	t.Helper()
	if got := present(); got != c.effectAtReturn {
		t.Errorf("%s: call took effect before it returned: %v, want %v", c.event, got, c.effectAtReturn)
	}
	control.ReleaseHeld()
	if got := present(); got != c.effectAfterRelease {
		t.Errorf("%s: call took effect before or at the release: %v, want %v", c.event, got, c.effectAfterRelease)
	}
}

func tableFaults(t *testing.T, factory TableFactory) {
	for _, c := range tableFaultCases {
		t.Run(c.name(), func(t *testing.T) {
			h := factory(t)
			if c.operation == faults.Commit {
				faultyCommit(t, h, c)
			} else {
				faultyTableReads(t, h, c)
			}
			c.checkEffect(t, h.Control, func() bool {
				return mustRead(t, h, weightKey("row"))[0].Attempt == "a"
			})
		})
	}
	t.Run("count", func(t *testing.T) { faultCount(t, factory(t)) })
	t.Run("table", func(t *testing.T) { faultTable(t, factory(t)) })
	t.Run("late_loses", func(t *testing.T) { lateCommitChecksConditions(t, factory(t)) })
}

func faultyCommit(t *testing.T, h TableHarness, c faultCase) {
	err := c.call(t, h.Control, func(ctx context.Context) error {
		_, err := h.Service.Commit(ctx, putWeight("a", "row", 1))
		return err
	})
	c.checkKind(t, "Commit", err)
}

func faultyTableReads(t *testing.T, h TableHarness, c faultCase) {
	err := c.call(t, h.Control, func(ctx context.Context) error {
		_, err := h.Service.Read(ctx, []core.RowKey{weightKey("row")})
		return err
	})
	c.checkKind(t, "Read", err)
	h.Control.ReleaseHeld()
	err = c.call(t, h.Control, func(ctx context.Context) error {
		_, err := h.Service.Scan(ctx, core.TableWeight, "", "", 1)
		return err
	})
	c.checkKind(t, "Scan", err)
}

func faultCount(t *testing.T, h TableHarness) {
	h.Control.Inject(faults.Rule{Operation: faults.Commit, Event: faults.Refuse, Count: 2})
	for i, want := range []errkind.Kind{errkind.StoreUnavailable, errkind.StoreUnavailable, ""} {
		_, err := h.Service.Commit(callContext(t), putWeight("a", "row", 1))
		if refused := errkind.Is(err, errkind.StoreUnavailable); refused != (want != "") {
			t.Errorf("commit %d: error %v, want kind %q", i, err, want)
		}
	}
	h.Control.Inject(faults.Rule{Operation: faults.Commit, Event: faults.Refuse})
	h.Control.ClearFaults()
	mustCommit(t, h, putWeight("b", "row", 1))
}

func faultTable(t *testing.T, h TableHarness) {
	h.Control.Inject(faults.Rule{Operation: faults.Commit, Event: faults.Refuse, Table: core.TableFence})
	mustCommit(t, h, putWeight("a", "row", 1))
	write := core.Write{Key: core.RowKey{Table: core.TableFence, ID: "x"}, Record: core.FenceRecord{Number: 1}}
	_, err := h.Service.Commit(callContext(t), core.Commit{Writes: []core.Write{write}})
	if !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("commit to the rule's table: error %v, want %s", err, errkind.StoreUnavailable)
	}
}

// lateCommitChecksConditions checks that the conditions of a late commit are
// evaluated when it takes effect, not when it is sent.
func lateCommitChecksConditions(t *testing.T, h TableHarness) {
	absent := core.Condition{Key: weightKey("row")}
	h.Control.Inject(faults.Rule{Operation: faults.Commit, Event: faults.LateEffect, Count: 1})
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
