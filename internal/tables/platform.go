package tables

import (
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// Platform holds which of the platform's services answer.
type Platform struct {
	// mu guards services.
	mu       lockrank.Mutex
	services map[core.PlatformService]*platformRow
}

// platformRow is what the calls of one service ended with.
type platformRow struct {
	answered time.Time // newest answer
	since    time.Time // start of the first failed call after it, zero when none failed
	seen     time.Time // end of the newest failed call
}

// NewPlatform returns a table that has seen no call.
func NewPlatform() *Platform {
	return &Platform{
		mu: lockrank.New(lockrank.RankPlatform), services: make(map[core.PlatformService]*platformRow),
	}
}

// Answered notes that a service answered a call.
func (t *Platform) Answered(service core.PlatformService, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service)
	row.answered = now
	row.since = time.Time{}
}

// Failed notes that a service did not answer a call. A call that started before
// the newest answer counts from that answer.
func (t *Platform) Failed(service core.PlatformService, started, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service)
	if row.since.IsZero() {
		row.since = started
		if started.Before(row.answered) {
			row.since = row.answered
		}
	}
	row.seen = now
}

// Lost notes a failed call that ended now. It returns true for the first one
// since the last answer, and when that came, zero for never.
func (t *Platform) Lost(service core.PlatformService, now time.Time) (first bool, answered time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service)
	first = row.since.IsZero()
	if first {
		row.since = now
	}
	row.seen = now
	return first, row.answered
}

// Recovered notes an answer. It returns true for the first one after a failure,
// and how long ago that failure was seen.
func (t *Platform) Recovered(service core.PlatformService, now time.Time) (first bool, away time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.row(service)
	first = !row.since.IsZero()
	if first {
		away = now.Sub(row.since)
	}
	row.answered, row.since = now, time.Time{}
	return first, away
}

// Failing reports whether a service's newest call failed.
func (t *Platform) Failing(service core.PlatformService) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.row(service).since.IsZero()
}

// Outages returns the services that have not answered since a call failed.
func (t *Platform) Outages() []core.PlatformOutage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var outages []core.PlatformOutage
	for service, row := range t.services {
		if !row.since.IsZero() {
			outages = append(outages, core.PlatformOutage{Service: service, Since: row.since, Seen: row.seen})
		}
	}
	slices.SortFunc(outages, func(a, b core.PlatformOutage) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return outages
}

func (t *Platform) row(service core.PlatformService) *platformRow {
	row := t.services[service]
	if row == nil {
		row = &platformRow{}
		t.services[service] = row
	}
	return row
}
