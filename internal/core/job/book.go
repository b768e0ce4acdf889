package job

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Delays before an item is tried again.
const (
	refusedDelay = 30 * time.Millisecond  // about the time in which one running item ends
	failedDelay  = 100 * time.Millisecond // a failing backend server is likely to fail again at once
	scoreDelay   = 150 * time.Millisecond // several requests of a plain service
)

// open is one job in progress.
type open struct {
	job    core.Job
	policy Policy
	opened time.Time
	order  uint64 // of opening, so that jobs of one priority run in turn
	items  []item
	turns  []int // items in the order in which they start
	next   int   // position of the next result
}

// Book holds the jobs of one service that this process coordinates.
type Book struct {
	jobs   map[core.JobID]*open
	kept   map[core.ItemID]keptText       // of jobs that have ended or were another's
	groups map[core.ModelName]*groupNames // of the last jobs opened here
	asked  map[core.ModelName]float64     // tokens of all jobs opened here
	runs   uint64
	order  uint64
	closed uint64 // jobs that have ended
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		jobs: make(map[core.JobID]*open), asked: make(map[core.ModelName]float64),
		kept: make(map[core.ItemID]keptText), groups: make(map[core.ModelName]*groupNames),
	}
}

// Open takes in a job with the results that are listed already, in order.
// A job that is open stays as it is.
func (b *Book) Open(job core.Job, listed []core.ItemID, policy Policy, now time.Time) {
	if b.jobs[job.ID] != nil {
		return
	}
	b.order++
	row := &open{job: job, policy: policy, opened: now, order: b.order, items: make([]item, len(job.Items)), next: len(listed)}
	for i := range job.Items {
		if slices.Contains(listed, job.Items[i].ID) {
			row.items[i].phase = stored
			continue
		}
		b.takeKept(row, i)
	}
	for i := range job.Items {
		b.asked[job.Model] += work(&job.Items[i])
	}
	row.turns = startOrder(row, b.groupsOf(job.Model).add(job.Items), b.crowded())
	b.jobs[job.ID] = row
}

// work returns an item's expected tokens of answer.
func work(item *core.JobItem) float64 {
	if item.Length > 0 {
		return float64(item.Length)
	}
	return float64(item.Tokens)
}

// Demand returns the tokens asked for each model by the jobs opened here.
func (b *Book) Demand() map[core.ModelName]float64 { return maps.Clone(b.asked) }

// Has reports whether a job is open here.
func (b *Book) Has(id core.JobID) bool { return b.jobs[id] != nil }

// IDs returns the open jobs in the order in which they were opened.
func (b *Book) IDs() []core.JobID {
	var ids []core.JobID
	for _, row := range b.inOrder() {
		ids = append(ids, row.job.ID)
	}
	return ids
}

// Close drops a job that its trainer has ended and returns its runs, which
// are to be cancelled.
func (b *Book) Close(id core.JobID) (cancel []Work) {
	row := b.jobs[id]
	if row == nil {
		return nil
	}
	for i := range row.items {
		if p := row.items[i].phase; p == running || p == scoring {
			cancel = append(cancel, Work{id, i, row.items[i].run})
		}
	}
	b.keep(row)
	delete(b.jobs, id)
	return cancel
}

// Clear drops every job and returns the runs, which are to be cancelled.
func (b *Book) Clear() (cancel []Work) {
	for _, id := range b.IDs() {
		cancel = append(cancel, b.Close(id)...)
	}
	clear(b.groups) // jobs of the time until the next ones are another's
	return cancel
}

// inOrder returns the jobs by priority, then in the order of opening.
func (b *Book) inOrder() []*open {
	rows := make([]*open, 0, len(b.jobs))
	for _, row := range b.jobs {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, c *open) int {
		return cmp.Or(cmp.Compare(a.policy.Priority, c.policy.Priority), cmp.Compare(a.order, c.order))
	})
	return rows
}

