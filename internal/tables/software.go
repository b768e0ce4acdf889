package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/software"
	"fescuespar/internal/lockrank"
)

// softwareRefreshAge is the age from which a service's record is read again beside its use.
const softwareRefreshAge = 10 * time.Second

// Software holds, for each service, the record that tells the software version of streams
// without a row, and the versions of the registered servers.
type Software struct {
	// mu guards all fields below.
	mu       lockrank.Mutex
	services map[string]*serviceSoftware
	sweep    software.Sweep
	reads    software.ReadPace
}

type serviceSoftware struct {
	record     core.SoftwareRecord
	readAt     time.Time // start of the read of the record; zero if it is not known
	refreshing bool
	registered software.Registered
}

// NewSoftware returns a table without services.
func NewSoftware() *Software {
	return &Software{mu: lockrank.New(lockrank.RankSoftware), services: make(map[string]*serviceSoftware)}
}

func (t *Software) service(name string) *serviceSoftware {
	if t.services[name] == nil {
		t.services[name] = &serviceSoftware{}
	}
	return t.services[name]
}

// Record returns a service's record, and false if it has to be read first. refresh tells the
// caller to read it beside its use, and to call SetRecord or RefreshFailed then.
func (t *Software) Record(service string, now time.Time) (record core.SoftwareRecord, refresh, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.service(service)
	if held.readAt.IsZero() || now.Sub(held.readAt) > software.MaxRecordAge || now.Sub(held.registered.ReadAt()) > software.MaxRecordAge {
		return core.SoftwareRecord{}, false, false
	}
	if now.Sub(held.readAt) > softwareRefreshAge && !held.refreshing {
		held.refreshing, refresh = true, true
	}
	return held.record, refresh, true
}

// SetRecord sets a service's record as read or written by a call that began at a time. One
// from before the last change of the registered versions is not kept.
func (t *Software) SetRecord(service string, record core.SoftwareRecord, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.service(service)
	held.refreshing = false
	if began.After(held.readAt) && !began.Before(held.registered.Since()) {
		held.record, held.readAt = record, began
	}
}

// RefreshFailed records that a record could not be read again.
func (t *Software) RefreshFailed(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).refreshing = false
}

// ObserveServers applies the versions of all registered servers, by service, as read at a
// time. The record of a service whose versions have changed is read again before its next
// use: another process may have settled on another base while a version was gone.
func (t *Software) ObserveServers(versions map[string][]core.SoftwareVersion, readAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range versions {
		t.service(name)
	}
	for name, held := range t.services {
		if held.registered.Observe(versions[name], readAt) {
			held.readAt = time.Time{}
		}
	}
}

// ConfirmServers records that the registered servers were read at a time and are the same.
func (t *Software) ConfirmServers(readAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, held := range t.services {
		held.registered.Confirm(readAt)
	}
}

// OnlyVersion returns the only version of a service's registered servers and for how long it
// has been, empty if there are several or none.
func (t *Software) OnlyVersion(service string) (core.SoftwareVersion, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(service).registered.Only()
}

// ExpiredStreams returns which rows of streams are to be removed, given all of them.
func (t *Software) ExpiredStreams(rows []core.Row, now time.Time, horizon time.Duration) []core.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sweep.Expired(rows, now, horizon)
}

// ReserveRead returns how long a read of a stream waits, so that reads are an interval apart
// but for a burst after a pause.
func (t *Software) ReserveRead(now time.Time, interval time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads.Reserve(now, interval)
}
