package usage

import (
	"maps"
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// sendReserve is the part of the time until a report is due that is kept for sending
	// it: one call without an answer in time.
	sendReserve = 2500 * time.Millisecond
	// settleDelay is the time after a window's end before which it is not settled. It
	// covers differences between the processes' true times.
	settleDelay = 250 * time.Millisecond
	// countsGrace is the time that processes need after an outage of the store, beside
	// their interval of writing, until their counts are written.
	countsGrace = time.Second
	// maxSettledAtOnce bounds the windows of one commit, and maxRowsAtOnce the rows of
	// counts from which on it gets no further window. A commit has at most 1 MiB; a row
	// takes about 220 bytes.
	maxSettledAtOnce = 20
	maxRowsAtOnce    = 1000
	// maxBacklog is the number of windows before the current one that are still reported: an
	// hour of windows of 5 s.
	maxBacklog = 720
)

// Ledger is the state of the reports as known by the holder of the duty. It is not safe
// for concurrent use.
type Ledger struct {
	window, due time.Duration

	isLoaded bool
	settled  core.Row // row of SettledKey
	next     core.UsageWindow
	reports  map[core.UsageWindow]core.UsageReport // fixed and not known to be accepted
	accepted []core.UsageWindow                    // whose rows are not removed yet
}

// NewLedger returns a ledger for windows of a length, whose reports are due at a time after
// their end.
func NewLedger(window, due time.Duration) *Ledger {
	return &Ledger{window: window, due: due, reports: make(map[core.UsageWindow]core.UsageReport)}
}

// Unload drops what is known, because another process may have changed it.
func (l *Ledger) Unload() { *l = *NewLedger(l.window, l.due) }

// IsLoaded reports whether the rows of an earlier holder were read.
func (l *Ledger) IsLoaded() bool { return l.isLoaded }

// Load sets the state from the row of SettledKey and all rows of reports, read at a true
// time under the lease. If no window has ever been settled, reports begin with the window
// in which the process of the holder started; by then no request has run. It returns the
// number of windows that are not reported because they are too old.
func (l *Ledger) Load(settled core.Row, reports []core.Row, started, now time.Time) (skipped int) {
	l.Unload()
	l.isLoaded, l.settled = true, settled
	l.next = WindowAt(started, l.window)
	if record, found := settled.Record.(core.ReportedRecord); found {
		l.next = record.Next
	}
	if current := WindowAt(now, l.window); l.next+maxBacklog < current {
		skipped = int(current - maxBacklog - l.next)
		l.next = current - maxBacklog
	}
	for _, row := range reports {
		if record, ok := row.Record.(core.ReportRecord); ok {
			l.reports[record.Report.Window] = record.Report
		}
	}
	return skipped
}

// Progress is what the holder knows of the processes' counts.
type Progress struct {
	CountedThrough core.UsageWindow // all processes have written their counts of windows up to this one
	IsKnown        bool             // CountedThrough is known
	ReadableSince  time.Time        // true time since which the store could be read
	WriteInterval  time.Duration    // at which the processes write their counts
}

// ReadyThrough returns the last window that can be settled at a true time, and false if
// there is none. A window is settled as soon as all processes have written their counts of
// it, and at the latest when its report must be sent, except that after an outage of the
// store the processes get the time to write theirs.
func (l *Ledger) ReadyThrough(now time.Time, progress Progress) (core.UsageWindow, bool) {
	if !l.isLoaded {
		return 0, false
	}
	// The end of the last window that was settled, had it to be settled now.
	last := now.Add(-(l.due - sendReserve))
	if now.Sub(progress.ReadableSince) < 2*progress.WriteInterval+countsGrace {
		last = time.Time{}
	}
	through := l.next
	found := false
	for window := l.next; window < l.next+maxSettledAtOnce; window++ {
		end := EndOf(window, l.window)
		isCounted := progress.IsKnown && window <= progress.CountedThrough && !now.Before(end.Add(settleDelay))
		if !isCounted && end.After(last) {
			break
		}
		through, found = window, true
	}
	return through, found
}

// Settlement is a commit that fixes the reports of some windows.
type Settlement struct {
	Commit  core.Commit
	Reports []core.UsageReport
	Late    int // rows of counts of windows whose report was fixed before
}

