package usage

import (
	"maps"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

const (
	window = 5 * time.Second
	due    = 10 * time.Second
)

// at returns a time after the start of window 1000.
func at(d time.Duration) time.Time { return EndOf(999, window).Add(d) }

// sameTime is the conversion of a process whose clock is true time.
func sameTime(t time.Time) time.Time { return t }

func newCounter() *Counter { return NewCounter(window, due, "vm-1", 7) }

// counted returns the counts of a window that would be written now.
func counted(c *Counter, window core.UsageWindow) map[core.AccountName]uint64 {
	for _, counts := range c.Unwritten(sameTime) {
		if counts.Window == window {
			return counts.ByName
		}
	}
	return nil
}

func TestBeginOfAnAttempt(t *testing.T) {
	failed := errkind.New(errkind.ServerFailed, "reset")
	for _, c := range []struct {
		name    string
		err     error
		wasSent bool
		want    bool
	}{
		{"answer of any status", nil, true, true},
		{"refused", errkind.New(errkind.ServerRefused, "not run"), true, false},
		{"reset without an answer", failed, true, true},
		{"reset before it was sent", failed, false, false},
		{"caller left", errkind.New(errkind.Canceled, "left"), true, true},
		{"no answer in time", errkind.New(errkind.Timeout, "late"), true, true},
	} {
		if got := HasBegun(c.err, c.wasSent); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestAttemptCountsInTheWindowOfItsBegin guards against long requests that are missing in
// the report of the window in which they began, and refused ones that are in it.
func TestAttemptCountsInTheWindowOfItsBegin(t *testing.T) {
	c := newCounter()
	long := c.Send("a", at(time.Second))
	refused := c.Send("a", at(2*time.Second))
	border := c.Send("b", at(4999*time.Millisecond))
	if got := counted(c, 1000); got["a"] != 2 || got["b"] != 1 {
		t.Errorf("in flight: %v, want all of them", got)
	}
	c.End(refused, false, 0)
	c.End(border, true, 2*time.Millisecond)
	if got := counted(c, 1000); got["a"] != 1 || got["b"] != 0 || counted(c, 1001)["b"] != 1 {
		t.Errorf("counts %v and %v, want the long one, and one that was sent after the end in the next", got, counted(c, 1001))
	}
	c.End(long, true, time.Millisecond)
	c.Begin("stream", at(6*time.Second))
	if got := counted(c, 1000); got["a"] != 1 || counted(c, 1001)["stream"] != 1 {
		t.Errorf("counts %v and %v", got, counted(c, 1001))
	}
}

// TestWritesExcludeEachOther guards against an older write that takes effect after a newer
// one.
func TestWritesExcludeEachOther(t *testing.T) {
	c := newCounter()
	c.Begin("a", at(0))
	first, counts, _ := c.Write(sameTime, "w1") // its outcome is not known
	c.Begin("a", at(1))
	second, _, _ := c.Write(sameTime, "w2")
	if first.Conditions[0] != second.Conditions[0] || first.Conditions[0].Version != 0 {
		t.Fatalf("conditions %v and %v, want the same", first.Conditions, second.Conditions)
	}
	c.Conflict(counts, []core.Row{{Key: first.Writes[0].Key, Version: 4, Record: first.Writes[0].Record}})
	third, counts, found := c.Write(sameTime, "w3")
	if !found || third.Conditions[0].Version != 4 || counts[0].ByName["a"] != 2 {
		t.Errorf("after a conflict: %+v, %v", third, found)
	}
	c.Written(counts, 5)
	if _, _, found := c.Write(sameTime, "w4"); found {
		t.Error("counts are written again although they have not changed")
	}
}

// TestCountsAfterTheReportAreLost has a row that was removed because its window's report is
// fixed: it must not be written again, and operators must see what was lost.
func TestCountsAfterTheReportAreLost(t *testing.T) {
	c := newCounter()
	c.Begin("a", at(0))
	_, counts, _ := c.Write(sameTime, "w1")
	c.Written(counts, 1)
	c.Begin("a", at(1))
	c.Begin("a", at(window))
	_, counts, _ = c.Write(sameTime, "w2")
	c.Conflict(counts[:1], []core.Row{{}})
	commit, _, _ := c.Write(sameTime, "w3")
	if c.Lost() != 1 || len(commit.Writes) != 1 || commit.Writes[0].Record.(core.UsageRecord).Window != 1001 {
		t.Errorf("%d lost, commit %+v; want 1 and the next window only", c.Lost(), commit)
	}
	c.Begin("a", at(2))
	c.Unwritten(sameTime)
	if c.Lost() != 2 {
		t.Errorf("%d lost, want 2", c.Lost())
	}
}

func TestCountedThroughWaitsForWrites(t *testing.T) {
	c := newCounter()
	if got := c.CountedThrough(at(recordDelay/2), sameTime); got != 998 {
		t.Errorf("counted through %d just after the end of 999, want 998", got)
	}
	c.Begin("a", at(0))
	_, counts, _ := c.Write(sameTime, "w1")
	if got := c.CountedThrough(at(3*window), sameTime); got != 999 {
		t.Errorf("counted through %d without a write of 1000, want 999", got)
	}
	c.Written(counts, 1)
	if got := c.CountedThrough(at(3*window+recordDelay), sameTime); got != 1002 {
		t.Errorf("counted through %d, want 1002", got)
	}
}

// TestMemoryIsBoundedInAnOutage counts for some hours without a write.
func TestMemoryIsBoundedInAnOutage(t *testing.T) {
	c := newCounter()
	for now := time.Duration(0); now < 3*time.Hour; now += window {
		c.Begin("a", at(now))
		c.Forget(at(now), sameTime)
	}
	if len(c.windows) > maxWindows+1 || c.Lost() == 0 {
		t.Errorf("%d windows kept, %d requests lost", len(c.windows), c.Lost())
	}
	c = newCounter()
	for i := range 3 * maxUnplaced {
		c.Begin("a", at(time.Duration(i)))
	}
	if len(c.unplaced) > maxUnplaced || c.Lost() != 2*maxUnplaced {
		t.Errorf("%d requests kept without true time, %d lost", len(c.unplaced), c.Lost())
	}
}

func countsRow(window core.UsageWindow, vm core.VMID, version core.RowVersion, count uint64) core.Row {
	record := core.UsageRecord{Window: window, Counts: map[core.AccountName]uint64{"a": count}}
	return core.Row{Key: CountsKey(window, vm, 1), Version: version, Record: record}
}

var guard = core.Condition{Key: core.RowKey{Table: core.TableFence, ID: "duty|platform"}, Version: 3}

func TestSettlementAddsUpTheRows(t *testing.T) {
	l := NewLedger(window, due)
	l.Load(core.Row{Key: SettledKey, Version: 9, Record: core.ReportedRecord{Next: 1000}}, nil, at(0), at(0))
	rows := []core.Row{countsRow(999, "late", 1, 5), countsRow(1000, "vm-1", 2, 3), countsRow(1000, "vm-2", 3, 4), countsRow(1001, "vm-1", 4, 1)}
	s := l.Settle(1000, rows, guard, "s1")
	if len(s.Reports) != 1 || !maps.Equal(s.Reports[0].Counts, map[core.AccountName]uint64{"a": 7}) || s.Late != 1 {
		t.Fatalf("settlement %+v", s)
	}
	conditions := map[core.RowKey]core.RowVersion{}
	for _, c := range s.Commit.Conditions {
		conditions[c.Key] = c.Version
	}
	if conditions[guard.Key] != 3 || conditions[SettledKey] != 9 || conditions[rows[1].Key] != 2 || len(conditions) != 4 {
		t.Errorf("conditions %v", conditions)
	}
	l.Settled(s, 10)
	if report, found := l.NextReport(at(0)); !found || report.Window != 1000 {
		t.Fatalf("next report %+v", report)
	}
	l.Accepted(1000)
	next := l.Settle(1001, rows[3:], guard, "s2")
	removed := map[core.RowKey]bool{}
	for _, w := range next.Commit.Writes {
		removed[w.Key] = w.Record == nil
	}
	if !removed[ReportKey(1000)] || removed[ReportKey(1001)] || !removed[rows[3].Key] || removed[SettledKey] {
		t.Errorf("writes %+v, want the accepted report and the counted row to be removed", next.Commit.Writes)
	}
}

// TestReadiness guards against reports without the counts of a process that can still
// write them in time, and against reports that wait for ever.
func TestReadiness(t *testing.T) {
	all := Progress{CountedThrough: 1000, IsKnown: true, WriteInterval: time.Second}
	behind := Progress{CountedThrough: 998, IsKnown: true, WriteInterval: time.Second}
	outage := behind
	outage.ReadableSince = at(window + due - 3*time.Second)
	for _, c := range []struct {
		name     string
		progress Progress
		after    time.Duration // after the end of window 1000
		want     core.UsageWindow
	}{
		{"not ended", all, -time.Second, 999},
		{"just ended", all, settleDelay / 2, 999},
		{"all counted", all, settleDelay, 1000},
		{"one process behind", behind, 5 * time.Second, 999},
		{"one process behind, report nearly due", behind, due - sendReserve, 1000},
		{"store was away", outage, due - sendReserve, 0},
		{"store is back", outage, due + time.Second, 1000},
		{"a much later look", behind, time.Minute, 1000 + 10},
	} {
		l := NewLedger(window, due)
		l.Load(core.Row{Key: SettledKey, Version: 9, Record: core.ReportedRecord{Next: 999}}, nil, at(0), at(0))
		got, found := l.ReadyThrough(at(window+c.after), c.progress)
		if found != (c.want != 0) || found && got != c.want {
			t.Errorf("%s: through %d, %v, want %d", c.name, got, found, c.want)
		}
	}
}

// TestReportsInTimeGoFirst guards against a backlog that makes each further report late.
func TestReportsInTimeGoFirst(t *testing.T) {
	l := NewLedger(window, due)
	var rows []core.Row
	for window := core.UsageWindow(980); window <= 1000; window++ {
		rows = append(rows, core.Row{Key: ReportKey(window), Version: 1, Record: core.ReportRecord{Report: core.UsageReport{Window: window}}})
	}
	l.Load(core.Row{Key: SettledKey, Version: 9, Record: core.ReportedRecord{Next: 1001}}, rows, at(0), at(0))
	now := at(window + time.Second)
	var order []core.UsageWindow
	for report, found := l.NextReport(now); found; report, found = l.NextReport(now) {
		order = append(order, report.Window)
		l.Accepted(report.Window)
	}
	if len(order) != 21 || order[0] != 999 || order[1] != 1000 || order[2] != 980 {
		t.Errorf("order %v, want the reports that are not due yet and then the oldest", order)
	}
}

// TestFirstAndSkippedWindows has a deployment that starts, and one that was down for hours.
func TestFirstAndSkippedWindows(t *testing.T) {
	l := NewLedger(window, due)
	l.Load(core.Row{}, nil, at(time.Second), at(2*time.Second))
	if l.next != 1000 {
		t.Errorf("reports begin with %d, want the window in which the process started", l.next)
	}
	s := l.Settle(1000, []core.Row{countsRow(999, "vm-1", 1, 2)}, guard, "s1")
	if len(s.Reports) != 2 || s.Reports[0].Window != 999 || s.Late != 0 {
		t.Errorf("settlement %+v, want the window that another process counted before", s)
	}
	settled := core.Row{Key: SettledKey, Version: 1, Record: core.ReportedRecord{Next: 10}}
	if skipped := l.Load(settled, nil, at(0), at(0)); skipped != 1000-maxBacklog-10 || l.next != 1000-maxBacklog {
		t.Errorf("%d windows skipped, next %d", skipped, l.next)
	}
}
