// Package leasing executes the decisions of a process's lease trackers: it reads and
// commits the rows of the leases and returns the outcomes to the trackers.
package leasing

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

// Manager acquires, renews and releases the leases of one process.
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

// Advance executes a lease's next action and then those that follow it, until the
// tracker has to wait.
func (m *Manager) Advance(name string) {
	action := m.Leases.Begin(name, m.Clock.Now(), m.NewAttempt())
	switch action.Kind {
	case lease.ActionWait:
		return
	case lease.ActionRead:
		m.runOnLane(name, func(ctx context.Context) func(*lease.Tracker) { return m.read(ctx, name) })
	default:
		m.runOnLane(name, func(ctx context.Context) func(*lease.Tracker) { return m.commit(ctx, action) })
	}
}

// runOnLane runs a call on the lane and passes the outcome to the lease's tracker. A
// full lane counts as a lost reply.
func (m *Manager) runOnLane(name string, call func(context.Context) func(*lease.Tracker)) {
	err := m.Lane.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, m.CallTimeout)
		defer cancel()
		outcome := call(ctx)
		m.Pool.MustEnqueue(core.ClassControl, func() { m.applyOutcome(name, outcome) })
	})
	if err != nil {
		m.Leases.End(name, func(t *lease.Tracker) { t.CommitLost(m.Clock.Now()) })
	}
}

// applyOutcome passes the outcome of an action to the lease's tracker, calls
// the hook of a change and executes the next action.
func (m *Manager) applyOutcome(name string, outcome func(*lease.Tracker)) {
	now := m.Clock.Now()
	_, wasHeld := m.Leases.Holding(name, now)
	m.Leases.End(name, outcome)
	holding, isHeld := m.Leases.Holding(name, now)
	switch {
	case isHeld && !wasHeld:
		m.OnAcquired(name, holding)
	case wasHeld && !isHeld:
		m.OnLost(name)
	}
	m.Advance(name)
}

// read reads a lease's rows and returns the update of its tracker.
func (m *Manager) read(ctx context.Context, name string) func(*lease.Tracker) {
	leaseKey, fenceKey := lease.Keys(name)
	rows, err := m.Committer.Read(ctx, leaseKey, fenceKey)
	now := m.Clock.Now()
	if err != nil {
		return func(t *lease.Tracker) { t.ReadFailed(now) }
	}
	return func(t *lease.Tracker) { t.Observe(rows[0], rows[1], now) }
}

// commit sends an action's commit and returns the update of its tracker.
func (m *Manager) commit(ctx context.Context, action lease.Action) func(*lease.Tracker) {
	m.Committer.OnCommit()
	result, err := m.Committer.Tables.Commit(ctx, action.Commit)
	now := m.Clock.Now()
	switch {
	case err == nil:
		return func(t *lease.Tracker) { t.Committed(result, now) }
	case errkind.Is(err, errkind.StoreUnavailable):
		return func(t *lease.Tracker) { t.CommitRefused(now) }
	default:
		return func(t *lease.Tracker) { t.CommitLost(now) }
	}
}
