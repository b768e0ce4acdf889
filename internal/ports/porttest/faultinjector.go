// Package porttest holds contract tests that every adapter of the platform's
// ports must pass, and in-memory fakes of these ports with fault injection for
// the tests of other packages.
package porttest

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
)

// Control injects faults into an implementation of a port.
type Control interface {
	// Inject activates a fault rule. It panics or fails the test if the rule is
	// not valid.
	Inject(rule faults.Rule)
	// ClearFaults removes all rules. Held calls stay held.
	ClearFaults()
	// AwaitHeld waits until the effects of at least count calls are held. It
	// returns an error if the context ends first.
	AwaitHeld(ctx context.Context, count int) error
	// ReleaseHeld runs the effects of all held calls and returns their number.
	ReleaseHeld() int
}

// FaultInjector injects faults into the calls of a fake. Each fake embeds one.
type FaultInjector struct {
	plan   *faults.Plan
	holder *faults.Holder
}

func newFaultInjector() FaultInjector {
	after := func(delay time.Duration, step func()) { time.AfterFunc(delay, step) }
	return FaultInjector{plan: faults.NewPlan(time.Now), holder: faults.NewHolder(after)}
}

// Inject activates a fault rule. It panics if the rule is not valid.
func (f *FaultInjector) Inject(rule faults.Rule) {
	if err := f.plan.Add(rule); err != nil {
		panic(err)
	}
}

// ClearFaults removes all rules. Held calls stay held.
func (f *FaultInjector) ClearFaults() { f.plan.Clear() }

// ReleaseHeld runs the effects of all held calls and returns their number.
func (f *FaultInjector) ReleaseHeld() int { return f.holder.Release() }

// AwaitHeld waits until the effects of at least count calls are held. It
// returns the context's error if the context ends first.
func (f *FaultInjector) AwaitHeld(ctx context.Context, count int) error {
	return f.holder.Await(ctx, count)
}

// HeldCount returns the number of calls whose effects are held.
func (f *FaultInjector) HeldCount() int { return f.holder.Count() }

// FaultsTaken returns the number of calls that each event was applied to.
func (f *FaultInjector) FaultsTaken() map[faults.Event]uint64 { return f.plan.Applied() }

// perform runs a call's effect, subject to the first rule that matches. The
// effect's results are valid only if perform returns nil.
func (f *FaultInjector) perform(ctx context.Context, operation faults.Operation, effect func(), tables ...core.TableName) error {
	if ctx.Err() != nil {
		return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "%s was not sent", operation)
	}
	rule, found := f.plan.Match(operation, tables...)
	if !found {
		effect()
		return nil
	}
	switch rule.Event {
	case faults.Refuse:
		return errkind.New(errkind.StoreUnavailable, "fake store refused %s", operation)
	case faults.DropBefore:
		return noReplyError(operation)
	case faults.DropAfter:
		effect()
		return noReplyError(operation)
	case faults.LateEffect:
		f.holder.Hold(rule.Delay, effect)
		return noReplyError(operation)
	default:
		return f.delayed(ctx, operation, rule.Delay, effect)
	}
}

// delayed waits until the effect has run or the context ends. If the context
// ends first, the effect still runs later.
func (f *FaultInjector) delayed(ctx context.Context, operation faults.Operation, delay time.Duration, effect func()) error {
	done := make(chan struct{})
	f.holder.Hold(delay, func() {
		effect()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return noReplyError(operation)
	}
}

// noReplyError returns the error for a call whose reply did not arrive.
func noReplyError(operation faults.Operation) error {
	if operation.Changes() {
		return errkind.New(errkind.OutcomeUnknown, "no reply to %s", operation)
	}
	return errkind.New(errkind.StoreUnavailable, "no reply to %s", operation)
}
