// Package porttest holds contract tests that every adapter of the platform's
// ports must pass, and in-memory fakes of these ports with scriptable faults
// for the tests of other packages.
package porttest

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
)

// Control orders faults from whatever stands behind a port.
type Control interface {
	// Inject puts a fault order in force. It panics or fails the test when the
	// order is not valid.
	Inject(order faults.Order)
	// ClearFaults removes all orders; held calls stay held.
	ClearFaults()
	// AwaitHeld waits until the effects of at least count calls are held, or
	// the context ends.
	AwaitHeld(ctx context.Context, count int) error
	// ReleaseHeld runs the effects of all held calls and returns their number.
	ReleaseHeld() int
}

// Script holds a fake's fault orders. Each fake embeds one.
type Script struct {
	plan   *faults.Plan
	holder *faults.Holder
}

func newScript() Script {
	after := func(delay time.Duration, step func()) { time.AfterFunc(delay, step) }
	return Script{plan: faults.NewPlan(time.Now), holder: faults.NewHolder(after)}
}

// Inject puts a fault order in force. It panics when the order is not valid.
func (s *Script) Inject(order faults.Order) {
	if err := s.plan.Add(order); err != nil {
		panic(err)
	}
}

// ClearFaults removes all orders; held calls stay held.
func (s *Script) ClearFaults() { s.plan.Clear() }

// ReleaseHeld runs the effects of all held calls and returns their number.
func (s *Script) ReleaseHeld() int { return s.holder.Release() }

// AwaitHeld waits until the effects of at least count calls are held. It
// returns the context's error when that ends first.
func (s *Script) AwaitHeld(ctx context.Context, count int) error {
	return s.holder.Await(ctx, count)
}

// HeldCount returns the number of calls whose effect is held.
func (s *Script) HeldCount() int { return s.holder.Count() }

// FaultsTaken returns how many calls each event has hit.
func (s *Script) FaultsTaken() map[faults.Event]uint64 { return s.plan.Taken() }

// perform runs a call's effect in the way that the next matching order says.
// The effect's results may be used only when perform returns nil.
func (s *Script) perform(ctx context.Context, operation faults.Operation, effect func(), tables ...core.TableName) error {
	if ctx.Err() != nil {
		return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "the call was not sent")
	}
	order, hit := s.plan.Take(operation, tables...)
	if !hit {
		effect()
		return nil
	}
	switch order.Event {
	case faults.Refuse:
		return errkind.New(errkind.StoreUnavailable, "the store refused the call")
	case faults.DropBefore:
		return lostReply(operation)
	case faults.DropAfter:
		effect()
		return lostReply(operation)
	case faults.LateEffect:
		s.holder.Hold(order.Delay, effect)
		return lostReply(operation)
	default:
		return s.delayed(ctx, operation, order.Delay, effect)
	}
}

// delayed waits until the effect has run or the context ends. In the second
// case the effect still comes later.
func (s *Script) delayed(ctx context.Context, operation faults.Operation, delay time.Duration, effect func()) error {
	done := make(chan struct{})
	s.holder.Hold(delay, func() {
		effect()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return lostReply(operation)
	}
}

func lostReply(operation faults.Operation) error {
	if operation.Changes() {
		return errkind.New(errkind.OutcomeUnknown, "no reply to %s", operation)
	}
	return errkind.New(errkind.StoreUnavailable, "no reply to %s", operation)
}
