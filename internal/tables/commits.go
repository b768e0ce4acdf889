package tables

import (
	"fescuespar/internal/core"
	"fescuespar/internal/core/claim"
	"fescuespar/internal/lockrank"
)

// CommitOutcome is the result of one member of a batch. Err has the kind
// OutcomeUnknown or StoreUnavailable; if it is nil, Applied tells whether the
// member's condition was met and the member took effect.
type CommitOutcome struct {
	Applied bool
	Version core.RowVersion
	Err     error
}

// Commits collects independent small commits, so that one commit to the table
// service carries many of them (group commit).
type Commits struct {
	// mu guards all fields below.
	mu        lockrank.Mutex
	waiting   []core.Commit
	callbacks map[core.AttemptID]func(CommitOutcome)
	inFlight  bool
}

// NewCommits returns an empty table.
func NewCommits() *Commits {
	return &Commits{
		mu:        lockrank.New(lockrank.RankClaims),
		callbacks: make(map[core.AttemptID]func(CommitOutcome)),
	}
}

// Enqueue adds a commit to a later batch. ended is called once with its
// outcome, outside the lock.
func (t *Commits) Enqueue(commit core.Commit, ended func(CommitOutcome)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = append(t.waiting, commit)
	t.callbacks[commit.Attempt] = ended
}

// BeginBatch returns the next batch. It returns false when no commit is waiting or a
// batch is in flight; commits that arrive meanwhile go into the next batch.
func (t *Commits) BeginBatch(id core.AttemptID) (claim.Batch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight || len(t.waiting) == 0 {
		return claim.Batch{}, false
	}
	t.inFlight = true
	batch, rest := claim.NewBatch(id, t.waiting)
	t.waiting = rest
	return batch, true
}

// EndBatch applies a batch's result and calls the callbacks of its members. Members
// of a refused batch whose own condition was met go into the next batch.
func (t *Commits) EndBatch(batch claim.Batch, result core.CommitResult, err error) {
	for _, call := range t.applyResult(batch, result, err) {
		call()
	}
}

// applyResult applies a batch's result and returns the callbacks of the members
// that are done.
func (t *Commits) applyResult(batch claim.Batch, result core.CommitResult, err error) []func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight = false
	if err != nil {
		return t.finish(batch.Members, CommitOutcome{Err: err})
	}
	split := batch.ApplyReply(result)
	t.waiting = append(split.Retry, t.waiting...)
	calls := t.finish(split.Applied, CommitOutcome{Applied: true, Version: result.Version})
	return append(calls, t.finish(split.Refused, CommitOutcome{})...)
}

// finish removes members and returns their callbacks, bound to the outcome. The
// caller holds mu.
func (t *Commits) finish(members []core.Commit, outcome CommitOutcome) []func() {
	var calls []func()
	for _, member := range members {
		ended := t.callbacks[member.Attempt]
		delete(t.callbacks, member.Attempt)
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
