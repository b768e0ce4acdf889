package tables

import (
	"maps"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/account"
	"fescuespar/internal/lockrank"
)

// maxRefusedAccounts bounds the accounts whose refusals are counted one by one: twelve
// times those of a large deployment.
const maxRefusedAccounts = 1024

// Accounts holds the reads of the newest configuration that requests wait for, because
// the configuration in force refuses them, and the numbers of refusals.
type Accounts struct {
	// mu guards all fields below.
	mu        lockrank.Mutex
	reads     account.Reads
	scheduled bool          // a read for requests is due
	readEnded chan struct{} // closed when the next read ends
	refused   map[account.Refusal]uint64
	removed   map[core.AccountName]uint64 // refused with a removed key, by the account that had it
}

// NewAccounts returns a table without reads.
func NewAccounts() *Accounts {
	return &Accounts{
		mu: lockrank.New(lockrank.RankAccounts), readEnded: make(chan struct{}),
		refused: make(map[account.Refusal]uint64), removed: make(map[core.AccountName]uint64),
	}
}

// BeginRegularRead reports whether a read at the regular interval, counted from the
// newest read, is to be made now, and records its start.
func (t *Accounts) BeginRegularRead(now time.Time, interval time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reads.Delay(now, interval) > 0 {
		return false
	}
	t.begin(now)
	return true
}

// RegularReadDelay returns how long the next read at the regular interval waits.
func (t *Accounts) RegularReadDelay(now time.Time, interval time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads.Delay(now, interval)
}

// ScheduleRead records that requests need a read. due is false if one is scheduled
// already; otherwise the caller calls BeginScheduledRead after the delay.
func (t *Accounts) ScheduleRead(now time.Time, interval time.Duration) (delay time.Duration, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.scheduled {
		return 0, false
	}
	t.scheduled = true
	return t.reads.Delay(now, interval), true
}

// BeginScheduledRead reports whether the read for requests is to be made now, and records
// its start. If another read began meanwhile, it returns after which delay to call again;
// zero if no request needs a read any more.
func (t *Accounts) BeginScheduledRead(now time.Time, interval time.Duration) (delay time.Duration, begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.scheduled {
		return 0, false
	}
	if delay := t.reads.Delay(now, interval); delay > 0 {
		return delay, false
	}
	t.begin(now)
	return 0, true
}

func (t *Accounts) begin(now time.Time) {
	t.reads.Begin(now)
	t.scheduled = false
}

// EndRead records the end of the read that began at a time, after what it read is in
// force, and wakes the requests that wait.
func (t *Accounts) EndRead(began time.Time, succeeded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads.End(began, succeeded)
	close(t.readEnded)
	t.readEnded = make(chan struct{})
}

// ReadsSince returns what is known about the reads since a time, and a channel that is
// closed when the next read ends.
func (t *Accounts) ReadsSince(arrived time.Time) (account.Progress, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads.Since(arrived), t.readEnded
}

// ConfirmedAt returns the start of the newest successful read of the configuration, zero
// if there was none.
func (t *Accounts) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads.Succeeded()
}

// CountRefusal counts a refused request.
func (t *Accounts) CountRefusal(decision account.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused[decision.Refusal]++
	name := decision.Removal.Account
	if _, counted := t.removed[name]; name != "" && (counted || len(t.removed) < maxRefusedAccounts) {
		t.removed[name]++
	}
}

// AccountsState is the state of a deployment's client accounts in this process, encoded as
// JSON for operators.
type AccountsState struct {
	Accounts    int                         `json:"accounts"`
	Keys        int                         `json:"keys"`
	ConfirmedAt time.Time                   `json:"confirmed_at"` // start of the newest successful read of the configuration
	Refused     map[account.Refusal]uint64  `json:"refused"`      // requests since the start, by reason
	Removed     map[core.AccountName]uint64 `json:"removed_keys"` // of them, those with a removed key, by the account that had it
}

// State returns the state under a route table, nil if the deployment has no accounts.
func (t *Accounts) State(table *core.RouteTable) *AccountsState {
	if table == nil || table.Accounts == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return &AccountsState{
		Accounts: len(table.AccountNames), Keys: len(table.Accounts), ConfirmedAt: t.reads.Succeeded(),
		Refused: maps.Clone(t.refused), Removed: maps.Clone(t.removed),
	}
}