// Settle returns the commit that fixes the reports of the windows up to the given one, or
// of the first of them, from all rows of counts. It removes these rows, and reports that
// were accepted. It has conditions on the rows, so that no count that is written meanwhile
// is removed without being reported. guard is that of the lease.
func (l *Ledger) Settle(through core.UsageWindow, counts []core.Row, guard core.Condition, id core.AttemptID) Settlement {
	s := Settlement{Commit: core.Commit{
		Attempt: id, Conditions: []core.Condition{guard, {Key: SettledKey, Version: l.settled.Version}},
	}}
	byWindow := make(map[core.UsageWindow][]core.Row)
	first := l.next
	for _, row := range counts {
		record, ok := row.Record.(core.UsageRecord)
		if !ok {
			continue
		}
		if l.settled.Version == 0 {
			first = min(first, record.Window)
		}
		byWindow[record.Window] = append(byWindow[record.Window], row)
	}
	rows := 0
	next := first
	for ; next <= through && len(s.Reports) < maxSettledAtOnce && rows <= maxRowsAtOnce; next++ {
		s.addReport(next, byWindow[next])
		rows += len(byWindow[next])
	}
	for window, late := range byWindow {
		for _, row := range late {
			if window >= first || s.Late >= maxRowsAtOnce {
				break
			}
			s.Late++
			s.Commit.Writes = append(s.Commit.Writes, core.Write{Key: row.Key})
		}
	}
	for _, window := range l.accepted {
		s.Commit.Writes = append(s.Commit.Writes, core.Write{Key: ReportKey(window)})
	}
	s.Commit.Writes = append(s.Commit.Writes, core.Write{Key: SettledKey, Record: core.ReportedRecord{Next: next}})
	return s
}

// addReport adds the report of a window, from the rows of its counts.
func (s *Settlement) addReport(window core.UsageWindow, rows []core.Row) {
	report := core.UsageReport{Window: window, Counts: make(map[core.AccountName]uint64)}
	for _, row := range rows {
		for account, count := range row.Record.(core.UsageRecord).Counts {
			if count > 0 {
				report.Counts[account] += count
			}
		}
		s.Commit.Conditions = append(s.Commit.Conditions, core.Condition{Key: row.Key, Version: row.Version})
		s.Commit.Writes = append(s.Commit.Writes, core.Write{Key: row.Key})
	}
	s.Reports = append(s.Reports, report)
	s.Commit.Writes = append(s.Commit.Writes, core.Write{Key: ReportKey(window), Record: core.ReportRecord{Report: report}})
}

// Settled records that the commit of a settlement took effect and wrote a version.
func (l *Ledger) Settled(s Settlement, version core.RowVersion) {
	l.next = s.Reports[len(s.Reports)-1].Window + 1
	l.settled = core.Row{Key: SettledKey, Version: version, Attempt: s.Commit.Attempt, Record: core.ReportedRecord{Next: l.next}}
	l.accepted = slices.DeleteFunc(l.accepted, func(window core.UsageWindow) bool {
		return slices.ContainsFunc(s.Commit.Writes, func(w core.Write) bool { return w.Key == ReportKey(window) })
	})
	for _, report := range s.Reports {
		l.reports[report.Window] = report
	}
}

// CommitFailed records that the commit of a settlement did not take effect because the
// rows of some keys have changed. What is known of reports is dropped if another commit
// may have fixed them.
func (l *Ledger) CommitFailed(failed []core.RowKey) {
	for _, key := range failed {
		if key.Table != core.TableUsage {
			l.Unload()
			return
		}
	}
}

// NextReport returns the report that is sent next: of those that can still be in time the
// one that is due first, else the oldest.
func (l *Ledger) NextReport(now time.Time) (core.UsageReport, bool) {
	owed := slices.Sorted(maps.Keys(l.reports))
	if len(owed) == 0 {
		return core.UsageReport{}, false
	}
	inTime := slices.IndexFunc(owed, func(window core.UsageWindow) bool { return !l.IsLate(window, now) })
	return l.reports[owed[max(0, inTime)]], true
}

// IsLate reports whether a window's report is past due.
func (l *Ledger) IsLate(window core.UsageWindow, now time.Time) bool {
	return now.After(EndOf(window, l.window).Add(l.due))
}

// Accepted records that the platform has accepted a report. It returns false if that was
// known.
func (l *Ledger) Accepted(window core.UsageWindow) bool {
	if _, found := l.reports[window]; !found {
		return false
	}
	delete(l.reports, window)
	l.accepted = append(l.accepted, window)
	return true
}

// Summary is the state of a ledger for operators.
type Summary struct {
	Next   core.UsageWindow `json:"next"`   // first window whose report is not fixed
	Owed   int              `json:"owed"`   // reports that are fixed and not accepted
	Late   int              `json:"late"`   // of them, past due
	Oldest core.UsageWindow `json:"oldest"` // window of the oldest of them, zero for none
}

// Summary returns the state at a true time.
func (l *Ledger) Summary(now time.Time) Summary {
	s := Summary{Next: l.next, Owed: len(l.reports)}
	for window := range l.reports {
		if l.IsLate(window, now) {
			s.Late++
		}
		if s.Oldest == 0 || window < s.Oldest {
			s.Oldest = window
		}
	}
	return s
}