// Next returns up to limit runs that are to begin, in the order of jobs and
// then of turns. An item whose life is over is given up instead.
func (b *Book) Next(limit int, now time.Time) []Start {
	var starts []Start
	for _, row := range b.inOrder() {
		for _, i := range row.turns {
			if len(starts) == limit {
				return starts
			}
			if row.items[i].phase != waiting || now.Before(row.items[i].notBefore) {
				continue
			}
			if row.expired(now) {
				row.items[i].end(row.job.Items[i].ID, core.ItemFailed, "")
				continue
			}
			starts = append(starts, b.start(row, i, now))
		}
	}
	return starts
}

func (row *open) expired(now time.Time) bool {
	return row.policy.ItemLife > 0 && now.Sub(row.opened) >= row.policy.ItemLife
}

func (b *Book) start(row *open, index int, now time.Time) Start {
	b.runs++
	state := &row.items[index]
	state.phase, state.run, state.server = running, b.runs, ""
	if state.since.IsZero() {
		state.since = now
	}
	start := Start{
		Work: Work{row.job.ID, index, b.runs}, Item: &row.job.Items[index],
		Host: row.job.Host, Model: row.job.Model, Oldest: row.job.Oldest, After: len(state.text), Avoid: state.avoid, Waited: now.Sub(state.since),
	}
	if row.policy.SingleVersion && len(state.text) > 0 {
		start.Oldest, start.Exact = state.newest, true
	}
	return start
}

// Unplaced takes back a run that found no backend server. A text that only
// one version may go on with is started anew.
func (b *Book) Unplaced(work Work, now time.Time) {
	row, state := b.find(work)
	if state == nil || state.phase != running {
		return
	}
	if row.policy.SingleVersion {
		state.restart()
	}
	state.phase, state.avoid = waiting, ""
	state.notBefore = now.Add(refusedDelay)
}

// Placed notes on which engine a run is.
func (b *Book) Placed(work Work, engine core.ServerID) {
	if _, state := b.find(work); state != nil {
		state.server, state.since = engine, time.Time{}
	}
}

// maxMoves is how often an item is moved: engines that all turn slow in turn
// must not keep it from ending.
const maxMoves = 4

// Moves returns runs on slow engines that are to go on elsewhere; room takes a
// free slot at another engine that may run a job's items. An engine reads what
// a run has made so far within some ms, so that a run that has more than a few
// events left is done sooner elsewhere.
func (b *Book) Moves(slow []core.ServerID, room func(model core.ModelName, oldest core.WeightVersion) bool) []Work {
	var moves []Work
	for _, row := range b.inOrder() {
		for _, i := range row.turns {
			state := &row.items[i]
			if state.phase != running || state.moves >= maxMoves || !slices.Contains(slow, state.server) {
				continue
			}
			if !room(row.job.Model, row.job.Oldest) {
				break
			}
			state.moves++
			state.server = "" // it is chosen once for each run
			moves = append(moves, Work{row.job.ID, i, state.run})
		}
	}
	return moves
}

// find returns the item of a run that was not replaced, or nil.
func (b *Book) find(work Work) (*open, *item) {
	row := b.jobs[work.Job]
	if row == nil || row.items[work.Index].run != work.Run {
		return nil, nil
	}
	return row, &row.items[work.Index]
}

// Add takes a run's next event. It returns false when the run is to be ended:
// it is no longer wanted, or the event does not follow the last one.
func (b *Book) Add(work Work, event core.Event) bool {
	row, state := b.find(work)
	if state == nil || state.phase != running {
		return false
	}
	if event.Version != 0 && event.Version < row.job.Oldest {
		return false
	}
	if row.policy.SingleVersion && len(state.text) > 0 && event.Version != 0 && event.Version != state.newest {
		state.restart()
		return false
	}
	return state.add(event)
}

