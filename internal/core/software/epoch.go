package software

import (
	"time"

	"fescuespar/internal/core"
)

const (
	// MinHorizon is the least time after which no stream is resumed any more. It covers the
	// time for which a server serves on after its registration is gone, several times.
	MinHorizon = 2 * time.Minute
	// MaxRecordAge is how long a process goes by a service's record, from its last read of
	// both the record and the registered servers: most outages of the store are shorter.
	MaxRecordAge = 2 * time.Minute
	// horizonTimeouts is the number of time-outs of a route that a caller's attempts at one
	// stream may last, by the most retries of the users' sheets.
	horizonTimeouts = 4
)

// Horizon returns the time after which no stream is resumed any more, for routes of streams
// with the given longest time-out.
func Horizon(longest time.Duration) time.Duration { return MinHorizon + horizonTimeouts*longest }

// Begin returns the service's record that must be stored before a stream of a version may
// begin, and whether it differs from the stored one, which is found or not.
func Begin(stored core.SoftwareRecord, found bool, version core.SoftwareVersion) (next core.SoftwareRecord, changed bool) {
	if !found {
		return core.SoftwareRecord{Base: version}, true
	}
	if version == stored.Base || stored.Mixed {
		return stored, false
	}
	return core.SoftwareRecord{Base: stored.Base, Mixed: true}, true
}

// NeedsRow reports whether a stream of a version needs a row of its own, under the service's
// record. Streams of a route with several services always do, as the base version does not
// tell the service.
func NeedsRow(stored core.SoftwareRecord, version core.SoftwareVersion, services int) bool {
	return version != stored.Base || services > 1
}

// OfStream returns the version of a stream without a row, empty if it is not known. hasName
// tells whether the caller has named the attempt that began the stream; without that, only a
// service that has no streams of other versions tells.
func OfStream(stored core.SoftwareRecord, found, hasName bool, services int) core.SoftwareVersion {
	if !found || services > 1 || stored.Mixed && !hasName {
		return ""
	}
	return stored.Base
}

// Settle returns the record once all registered servers have had one version for the horizon
// and MaxRecordAge, and whether it differs from the stored one. A process that has been cut
// off since before may have begun a stream of another version, without a row, up to
// MaxRecordAge later; nobody resumes it any more by then.
func Settle(stored core.SoftwareRecord, only core.SoftwareVersion, lasted, horizon time.Duration) (next core.SoftwareRecord, changed bool) {
	next = core.SoftwareRecord{Base: only}
	return next, only != "" && lasted >= horizon+MaxRecordAge && next != stored
}
