package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/usage"
	"fescuespar/internal/lockrank"
)

// UsageCounts holds the requests of accounts that this process has counted.
type UsageCounts struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	counter *usage.Counter
	writing bool // a write of counts is in flight
}

// NewUsageCounts returns a table of a counter.
func NewUsageCounts(counter *usage.Counter) *UsageCounts {
	return &UsageCounts{mu: lockrank.New(lockrank.RankUsageCounts), counter: counter}
}

// Send records that a request is sent to a server. End must follow.
func (t *UsageCounts) Send(account core.AccountName, at time.Time) usage.Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counter.Send(account, at)
}

// End records that an attempt has ended, whether its server began to run it, and the time
// from Send until it was sent.
func (t *UsageCounts) End(attempt usage.Attempt, hasBegun bool, sentAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.End(attempt, hasBegun, sentAfter)
}

// Begin records that a server began to run a request.
func (t *UsageCounts) Begin(account core.AccountName, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.Begin(account, at)
}

// BeginWrite returns the commit that writes the counts that have changed. It returns false
// if none have or a write is in flight; otherwise EndWrite must follow.
func (t *UsageCounts) BeginWrite(now time.Time, trueTime usage.TrueTime, id core.AttemptID) (core.Commit, []usage.Counts, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writing {
		return core.Commit{}, nil, false
	}
	t.counter.Forget(now, trueTime)
	commit, counts, found := t.counter.Write(trueTime, id)
	t.writing = found
	return commit, counts, found
}

// EndWrite records the outcome of a write.
func (t *UsageCounts) EndWrite(outcome func(*usage.Counter)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing = false
	outcome(t.counter)
}

// CountedThrough returns the last window of which all counts are written.
func (t *UsageCounts) CountedThrough(now time.Time, trueTime usage.TrueTime) core.UsageWindow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counter.CountedThrough(now, trueTime)
}

// Lost returns the number of requests that were counted and will not be reported.
func (t *UsageCounts) Lost() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counter.Lost()
}

// UsageReports holds the reports of usage as known by the holder of the duty.
type UsageReports struct {
	// mu guards all fields below.
	mu     lockrank.Mutex
	ledger *usage.Ledger
	fence  core.Fence // of the lease under which the ledger was loaded
	busy   bool       // rows are being read or written
}

// NewUsageReports returns a table of a ledger.
func NewUsageReports(ledger *usage.Ledger) *UsageReports {
	return &UsageReports{mu: lockrank.New(lockrank.RankUsageReports), ledger: ledger}
}

// UsageWork is the next work on the rows of reports.
type UsageWork int

// The kinds of work.
const (
	NoUsageWork UsageWork = iota
	LoadReports           // read the rows of an earlier holder
	SettleUsage           // fix the reports of windows
)

// Begin returns the next work on the rows under a lease, and the last window to settle. If
// there is any, the rows are busy until End.
func (t *UsageReports) Begin(fence core.Fence, now time.Time, progress usage.Progress) (UsageWork, core.UsageWindow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy {
		return NoUsageWork, 0
	}
	if t.fence != fence {
		t.fence = fence
		t.ledger.Unload()
	}
	if !t.ledger.IsLoaded() {
		t.busy = true
		return LoadReports, 0
	}
	through, ready := t.ledger.ReadyThrough(now, progress)
	if !ready {
		return NoUsageWork, 0
	}
	t.busy = true
	return SettleUsage, through
}

// End ends the work on the rows with its outcome.
func (t *UsageReports) End(outcome func(*usage.Ledger)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = false
	outcome(t.ledger)
}

// With runs a function on the ledger if it is loaded under the lease of a fencing number.
// It reports whether it is.
func (t *UsageReports) With(fence core.Fence, use func(*usage.Ledger)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fence != fence || !t.ledger.IsLoaded() {
		return false
	}
	use(t.ledger)
	return true
}
