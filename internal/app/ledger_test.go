package app_test

import (
	"context"
	"sync/atomic"
	"time"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/ports"
)

// ledger counts what a cluster asks of the outside.
type ledger struct {
	reads, rowsRead, commits, rowsWritten atomic.Int64
	leaseReads, leaseCommits              atomic.Int64
	configReads                           atomic.Int64
	puts, gets, putBytes                  atomic.Int64
	vmLists, statuses, configFetches      atomic.Int64
	commitDelay                           time.Duration
}

func (l *ledger) wrap(outside *app.Ports) {
	outside.Tables = countedTables{outside.Tables, l}
	outside.Objects = countedObjects{outside.Objects, l}
	outside.VMs = countedVMs{outside.VMs, l}
	outside.Engine = countedEngine{outside.Engine, l}
	outside.Peers = countedPeers{outside.Peers, l}
}

type countedTables struct {
	ports.TableService
	l *ledger
}

func (t countedTables) Read(ctx context.Context, keys []core.RowKey) ([]core.Row, error) {
	t.l.reads.Add(1)
	t.l.rowsRead.Add(int64(len(keys)))
	switch keys[0].Table {
	case core.TableLease:
		t.l.leaseReads.Add(1)
	case core.TableConfig:
		t.l.configReads.Add(1)
	}
	return t.TableService.Read(ctx, keys)
}

func (t countedTables) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	t.l.commits.Add(1)
	t.l.rowsWritten.Add(int64(len(commit.Writes)))
	if commit.Writes[0].Key.Table == core.TableLease {
		t.l.leaseCommits.Add(1)
	}
	if t.l.commitDelay > 0 {
		<-time.After(t.l.commitDelay)
	}
	return t.TableService.Commit(ctx, commit)
}

type countedObjects struct {
	ports.ObjectStore
	l *ledger
}

func (o countedObjects) Put(ctx context.Context, key core.ObjectKey, body []byte) error {
	o.l.puts.Add(1)
	o.l.putBytes.Add(int64(len(body)))
	return o.ObjectStore.Put(ctx, key, body)
}

func (o countedObjects) Get(ctx context.Context, key core.ObjectKey) ([]byte, error) {
	o.l.gets.Add(1)
	return o.ObjectStore.Get(ctx, key)
}

type countedVMs struct {
	ports.VMList
	l *ledger
}

func (v countedVMs) VMs(ctx context.Context) ([]core.VM, error) {
	v.l.vmLists.Add(1)
	return v.VMList.VMs(ctx)
}

type countedEngine struct {
	ports.Engine
	l *ledger
}

func (e countedEngine) Status(ctx context.Context, server core.VM, cursor uint64) (core.EngineStatus, error) {
	e.l.statuses.Add(1)
	return e.Engine.Status(ctx, server, cursor)
}

type countedPeers struct {
	ports.Peers
	l *ledger
}

func (p countedPeers) Configuration(ctx context.Context, address string) (core.Configuration, error) {
	p.l.configFetches.Add(1)
	return p.Peers.Configuration(ctx, address)
}

// figures is a copy of a ledger's counts.
type figures struct {
	reads, rowsRead, commits, rowsWritten, leaseReads, leaseCommits, configReads float64
	puts, gets, putBytes, vmLists, statuses, configFetches                       float64
}

func (l *ledger) figures() figures {
	return figures{
		float64(l.reads.Load()), float64(l.rowsRead.Load()), float64(l.commits.Load()), float64(l.rowsWritten.Load()),
		float64(l.leaseReads.Load()), float64(l.leaseCommits.Load()), float64(l.configReads.Load()),
		float64(l.puts.Load()), float64(l.gets.Load()), float64(l.putBytes.Load()),
		float64(l.vmLists.Load()), float64(l.statuses.Load()), float64(l.configFetches.Load()),
	}
}
