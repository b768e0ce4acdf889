package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// AnswerKey identifies an answer. It includes the caller, so that a caller
// cannot read another caller's answer.
type AnswerKey struct {
	Caller core.CallerName
	ID     core.RequestID
}

// answer is one answer, in progress or ended.
type answer struct {
	base      int // offset of tokens[0]
	tokens    []string
	versions  []core.WeightVersion // one for each token
	oldest    core.WeightVersion   // lowest of versions, zero while there is no token
	source    core.AnswerSource
	migrating bool // the source's stream is being ended to continue the answer on another server
	finish    core.FinishReason
	err       error
	ended     time.Time     // zero while in progress
	changed   chan struct{} // closed and replaced on every change
}

// Answers holds the answers in progress and the ended ones until Expire drops
// them.
type Answers struct {
	// mu guards all fields below.
	mu    lockrank.Mutex
	rows  map[AnswerKey]*answer
	limit int
}

// NewAnswers returns a table that holds at most limit answers.
func NewAnswers(limit int) *Answers {
	return &Answers{
		mu:   lockrank.New(lockrank.RankAnswers),
		rows: make(map[AnswerKey]*answer), limit: limit,
	}
}

// Begin adds an answer whose first token has the offset base. It returns false
// if the answer already exists. Errors: Overloaded when the table is full.
func (t *Answers) Begin(key AnswerKey, base int) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.rows[key]; ok {
		return false, nil
	}
	if len(t.rows) >= t.limit {
		return false, errkind.New(errkind.Overloaded, "answer table is full: %d answers, limit %d", len(t.rows), t.limit)
	}
	t.rows[key] = &answer{base: base, changed: make(chan struct{})}
	return true, nil
}

// StartAttempt makes source the only one that may append to the answer. It
// returns a copy of the tokens received so far and the offset of the first one.
// Errors: Canceled when the answer is not in progress.
func (t *Answers) StartAttempt(key AnswerKey, source core.AnswerSource) (prefix []string, base int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, err := t.inProgress(key)
	if err != nil {
		return nil, 0, err
	}
	row.source = source
	row.migrating = false
	return append([]string(nil), row.tokens...), row.base, nil
}

// Append adds a chunk. Tokens that the answer already has are skipped. Errors:
// Canceled when source is not the current one or the answer has ended,
// AnswerIncomplete when the chunk would leave a gap.
func (t *Answers) Append(key AnswerKey, source core.AnswerSource, chunk core.Chunk) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, err := t.fromSource(key, source)
	if err != nil {
		return err
	}
	end := row.base + len(row.tokens)
	if chunk.Offset > end {
		return errkind.New(errkind.AnswerIncomplete, "chunk starts at token %d, but the answer ends at token %d", chunk.Offset, end)
	}
	skip := end - chunk.Offset
	if skip >= len(chunk.Tokens) {
		return nil
	}
	if len(row.versions) == 0 || chunk.Version < row.oldest {
		row.oldest = chunk.Version
	}
	for _, token := range chunk.Tokens[skip:] {
		row.tokens = append(row.tokens, token)
		row.versions = append(row.versions, chunk.Version)
	}
	row.notify()
	return nil
}

// Finish marks an answer as complete. Errors: Canceled as for Append,
// AnswerIncomplete when the token count of the end mark differs from the number
// of tokens that arrived.
func (t *Answers) Finish(key AnswerKey, source core.AnswerSource, end core.StreamEnd, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, err := t.fromSource(key, source)
	if err != nil {
		return err
	}
	if received := row.base + len(row.tokens); received != end.Tokens {
		return errkind.New(errkind.AnswerIncomplete, "end mark counts %d tokens, but %d arrived", end.Tokens, received)
	}
	row.finish = end.Finish
	row.ended = now
	row.notify()
	return nil
}

// Fail ends an answer in progress with an error. It does nothing if the answer
// has ended.
func (t *Answers) Fail(key AnswerKey, cause error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, err := t.inProgress(key)
	if err != nil {
		return
	}
	row.err = cause
	row.ended = now
	row.notify()
}

// AnswerView is the part of an answer that Read returns.
type AnswerView struct {
	Chunks  []core.Chunk // one for each run of tokens with the same weight version
	Source  core.AnswerSource
	Finish  core.FinishReason // set when the answer is complete and Chunks reaches its end
	Err     error             // why the answer ended incomplete
	Changed <-chan struct{}   // closed on the next change
}

