package tables

import (
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// Platform holds the availability of the platform's services.
type Platform struct {
	// mu guards services.
	mu       lockrank.Mutex
	services map[core.PlatformService]*platformRow
}

// platformRow holds the results of the calls to one service.
type platformRow struct {
	lastAnswer   time.Time // time of the newest answer
	failingSince time.Time // start of the first failed call after that answer, zero when none failed
	lastFailure  time.Time // end of the newest failed call
}

// NewPlatform returns a table without results.
func NewPlatform() *Platform {
	return &Platform{
		mu: lockrank.New(lockrank.RankPlatform), services: make(map[core.PlatformService]*platformRow),
	}
}

// RecordAnswer records that a service answered a call.
func (t *Platform) RecordAnswer(service core.PlatformService, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service)
	row.lastAnswer = now
	row.failingSince = time.Time{}
}

// RecordFailure records that a service did not answer a call. If the call started
// before the newest answer, the outage starts at that answer.
func (t *Platform) RecordFailure(service core.PlatformService, started, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service)
	if row.failingSince.IsZero() {
		row.failingSince = started
		if started.Before(row.lastAnswer) {
			row.failingSince = row.lastAnswer
		}
	}
	row.lastFailure = now
}

// MarkUnavailable records a failed call that ended now. It reports whether this
// is the first failure since the last answer, and returns the time of that
// answer, zero if there was none.
func (t *Platform) MarkUnavailable(service core.PlatformService, now time.Time) (first bool, answered time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service)
	first = row.failingSince.IsZero()
	if first {
		row.failingSince = now
	}
	row.lastFailure = now
	return first, row.lastAnswer
}

// MarkAvailable records an answer. It reports whether this is the first answer after
// a failure, and returns the time since the first such failure.
func (t *Platform) MarkAvailable(service core.PlatformService, now time.Time) (first bool, outage time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service)
	first = !row.failingSince.IsZero()
	if first {
		outage = now.Sub(row.failingSince)
	}
	row.lastAnswer, row.failingSince = now, time.Time{}
	return first, outage
}

// IsFailing reports whether a call to a service has failed since its newest answer.
func (t *Platform) IsFailing(service core.PlatformService) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.row(service).failingSince.IsZero()
}

// Outages returns the services that have not answered since a call failed,
// sorted by service.
func (t *Platform) Outages() []core.PlatformOutage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var outages []core.PlatformOutage
	for service, row := range t.services {
		if !row.failingSince.IsZero() {
			outages = append(outages, core.PlatformOutage{Service: service, Since: row.failingSince, Seen: row.lastFailure})
		}
	}
	slices.SortFunc(outages, func(a, b core.PlatformOutage) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return outages
}

// row returns a service's row, added if absent. The caller holds mu.
func (t *Platform) row(service core.PlatformService) *platformRow {
	row := t.services[service]
	if row == nil {
		row = &platformRow{}
		t.services[service] = row
	}
	return row
}
