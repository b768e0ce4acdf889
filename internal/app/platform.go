package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/tables"
)

// observer notes whether one of the platform's services answers.
type observer struct {
	platform *tables.Platform
	service  core.PlatformService
	clock    ports.Clock
}

// ended notes how a call ended that started at a time.
func (o observer) ended(started time.Time, err error) {
	switch now := o.clock.Now(); errkind.Of(err) {
	case errkind.StoreUnavailable, errkind.OutcomeUnknown, errkind.Timeout:
		o.platform.Failed(o.service, started, now)
	case errkind.Canceled:
	default:
		o.platform.Answered(o.service, now)
	}
}

// observe runs a call and notes how it ended.
func observe[T any](o observer, call func() (T, error)) (T, error) {
	started := o.clock.Now()
	value, err := call()
	o.ended(started, err)
	return value, err
}

// observedTables is a table service whose calls are noted.
type observedTables struct {
	ports.TableService
	observer
}

func (t observedTables) Read(ctx context.Context, keys []core.RowKey) ([]core.Row, error) {
	return observe(t.observer, func() ([]core.Row, error) { return t.TableService.Read(ctx, keys) })
}

func (t observedTables) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	return observe(t.observer, func() (core.CommitResult, error) { return t.TableService.Commit(ctx, commit) })
}

// observedObjects is an object store whose calls are noted.
type observedObjects struct {
	ports.ObjectStore
	observer
}

func (o observedObjects) Get(ctx context.Context, key core.ObjectKey) ([]byte, error) {
	return observe(o.observer, func() ([]byte, error) { return o.ObjectStore.Get(ctx, key) })
}

func (o observedObjects) Put(ctx context.Context, key core.ObjectKey, body []byte) error {
	_, err := observe(o.observer, func() (struct{}, error) { return struct{}{}, o.ObjectStore.Put(ctx, key, body) })
	return err
}

// observedVMs is a VM list whose calls are noted.
type observedVMs struct {
	ports.VMList
	observer
}

func (v observedVMs) VMs(ctx context.Context) ([]core.VM, error) {
	return observe(v.observer, func() ([]core.VM, error) { return v.VMList.VMs(ctx) })
}

// observePlatform notes the calls of the platform in a table.
func observePlatform(outside Ports, platform *tables.Platform) Ports {
	of := func(service core.PlatformService) observer { return observer{platform, service, outside.Clock} }
	outside.Tables = observedTables{outside.Tables, of(core.PlatformTables)}
	outside.Objects = observedObjects{outside.Objects, of(core.PlatformObjects)}
	outside.VMs = observedVMs{outside.VMs, of(core.PlatformVMList)}
	return outside
}
