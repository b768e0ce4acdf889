// Package tenure executes the decisions of a process's lease trackers: it reads and
// commits the rows of the leases and returns the outcomes to the trackers.
package tenure

import (
	"context"
	"time"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/core"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/tables"
	"fescuespar/internal/workers"
)

// Keeper acquires, renews and releases the leases of one process.
type Manager struct {
	Leases      *tables.Leases
	Pool        *workers.Pool
	Lane        *workers.Lane
	Committer   *commits.Committer
	Clock       ports.Clock
	CallTimeout time.Duration // of one read or commit of lease rows
	NewAttempt  func() core.AttemptID
	OnAcquired  func(name string, holding lease.Holding) // called after a lease is acquired
	OnLost      func(name string)                        // called after a lease is lost or released
}

// Tend executes a lease's next action and then those that follow it, until the
// tracker has to wait.
func (k *Manager) Advance(name string) {
	action := k.Leases.Begin(name, k.Clock.Now(), k.NewAttempt())
	switch action.Kind {
	case lease.ActionWait:
		return
	case lease.ActionRead:
		k.runOnLane(name, func(ctx context.Context) func(*lease.Tracker) { return k.read(ctx, name) })
	default:
		k.runOnLane(name, func(ctx context.Context) func(*lease.Tracker) { return k.commit(ctx, action) })
	}
}

// runOnLane runs a call on the lane and passes the outcome to the lease's tracker. A
// full lane counts as a lost reply.
func (k *Manager) runOnLane(name string, call func(context.Context) func(*lease.Tracker)) {
	err := k.Lane.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, k.CallTimeout)
		defer cancel()
		outcome := call(ctx)
		k.Pool.MustEnqueue(core.ClassControl, func() { k.applyOutcome(name, outcome) })
	})
	if err != nil {
		k.Leases.End(name, func(t *lease.Tracker) { t.CommitLost(k.Clock.Now()) })
	}
}

// applyOutcome passes the outcome of an action to the lease's tracker, calls the hook
// of a change and executes the next action.
func (k *Manager) applyOutcome(name string, outcome func(*lease.Tracker)) {
	now := k.Clock.Now()
	_, wasHeld := k.Leases.Holding(name, now)
	k.Leases.End(name, outcome)
	holding, isHeld := k.Leases.Holding(name, now)
	switch {
	case isHeld && !wasHeld:
		k.OnAcquired(name, holding)
	case wasHeld && !isHeld:
		k.OnLost(name)
	}
	k.Advance(name)
}

// read reads a lease's rows and returns the update of its tracker.
func (k *Manager) read(ctx context.Context, name string) func(*lease.Tracker) {
	leaseKey, fenceKey := lease.Keys(name)
	rows, err := k.Committer.Read(ctx, leaseKey, fenceKey)
	now := k.Clock.Now()
	if err != nil {
		return func(t *lease.Tracker) { t.ReadFailed(now) }
	}
	return func(t *lease.Tracker) { t.Observe(rows[0], rows[1], now) }
}

// commit sends an action's commit and returns the update of its tracker.
func (k *Manager) commit(ctx context.Context, action lease.Action) func(*lease.Tracker) {
	k.Committer.OnCommit()
	result, err := k.Committer.Tables.Commit(ctx, action.Commit)
	now := k.Clock.Now()
	switch {
	case err == nil:
		return func(t *lease.Tracker) { t.Committed(result, now) }
	case errkind.Is(err, errkind.StoreUnavailable):
		return func(t *lease.Tracker) { t.CommitRefused(now) }
	default:
		return func(t *lease.Tracker) { t.CommitLost(now) }
	}
}
