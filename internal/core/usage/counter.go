package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

const (
	// recordDelay bounds the time from the begin of a request until it is recorded, in a
	// process that runs.
	recordDelay = 200 * time.Millisecond
	// keptAfterDue is the time after a report was due for which its counts are kept.
	keptAfterDue = 10 * time.Second
	// maxWindows bounds the windows kept while none can be written: an hour of windows of
	// 5 s.
	maxWindows = 720
	// maxUnplaced bounds the requests kept while true time is not known, 48 bytes each.
	maxUnplaced = 1 << 14
	// maxWritesAtOnce bounds the windows written in one commit.
	maxWritesAtOnce = 50
)

// HasBegun reports whether a backend server counts as having begun to run a request, from
// how an attempt ended and whether the whole request was sent. An answer of any status
// counts, and so does a request that was sent and got neither an answer nor a refusal:
// most such servers have died under it, or its caller has left.
func HasBegun(err error, wasSent bool) bool {
	return err == nil || wasSent && !errkind.Is(err, errkind.ServerRefused)
}

// Attempt identifies an attempt in flight.
type Attempt uint64

// begun is a request that a backend server began to run.
type begun struct {
	account    core.AccountName
	at         time.Time // of the process's clock
	wasCounted bool      // while it was in flight
}

// countsByName are the requests of each account. They are not changed once they are part
// of Counts.
type countsByName map[core.AccountName]uint64

// Counts are the requests that one process has counted in a window.
type Counts struct {
	Window core.UsageWindow
	ByName map[core.AccountName]uint64
}

// windowCounts are the counts of one window.
type windowCounts struct {
	placed  countsByName
	written countsByName    // in the row
	version core.RowVersion // of the row, zero if it was not written
}

// Counter counts the requests of one process. Their windows are not determined before the
// counts are written, because true time may become known only then. It is not safe for
// concurrent use.
//
// The server of an attempt begins at a time between the sending and the answer, and the
// answer may come much later than the report of the window. So an attempt counts from its
// sending on, until it is known that the server did not begin.
type Counter struct {
	window time.Duration
	due    time.Duration
	vm     core.VMID
	start  core.Incarnation

	attempts Attempt
	inFlight map[Attempt]begun
	unplaced []begun
	windows  map[core.UsageWindow]*windowCounts
	kept     core.UsageWindow // windows before this one are not kept
	lost     uint64
}

// NewCounter returns the counter of a process for windows of a length, whose reports are
// due at a time after their end.
func NewCounter(window, due time.Duration, vm core.VMID, start core.Incarnation) *Counter {
	return &Counter{
		window: window, due: due, vm: vm, start: start,
		inFlight: make(map[Attempt]begun), windows: make(map[core.UsageWindow]*windowCounts),
	}
}

// Send records that a request is sent to a server. End must follow.
func (c *Counter) Send(account core.AccountName, at time.Time) Attempt {
	c.attempts++
	c.inFlight[c.attempts] = begun{account, at, true}
	return c.attempts
}

// End records that an attempt has ended. hasBegun says whether its server began to run it,
// and sentAfter is the time from Send until the request was sent.
func (c *Counter) End(attempt Attempt, hasBegun bool, sentAfter time.Duration) {
	request, found := c.inFlight[attempt]
	delete(c.inFlight, attempt)
	if found && hasBegun {
		request.at = request.at.Add(sentAfter)
		c.add(request)
	}
}

// Begin records that a server began to run a request.
func (c *Counter) Begin(account core.AccountName, at time.Time) { c.add(begun{account, at, false}) }

func (c *Counter) add(request begun) {
	if len(c.unplaced) >= maxUnplaced {
		c.lost++
		return
	}
	c.unplaced = append(c.unplaced, request)
}

// TrueTime converts a time of the process's clock.
type TrueTime func(time.Time) time.Time

// Unwritten returns the counts of the windows, the oldest first, that have changed since
// they were written.
func (c *Counter) Unwritten(trueTime TrueTime) []Counts {
	c.place(trueTime)
	var changed []Counts
	for window, counts := range c.current(trueTime) {
		if !maps.Equal(counts, c.windows[window].written) {
			changed = append(changed, Counts{window, counts})
		}
	}
	slices.SortFunc(changed, func(a, b Counts) int { return cmp.Compare(a.Window, b.Window) })
	return changed
}