// Ended takes a run's end at a backend server.
func (b *Book) Ended(work Work, server core.ServerID, ending Ending, now time.Time) {
	row, state := b.find(work)
	if state == nil || state.phase != running {
		return
	}
	id := row.job.Items[work.Index].ID
	state.phase, state.avoid = waiting, ""
	switch ending {
	case Whole:
		state.phase = unscored
		if row.job.Items[work.Index].Scorer == nil {
			state.end(id, core.ItemCompleted, "")
		}
	case Cut:
		state.avoid = server
	case Refused:
		state.avoid, state.notBefore = server, now.Add(refusedDelay)
	case Failed:
		state.failures++
		state.notBefore = now.Add(failedDelay)
		if state.failures >= row.policy.Attempts {
			state.end(id, core.ItemFailed, "")
		}
	case Impossible:
		state.end(id, core.ItemFailed, "")
	}
}

// ScoreStart is a text that is to be scored.
type ScoreStart struct {
	Work Work
	Call *core.ScorerCall
}

// NextScores returns up to limit texts that are to be scored.
func (b *Book) NextScores(limit int, now time.Time) []ScoreStart {
	var starts []ScoreStart
	for _, row := range b.inOrder() {
		for i := range row.items {
			state := &row.items[i]
			if len(starts) == limit {
				return starts
			}
			if state.phase != unscored || now.Before(state.notBefore) {
				continue
			}
			if row.expired(now) {
				state.end(row.job.Items[i].ID, core.ItemFailed, "")
				continue
			}
			state.phase = scoring
			starts = append(starts, ScoreStart{Work{row.job.ID, i, state.run}, row.job.Items[i].Scorer})
		}
	}
	return starts
}

// Scored takes a score's signature, or "" when the scorer gave none; failed
// tells that it answered a failure, of which a route allows a number.
func (b *Book) Scored(work Work, signature string, failed bool, attempts int, now time.Time) {
	row, state := b.find(work)
	if state == nil || state.phase != scoring {
		return
	}
	id := row.job.Items[work.Index].ID
	if signature != "" {
		state.end(id, core.ItemCompleted, signature)
		return
	}
	state.phase, state.notBefore = unscored, now.Add(scoreDelay)
	if failed {
		state.misses++
	}
	if attempts > 0 && state.misses >= attempts {
		state.end(id, core.ItemFailed, "")
	}
}

// Results returns up to limit results that wait to be stored, each with its
// position. They must be stored as they are and in one transaction, before
// Results is called again.
func (b *Book) Results(limit int) []Listing {
	var listings []Listing
	for _, row := range b.inOrder() {
		position := row.next
		for i := range row.items {
			if row.items[i].phase != ended || len(listings) == limit {
				continue
			}
			listings = append(listings, Listing{row.job.ID, position, i, row.items[i].listed()})
			position++
		}
	}
	return listings
}

// Stored notes that results are listed.
func (b *Book) Stored(listings []Listing) {
	for _, listing := range listings {
		row := b.jobs[listing.Job]
		if row == nil {
			continue
		}
		state := &row.items[listing.Index]
		if state.result.State != core.ItemCompleted {
			state.text = nil
		}
		state.phase, state.result = stored, core.ItemResult{}
		row.next = listing.Position + 1
	}
}

// Summary counts a job's items for logs and dumps.
type Summary struct {
	Job      core.JobID `json:"job"`
	Waiting  int        `json:"waiting"`
	Running  int        `json:"running"`
	Unscored int        `json:"unscored"` // and being scored
	Unstored int        `json:"unstored"`
	Stored   int        `json:"stored"`
}

// Summaries counts the items of every open job.
func (b *Book) Summaries() []Summary {
	var all []Summary
	for _, row := range b.inOrder() {
		summary := Summary{Job: row.job.ID}
		for i := range row.items {
			switch row.items[i].phase {
			case waiting:
				summary.Waiting++
			case running:
				summary.Running++
			case unscored, scoring:
				summary.Unscored++
			case ended:
				summary.Unstored++
			default:
				summary.Stored++
			}
		}
		all = append(all, summary)
	}
	return all
}
