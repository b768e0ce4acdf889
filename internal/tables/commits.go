package tables

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/claim"
	"fescuespar/internal/lockrank"
)

// CommitOutcome is what a member of a group commit learns. Err is OutcomeUnknown
// or StoreUnavailable; otherwise Applied tells whether the member's condition held.
type CommitOutcome struct {
	Applied bool
	Version core.RowVersion
	Err     error
}

// Commits collects independent small commits, so that one commit at the table
// service carries many of them.
type Commits struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	waiting []core.Commit
	ended   map[core.AttemptID]func(CommitOutcome)
	flying  bool
}

// NewCommits returns a table without waiting commits.
func NewCommits() *Commits {
	return &Commits{
		mu:    lockrank.New(lockrank.RankClaims),
		ended: make(map[core.AttemptID]func(CommitOutcome)),
	}
}

// Enqueue adds a commit; ended is called once, outside the lock.
func (t *Commits) Enqueue(commit core.Commit, ended func(CommitOutcome)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = append(t.waiting, commit)
	t.ended[commit.Attempt] = ended
}

// Begin returns the next batch, or false when none is waiting or one is already
// in flight. While a batch is in flight the next one fills.
func (t *Commits) Begin(id core.AttemptID) (claim.Batch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flying || len(t.waiting) == 0 {
		return claim.Batch{}, false
	}
	t.flying = true
	batch, rest := claim.NewBatch(id, t.waiting)
	t.waiting = rest
	return batch, true
}

// End takes a batch's result and calls what its members wait with. Members of
// a refused batch whose own condition held go into the next one.
func (t *Commits) End(batch claim.Batch, result core.CommitResult, err error) {
	for _, call := range t.end(batch, result, err) {
		call()
	}
}

func (t *Commits) end(batch claim.Batch, result core.CommitResult, err error) []func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flying = false
	if err != nil {
		return t.finish(batch.Members, CommitOutcome{Err: err})
	}
	split := batch.Settle(result)
	t.waiting = append(split.Again, t.waiting...)
	calls := t.finish(split.Applied, CommitOutcome{Applied: true, Version: result.Version})
	return append(calls, t.finish(split.Refused, CommitOutcome{})...)
}

// finish removes members and returns their calls. The lock is held.
func (t *Commits) finish(members []core.Commit, outcome CommitOutcome) []func() {
	var calls []func()
	for _, member := range members {
		ended := t.ended[member.Attempt]
		delete(t.ended, member.Attempt)
		calls = append(calls, func() { ended(outcome) })
	}
	return calls
}

// Waiting returns the number of commits that wait for a batch.
func (t *Commits) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting)
}
