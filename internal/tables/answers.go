package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// AnswerKey names an answer. The caller is part of it, so that no caller can
// read the answer of another.
type AnswerKey struct {
	Caller core.CallerName
	ID     core.RequestID
}

// answer is one answer in progress or kept.
type answer struct {
	base     int // offset of the first token held
	tokens   []string
	versions []core.WeightVersion // one for each token
	oldest   core.WeightVersion   // of versions, zero while there is no token
	source   core.AnswerSource
	left     bool // the source's stream is being ended so that the answer goes on elsewhere
	finish   core.FinishReason
	err      error
	ended    time.Time     // zero while in progress
	changed  chan struct{} // closed and replaced at every change
}

// Answers holds the answers in progress and, for a while, the finished ones.
type Answers struct {
	// mu guards all fields below.
	mu    lockrank.Mutex
	rows  map[AnswerKey]*answer
	limit int
}

// NewAnswers returns a table for at most limit answers.
func NewAnswers(limit int) *Answers {
	return &Answers{
		mu:   lockrank.New(lockrank.RankAnswers),
		rows: make(map[AnswerKey]*answer), limit: limit,
	}
}

// Begin adds an answer whose first token has the offset base. It returns false
// when the answer is already there. Errors: Overloaded when the table is full.
func (t *Answers) Begin(key AnswerKey, base int) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.rows[key]; ok {
		return false, nil
	}
	if len(t.rows) >= t.limit {
		return false, errkind.New(errkind.Overloaded, "%d answers are in progress or kept", len(t.rows))
	}
	t.rows[key] = &answer{base: base, changed: make(chan struct{})}
	return true, nil
}

// StartAttempt makes a source the only one that may append. It returns the
// tokens that the answer holds and the offset of the first of them.
func (t *Answers) StartAttempt(key AnswerKey, source core.AnswerSource) (prefix []string, base int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, err := t.open(key)
	if err != nil {
		return nil, 0, err
	}
	row.source = source
	row.left = false
	return append([]string(nil), row.tokens...), row.base, nil
}

// Append adds a chunk. Tokens that the answer already holds are skipped.
// Errors: Canceled when the source is no longer the current one or the answer
// has ended, AnswerIncomplete when the chunk would leave a gap.
func (t *Answers) Append(key AnswerKey, source core.AnswerSource, chunk core.Chunk) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, err := t.current(key, source)
	if err != nil {
		return err
	}
	end := row.base + len(row.tokens)
	if chunk.Offset > end {
		return errkind.New(errkind.AnswerIncomplete, "chunk at token %d leaves a gap after %d", chunk.Offset, end)
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

// Finish marks an answer as whole.
func (t *Answers) Finish(key AnswerKey, source core.AnswerSource, end core.StreamEnd, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, err := t.current(key, source)
	if err != nil {
		return err
	}
	if held := row.base + len(row.tokens); held != end.Tokens {
		return errkind.New(errkind.AnswerIncomplete, "end mark after %d tokens, %d arrived", end.Tokens, held)
	}
	row.finish = end.Finish
	row.ended = now
	row.notify()
	return nil
}

// Fail ends an answer with an error.
func (t *Answers) Fail(key AnswerKey, cause error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, err := t.open(key)
	if err != nil {
		return
	}
	row.err = cause
	row.ended = now
	row.notify()
}

// AnswerView is a part of an answer as read.
type AnswerView struct {
	Chunks  []core.Chunk // one for each run of equal weight versions
	Source  core.AnswerSource
	Finish  core.FinishReason // set when the answer is whole and Chunks reaches its end
	Err     error             // why the answer ended without being whole
	Changed <-chan struct{}   // closed at the next change
}

// Read returns what the answer holds from the offset on. Errors:
// UnknownRequest, AnswerIncomplete when the offset is before the first token held.
func (t *Answers) Read(key AnswerKey, offset int) (AnswerView, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return AnswerView{}, errkind.New(errkind.UnknownRequest, "no answer is kept for request %s", key.ID)
	}
	if offset < row.base {
		return AnswerView{}, errkind.New(errkind.AnswerIncomplete,
			"only tokens from %d on are kept for request %s", row.base, key.ID)
	}
	view := AnswerView{Source: row.source, Finish: row.finish, Err: row.err, Changed: row.changed}
	if skip := offset - row.base; skip < len(row.tokens) {
		view.Chunks = chunksOf(row.tokens[skip:], row.versions[skip:], offset)
	}
	return view, nil
}

// AnswerProgress is how far an answer has come. It is zero for an answer that
// is not in progress.
type AnswerProgress struct {
	Tokens int
	Oldest core.WeightVersion // zero while there is no token
	Source core.AnswerSource
	Left   bool // Leave was called since the source's attempt started
}

// InProgress reports whether an answer has begun and not ended.
func (t *Answers) InProgress(key AnswerKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.open(key)
	return err == nil
}

// Leave notes that an answer in progress goes on elsewhere once its source's
// stream has ended.
func (t *Answers) Leave(key AnswerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if row, err := t.open(key); err == nil {
		row.left = true
	}
}

// Progress returns how far the answers have come, in their order.
func (t *Answers) Progress(keys []AnswerKey) []AnswerProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	progress := make([]AnswerProgress, len(keys))
	for i, key := range keys {
		if row, err := t.open(key); err == nil {
			progress[i] = AnswerProgress{Tokens: row.base + len(row.tokens), Oldest: row.oldest, Source: row.source, Left: row.left}
		}
	}
	return progress
}

// Forget drops an answer, in progress or not.
func (t *Answers) Forget(key AnswerKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, key)
}

// Expire drops the answers that ended before the given time.
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
	Kept       int `json:"kept"`
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
			state.Kept++
		}
		state.Tokens += len(row.tokens)
	}
	return state
}

// open returns an answer in progress. The lock is held.
func (t *Answers) open(key AnswerKey) (*answer, error) {
	row, ok := t.rows[key]
	if !ok || !row.ended.IsZero() {
		return nil, errkind.New(errkind.Canceled, "request %s is no longer in progress", key.ID)
	}
	return row, nil
}

// current returns an answer in progress whose source is the given one. The
// lock is held.
func (t *Answers) current(key AnswerKey, source core.AnswerSource) (*answer, error) {
	row, err := t.open(key)
	if err != nil {
		return nil, err
	}
	if row.source != source {
		return nil, errkind.New(errkind.Canceled, "attempt %s of request %s was replaced", source.Attempt, key.ID)
	}
	return row, nil
}

func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// chunksOf copies tokens into one chunk for each run of equal versions.
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
