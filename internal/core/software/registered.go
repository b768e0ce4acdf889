package software

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// maxReadGap is the longest time between two reads of the registrations over which a version
// counts as the only one throughout. A server that was registered between two reads may
// have begun streams.
const maxReadGap = 10 * time.Second

// Registered tracks which versions the registered servers of one service have. It is not
// safe for concurrent use.
type Registered struct {
	versions []core.SoftwareVersion // sorted, each once
	since    time.Time              // from when on these were read without a gap
	readAt   time.Time
}

// Observe applies the versions of all registered servers as read at a time. It reports
// whether they have changed.
func (r *Registered) Observe(versions []core.SoftwareVersion, readAt time.Time) (changed bool) {
	versions = slices.Clone(versions)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	r.Confirm(readAt)
	if changed = !slices.Equal(versions, r.versions); changed {
		r.versions, r.since = versions, readAt
	}
	return changed
}

// Confirm records that a read at a time found the versions unchanged.
func (r *Registered) Confirm(readAt time.Time) {
	if readAt.Sub(r.readAt) > maxReadGap {
		r.since = readAt
	}
	r.readAt = readAt
}

// Since returns from when on the versions were read without a gap.
func (r *Registered) Since() time.Time { return r.since }

// ReadAt returns when the registrations were last read.
func (r *Registered) ReadAt() time.Time { return r.readAt }

// Only returns the only version and for how long it has been, empty if there are several or
// none.
func (r *Registered) Only() (version core.SoftwareVersion, lasted time.Duration) {
	if len(r.versions) != 1 {
		return "", 0
	}
	return r.versions[0], r.readAt.Sub(r.since)
}
