// Package tenure carries out what a process's lease trackers decide: it reads
// and commits the rows of the leases and hands the outcomes back.
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

// Keeper follows the leases of one process.
type Keeper struct {
	Leases     *tables.Leases
	Pool       *workers.Pool
	Lane       *workers.Lane
	Store      *commits.Committer
	Clock      ports.Clock
	Timeout    time.Duration // of one read or commit
	NewAttempt func() core.AttemptID
	Acquired   func(name string, holding lease.Holding)
	Lost       func(name string)
}

// Tend carries out a lease's next action, and the one after it.
func (k *Keeper) Tend(name string) {
	action := k.Leases.Begin(name, k.Clock.Now(), k.NewAttempt())
	switch action.Kind {
	case lease.ActionWait:
		return
	case lease.ActionRead:
		k.onLane(name, func(ctx context.Context) func(*lease.Tracker) { return k.read(ctx, name) })
	default:
		k.onLane(name, func(ctx context.Context) func(*lease.Tracker) { return k.commit(ctx, action) })
	}
}

// onLane runs a call whose result goes to the lease's tracker. A full lane
// counts as a lost reply.
func (k *Keeper) onLane(name string, call func(context.Context) func(*lease.Tracker)) {
	err := k.Lane.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, k.Timeout)
		defer cancel()
		outcome := call(ctx)
		k.Pool.MustEnqueue(core.ClassControl, func() { k.ended(name, outcome) })
	})
	if err != nil {
		k.Leases.End(name, func(t *lease.Tracker) { t.CommitLost(k.Clock.Now()) })
	}
}

func (k *Keeper) ended(name string, outcome func(*lease.Tracker)) {
	now := k.Clock.Now()
	_, before := k.Leases.Held(name, now)
	k.Leases.End(name, outcome)
	holding, after := k.Leases.Held(name, now)
	switch {
	case after && !before:
		k.Acquired(name, holding)
	case before && !after:
		k.Lost(name)
	}
	k.Tend(name)
}

func (k *Keeper) read(ctx context.Context, name string) func(*lease.Tracker) {
	leaseKey, fenceKey := lease.Keys(name)
	rows, err := k.Store.Read(ctx, leaseKey, fenceKey)
	now := k.Clock.Now()
	if err != nil {
		return func(t *lease.Tracker) { t.ReadFailed(now) }
	}
	return func(t *lease.Tracker) { t.Observe(rows[0], rows[1], now) }
}

func (k *Keeper) commit(ctx context.Context, action lease.Action) func(*lease.Tracker) {
	k.Store.OnCommit()
	result, err := k.Store.Tables.Commit(ctx, action.Commit)
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