// Read returns the answer's tokens from the offset on. Errors: UnknownRequest,
// AnswerIncomplete when the offset is before the first token of the table.
func (t *Answers) Read(key AnswerKey, offset int) (AnswerView, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return AnswerView{}, errkind.New(errkind.UnknownRequest, "no answer is stored for request %s", key.ID)
	}
	if offset < row.base {
		return AnswerView{}, errkind.New(errkind.AnswerIncomplete,
			"request %s: token %d was asked for, but the answer starts at token %d here", key.ID, offset, row.base)
	}
	view := AnswerView{Source: row.source, Finish: row.finish, Err: row.err, Changed: row.changed}
	if skip := offset - row.base; skip < len(row.tokens) {
		view.Chunks = chunksOf(row.tokens[skip:], row.versions[skip:], offset)
	}
	return view, nil
}

// AnswerProgress describes an answer in progress. It is zero for any other
// answer.
type AnswerProgress struct {
	Tokens    int                // generated so far, including those before the base offset
	Oldest    core.WeightVersion // lowest version of its tokens, zero while there is none
	Source    core.AnswerSource
	Migrating bool // the answer is moving to another server; cleared by the next attempt
}

// InProgress reports whether an answer has begun and not ended.
func (t *Answers) InProgress(key AnswerKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.inProgress(key)
	return err == nil
}

// MarkMigrating marks an answer in progress as moving to another server once its
// source's stream has ended. The next StartAttempt clears the mark.
func (t *Answers) MarkMigrating(key AnswerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, err := t.inProgress(key); err == nil {
		row.migrating = true
	}
}

// Progress returns the progress of the answers, in the order of keys.
func (t *Answers) Progress(keys []AnswerKey) []AnswerProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	progress := make([]AnswerProgress, len(keys))
	for i, key := range keys {
		if row, err := t.inProgress(key); err == nil {
			progress[i] = AnswerProgress{Tokens: row.base + len(row.tokens), Oldest: row.oldest, Source: row.source, Migrating: row.migrating}
		}
	}
	return progress
}

// Remove removes an answer, in progress or not.
func (t *Answers) Remove(key AnswerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, key)
}

// Expire removes the answers that ended before the given time.
func (t *Answers) Expire(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, row := range t.rows {
		if !row.ended.IsZero() && row.ended.Before(before) {
			delete(t.rows, key)
		}
	}
}

// AnswersState is the table's part of the state dump.
type AnswersState struct {
	InProgress int `json:"in_progress"`
	Ended      int `json:"kept"`
	Tokens     int `json:"tokens"`
}

// State counts the table's rows.
func (t *Answers) State() AnswersState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var state AnswersState
	for _, row := range t.rows {
		if row.ended.IsZero() {
			state.InProgress++
		} else {
			state.Ended++
		}
		state.Tokens += len(row.tokens)
	}
	return state
}

// inProgress returns an answer in progress. The caller holds mu.
func (t *Answers) inProgress(key AnswerKey) (*answer, error) {
	row, ok := t.rows[key]
	if !ok || !row.ended.IsZero() {
		return nil, errkind.New(errkind.Canceled, "request %s is no longer in progress", key.ID)
	}
	return row, nil
}

// fromSource returns an answer in progress whose current source is the given
// one. The caller holds mu.
func (t *Answers) fromSource(key AnswerKey, source core.AnswerSource) (*answer, error) {
	row, err := t.inProgress(key)
	if err != nil {
		return nil, err
	}
	if row.source != source {
		return nil, errkind.New(errkind.Canceled, "attempt %s of request %s was replaced", source.Attempt, key.ID)
	}
	return row, nil
}

// notify wakes the readers that wait for a change. The caller holds the
// table's lock.
func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// chunksOf copies tokens into one chunk for each run of equal versions. The
// first token has the given offset.
func chunksOf(tokens []string, versions []core.WeightVersion, offset int) []core.Chunk {
	var chunks []core.Chunk
	for from := 0; from < len(tokens); {
		to := from + 1
		for to < len(tokens) && versions[to] == versions[from] {
			to++
		}
		chunks = append(chunks, core.Chunk{
			Offset:  offset + from,
			Tokens:  append([]string(nil), tokens[from:to]...),
			Version: versions[from],
		})
		from = to
	}
	return chunks
}
