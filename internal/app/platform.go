package app

import (
	"context"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/tables"
)

// callObserver records whether one of the platform's services answers.
type callObserver struct {
	platform *tables.Platform
	service  core.PlatformService
	clock    ports.Clock
}

// recordResult records the result of a call that started at the given time.
func (o callObserver) recordResult(startedAt time.Time, err error) {
	switch now := o.clock.Now(); errkind.Of(err) {
	case errkind.StoreUnavailable, errkind.OutcomeUnknown, errkind.Timeout:
		o.platform.RecordFailure(o.service, startedAt, now)
	case errkind.Canceled:
	default:
		o.platform.RecordAnswer(o.service, now)
	}
}

// observe runs a call and records its result.
func observe[T any](o callObserver, call func() (T, error)) (T, error) {
	startedAt := o.clock.Now()
	value, err := call()
	o.recordResult(startedAt, err)
	return value, err
}

// observedTables is a table service whose results are recorded.
type observedTables struct {
	ports.TableService
	callObserver
}

func (t observedTables) Read(ctx context.Context, keys []core.RowKey) ([]core.Row, error) {
	return observe(t.callObserver, func() ([]core.Row, error) { return t.TableService.Read(ctx, keys) })
}

func (t observedTables) Commit(ctx context.Context, commit core.Commit) (core.CommitResult, error) {
	return observe(t.callObserver, func() (core.CommitResult, error) { return t.TableService.Commit(ctx, commit) })
}

// observedObjects is an object store whose results are recorded.
type observedObjects struct {
	ports.ObjectStore
	callObserver
}

func (o observedObjects) Get(ctx context.Context, key core.ObjectKey) ([]byte, error) {
	return observe(o.callObserver, func() ([]byte, error) { return o.ObjectStore.Get(ctx, key) })
}

func (o observedObjects) Put(ctx context.Context, key core.ObjectKey, body []byte) error {
	_, err := observe(o.callObserver, func() (struct{}, error) { return struct{}{}, o.ObjectStore.Put(ctx, key, body) })
	return err
}

// observedVMs is a VM list whose results are recorded.
type observedVMs struct {
	ports.VMList
	callObserver
}

func (v observedVMs) VMs(ctx context.Context) ([]core.VM, error) {
	return observe(v.callObserver, func() ([]core.VM, error) { return v.VMList.VMs(ctx) })
}

// observePlatform records the results of platform calls in a table.
func observePlatform(external Ports, platform *tables.Platform) Ports {
	observerFor := func(service core.PlatformService) callObserver {
		return callObserver{platform, service, external.Clock}
	}
	external.Tables = observedTables{external.Tables, observerFor(core.PlatformTables)}
	external.Objects = observedObjects{external.Objects, observerFor(core.PlatformObjects)}
	external.VMs = observedVMs{external.VMs, observerFor(core.PlatformVMList)}
	return external
}
