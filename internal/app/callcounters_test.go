package app_test

import (
	"context"
	"sync/atomic"
	"time"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/ports"
)

// callCounters counts a cluster's calls to external services.
type callCounters struct {
	reads, rowsRead, commits, rowsWritten atomic.Int64
	leaseReads, leaseCommits              atomic.Int64
	configReads                           atomic.Int64
	puts, gets, putBytes                  atomic.Int64
	vmLists, statuses, configFetches      atomic.Int64
	commitDelay                           time.Duration
}

func (c *callCounters) wrap(external *app.Ports) {
	external.Tables = countedTables{external.Tables, c}
	external.Objects = countedObjects{external.Objects, c}
	external.VMs = countedVMs{external.VMs, c}
	external.Engine = countedEngine{external.Engine, c}
	external.Peers = countedPeers{external.Peers, c}
}

type countedTables struct {
	ports.TableService
	counters *callCounters
}

func (t countedTables) Read(ctx context.Context, keys []core.RowKey) ([]core.Row, error) {
	t.counters.reads.Add(1)
	t.counters.rowsRead.Add(int64(len(keys)))
	switch keys[0].Table {
	case core.TableLease:
		t.counters.leaseReads.Add(1)
	case core.TableConfig:
		t.counters.configReads.Add(1)
	}
	return t.TableService.Read(ctx, keys)
}

func (t countedTables) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	t.counters.commits.Add(1)
	t.counters.rowsWritten.Add(int64(len(commit.Writes)))
	if commit.Writes[0].Key.Table == core.TableLease {
		t.counters.leaseCommits.Add(1)
	}
	if t.counters.commitDelay > 0 {
		<-time.After(t.counters.commitDelay)
	}
	return t.TableService.Commit(ctx, commit)
}

type countedObjects struct {
	ports.ObjectStore
	counters *callCounters
}

func (o countedObjects) Put(ctx context.Context, key core.ObjectKey, body []byte) error {
	o.counters.puts.Add(1)
	o.counters.putBytes.Add(int64(len(body)))
	return o.ObjectStore.Put(ctx, key, body)
}

func (o countedObjects) Get(ctx context.Context, key core.ObjectKey) ([]byte, error) {
	o.counters.gets.Add(1)
	return o.ObjectStore.Get(ctx, key)
}

type countedVMs struct {
	ports.VMList
	counters *callCounters
}

func (v countedVMs) VMs(ctx context.Context) ([]core.VM, error) {
	v.counters.vmLists.Add(1)
	return v.VMList.VMs(ctx)
}

type countedEngine struct {
	ports.Engine
	counters *callCounters
}

func (e countedEngine) Status(ctx context.Context, server core.VM, cursor uint64) (core.EngineStatus, error) {
	e.counters.statuses.Add(1)
	return e.Engine.Status(ctx, server, cursor)
}

type countedPeers struct {
	ports.Peers
	counters *callCounters
}

func (p countedPeers) Configuration(ctx context.Context, address string) (core.Configuration, error) {
	p.counters.configFetches.Add(1)
	return p.Peers.Configuration(ctx, address)
}

// counterValues is a copy of the values of callCounters.
type counterValues struct {
	reads, rowsRead, commits, rowsWritten, leaseReads, leaseCommits, configReads float64
	puts, gets, putBytes, vmLists, statuses, configFetches                       float64
}

func (c *callCounters) values() counterValues {
	return counterValues{
		float64(c.reads.Load()), float64(c.rowsRead.Load()), float64(c.commits.Load()), float64(c.rowsWritten.Load()),
		float64(c.leaseReads.Load()), float64(c.leaseCommits.Load()), float64(c.configReads.Load()),
		float64(c.puts.Load()), float64(c.gets.Load()), float64(c.putBytes.Load()),
		float64(c.vmLists.Load()), float64(c.statuses.Load()), float64(c.configFetches.Load()),
	}
}
