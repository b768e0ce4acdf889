package announce

import (
	"time"

	"fescuespar/internal/core"
)

const (
	// countsWait is the time without announcements for which the counts of a process are
	// waited for. A VM that was paused for longer has missed its reports anyway.
	countsWait = 10 * time.Second
	// minReadGap is the time between two reads of the members from which on reads count as
	// interrupted: several intervals of a small fleet.
	minReadGap = 2 * time.Second
	// offsetLife is the time without announcements for which the clock offset of a process
	// counts. It does not change when a process stops; without the offsets of those that
	// are paused or restart, one VM with a wrong time of day could be most of the live ones.
	offsetLife = time.Minute
)

// isReadGap reports whether a time without a read of the members is longer than their
// usual intervals.
func (v *View) isReadGap(elapsed time.Duration) bool {
	gap := minReadGap
	for _, known := range v.rows {
		gap = max(gap, known.record.Every)
	}
	return elapsed > gap
}

// updateReadable records a read at a time, after a time without one.
func (v *View) updateReadable(elapsed time.Duration, now time.Time) {
	if v.readableSince.IsZero() || v.isReadGap(elapsed) {
		v.readableSince = now
	}
}

// ReadableSince returns the time since which the members have been read at their usual
// intervals, which is now if they cannot be read.
func (v *View) ReadableSince(now time.Time) time.Time {
	if v.readAt.IsZero() || v.isReadGap(now.Sub(v.readAt)) {
		return now
	}
	return v.readableSince
}

// publishedOffset returns the clock offset of a VM, whose row was known, if not nil, and is
// now the record. A process that has just started has not measured its offset yet.
func publishedOffset(known *memberRow, record *core.MemberRecord) time.Duration {
	switch {
	case record.Usage != nil && record.Usage.ClockOffset != 0:
		return record.Usage.ClockOffset
	case known != nil:
		return known.clockOffset
	default:
		return 0
	}
}

// ClockOffsets returns the offsets that the other processes have published, and the number
// of other processes, also of those that have stopped not long ago.
func (v *View) ClockOffsets(self core.VMID) (offsets []time.Duration, processes int) {
	for id, known := range v.rows {
		if id == self || known.unchangedFor >= offsetLife {
			continue
		}
		processes++
		if known.clockOffset != 0 {
			offsets = append(offsets, known.clockOffset)
		}
	}
	return offsets, processes
}

// CountedThrough returns the last window of which all processes have written their counts,
// and false if no process counts. A process that has stopped announcing itself is waited
// for, since it may be paused.
func (v *View) CountedThrough() (core.UsageWindow, bool) {
	var through core.UsageWindow
	found := false
	for _, known := range v.rows {
		usage := known.record.Usage
		if usage == nil || known.unchangedFor >= countsWait+missedAnnouncements*known.record.Every {
			continue
		}
		if !found || usage.CountedThrough < through {
			through = usage.CountedThrough
		}
		found = true
	}
	return through, found
}
