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
)

// updateReadable records a read at a time, after a time without one.
func (v *View) updateReadable(elapsed time.Duration, now time.Time) {
	gap := minReadGap
	for _, known := range v.rows {
		gap = max(gap, known.record.Every)
	}
	if v.readableSince.IsZero() || elapsed > gap {
		v.readableSince = now
	}
}

// ReadableSince returns the time since which the members have been read at their usual
// intervals, zero before the first read.
func (v *View) ReadableSince() time.Time { return v.readableSince }

// ClockOffsets returns the offsets that the other processes have published, and the number
// of other processes.
func (v *View) ClockOffsets(self core.VMID) (offsets []time.Duration, processes int) {
	for id, known := range v.rows {
		if id == self || known.isExpired() {
			continue
		}
		processes++
		if known.record.Usage != nil {
			offsets = append(offsets, known.record.Usage.ClockOffset)
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