// place assigns the requests recorded so far to their windows.
func (c *Counter) place(trueTime TrueTime) {
	for _, request := range c.unplaced {
		window := WindowAt(trueTime(request.at), c.window)
		switch {
		case window >= c.kept:
			c.row(window).placed[request.account]++
		case !request.wasCounted:
			c.lost++
		}
	}
	c.unplaced = c.unplaced[:0]
}

func (c *Counter) row(window core.UsageWindow) *windowCounts {
	row := c.windows[window]
	if row == nil {
		row = &windowCounts{placed: make(countsByName)}
		c.windows[window] = row
	}
	return row
}

// current returns the counts of each window, with those of the attempts in flight.
func (c *Counter) current(trueTime TrueTime) map[core.UsageWindow]countsByName {
	for _, request := range c.inFlight {
		if window := WindowAt(trueTime(request.at), c.window); window >= c.kept {
			c.row(window)
		}
	}
	current := make(map[core.UsageWindow]countsByName, len(c.windows))
	for window, row := range c.windows {
		current[window] = maps.Clone(row.placed)
	}
	for _, request := range c.inFlight {
		if counts := current[WindowAt(trueTime(request.at), c.window)]; counts != nil {
			counts[request.account]++
		}
	}
	return current
}

// Write returns the commit that writes the counts that have changed, and false if none
// have. Written or Conflict must follow, or neither if the outcome is not known.
func (c *Counter) Write(trueTime TrueTime, id core.AttemptID) (core.Commit, []Counts, bool) {
	changed := c.Unwritten(trueTime)
	changed = changed[:min(len(changed), maxWritesAtOnce)]
	commit := core.Commit{Attempt: id}
	for _, counts := range changed {
		key := CountsKey(counts.Window, c.vm, c.start)
		commit.Conditions = append(commit.Conditions, core.Condition{Key: key, Version: c.windows[counts.Window].version})
		commit.Writes = append(commit.Writes, core.Write{Key: key, Record: core.UsageRecord{Window: counts.Window, Counts: counts.ByName}})
	}
	return commit, changed, len(changed) > 0
}

// Written records that counts were written in rows of a version.
func (c *Counter) Written(written []Counts, version core.RowVersion) {
	for _, counts := range written {
		if row := c.windows[counts.Window]; row != nil {
			row.written, row.version = counts.ByName, version
		}
	}
}

// Conflict records the rows that were found instead of those that a write expected. A row
// is absent if the report of its window is fixed; what is not part of it is lost. Otherwise
// an earlier write took effect whose outcome was not known.
func (c *Counter) Conflict(windows []Counts, rows []core.Row) {
	for i, row := range rows {
		known := c.windows[windows[i].Window]
		switch record, found := row.Record.(core.UsageRecord); {
		case known == nil:
		case found:
			known.written, known.version = record.Counts, row.Version
		case known.version != 0:
			c.dropBefore(windows[i].Window + 1)
		}
	}
}

// CountedThrough returns the last window of which all counts are written.
func (c *Counter) CountedThrough(now time.Time, trueTime TrueTime) core.UsageWindow {
	open := WindowAt(trueTime(now.Add(-recordDelay)), c.window)
	if unwritten := c.Unwritten(trueTime); len(unwritten) > 0 {
		open = min(open, unwritten[0].Window)
	}
	return open - 1
}

// Forget drops windows that are written and whose reports are past due, in their order,
// and the oldest of too many.
func (c *Counter) Forget(now time.Time, trueTime TrueTime) {
	current := WindowAt(trueTime(now), c.window)
	limit := WindowAt(trueTime(now).Add(-c.due-keptAfterDue), c.window)
	if unwritten := c.Unwritten(trueTime); len(unwritten) > 0 {
		limit = min(limit, unwritten[0].Window)
	}
	if limit+maxWindows < current {
		limit = current - maxWindows
	}
	c.dropBefore(limit)
}

// dropBefore drops the windows before a window.
func (c *Counter) dropBefore(limit core.UsageWindow) {
	for window, row := range c.windows {
		if window >= limit {
			continue
		}
		for account, count := range row.placed {
			c.lost += count - min(count, row.written[account])
		}
		delete(c.windows, window)
	}
	c.kept = max(c.kept, limit)
}

// Lost returns the number of requests that were counted and will not be reported.
func (c *Counter) Lost() uint64 { return c.lost }
