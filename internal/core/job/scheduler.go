package job

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Delays before an item is retried.
const (
	refusedRetryDelay = 30 * time.Millisecond  // about the time in which one running item ends
	failedRetryDelay  = 100 * time.Millisecond // a backend server that failed is likely to fail again immediately
	scoreRetryDelay   = 150 * time.Millisecond // several request durations of a plain service

	// maxIdleRetryDelay bounds the delay of an item whose runs bring no event. It is shorter
	// than the time in which a server that crashed returns.
	maxIdleRetryDelay = time.Second
)

// openJob is the state of one job in progress.
type openJob struct {
	job          core.Job
	policy       Policy
	openedAt     time.Time
	sequence     uint64 // number of the opening; jobs of one priority run in this order
	items        []item
	startOrder   []int          // item indices in the order in which the items start
	longTokens   float64        // expected length above which an item counts as long
	unlisted     map[string]int // items without a stored result, by group
	nextPosition int
}

// Scheduler schedules the jobs of one service that this process coordinates.
type Scheduler struct {
	jobs       map[core.JobID]*openJob
	savedTexts map[textKey]savedText // of ended jobs and of a former coordinator's jobs
	models     map[core.ModelName]*modelHistory
	lastRun    uint64
	lastOpened uint64
	closedJobs uint64
	turns      accountTurns
}

// NewScheduler returns a Scheduler without jobs.
func NewScheduler() *Scheduler {
	return &Scheduler{
		jobs: make(map[core.JobID]*openJob), models: make(map[core.ModelName]*modelHistory),
		savedTexts: make(map[textKey]savedText),
	}
}

// Open adds a job. Listed are the items whose results are already stored, in
// order of position. It has no effect on a job that is already open.
func (s *Scheduler) Open(job core.Job, listed []core.ItemID, policy Policy, now time.Time) {
	if s.jobs[job.ID] != nil {
		return
	}
	s.lastOpened++
	row := &openJob{job: job, policy: policy, openedAt: now, sequence: s.lastOpened, items: make([]item, len(job.Items)), unlisted: make(map[string]int), longTokens: longItemTokens(&job), nextPosition: len(listed)}
	isListed := make(map[core.ItemID]bool, len(listed))
	for _, id := range listed {
		isListed[id] = true
	}
	for i := range job.Items {
		if isListed[job.Items[i].ID] {
			row.items[i].phase = stored
			continue
		}
		row.unlisted[job.Items[i].Group]++
		s.restoreSavedText(row, i)
	}
	history := s.historyOf(job.Model)
	history.recordDemand(&job)
	row.startOrder = itemStartOrder(row, history.groups.recordJob(job.Items), s.hasUnstartedItems())
	s.jobs[job.ID] = row
}

// expectedTokens returns an item's expected number of generated tokens.
func expectedTokens(item *core.JobItem) float64 {
	if item.Length > 0 {
		return float64(item.Length)
	}
	return float64(item.Tokens)
}

// IsOpen reports whether a job is open.
func (s *Scheduler) IsOpen(id core.JobID) bool { return s.jobs[id] != nil }

// IDs returns the open jobs by priority, then in the order in which they were
// opened.
func (s *Scheduler) IDs() []core.JobID {
	var ids []core.JobID
	for _, row := range s.jobsInOrder() {
		ids = append(ids, row.job.ID)
	}
	return ids
}

// Close removes a job that its trainer has ended. It returns the job's active
// runs and scorer calls, which the caller must cancel.
func (s *Scheduler) Close(id core.JobID) (cancel []RunID) {
	row := s.jobs[id]
	if row == nil {
		return nil
	}
	for i := range row.items {
		if p := row.items[i].phase; p == running || p == scoring {
			cancel = append(cancel, RunID{id, i, row.items[i].run})
		}
	}
	s.saveIncompleteTexts(row)
	delete(s.jobs, id)
	return cancel
}

// Clear removes every job. It returns the active runs and scorer calls, which the
// caller must cancel.
func (s *Scheduler) Clear() (cancel []RunID) {
	for _, id := range s.IDs() {
		cancel = append(cancel, s.Close(id)...)
	}
	for _, history := range s.models {
		history.groups = recentGroups{} // another coordinator opens the jobs until this process coordinates again
	}
	return cancel
}

// jobsInOrder returns the jobs by priority, then in the order in which they
// were opened.
func (s *Scheduler) jobsInOrder() []*openJob {
	rows := make([]*openJob, 0, len(s.jobs))
	for _, row := range s.jobs {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, c *openJob) int {
		return cmp.Or(cmp.Compare(a.policy.Priority, c.policy.Priority), cmp.Compare(a.sequence, c.sequence))
	})
	return rows
}

// NextRuns returns up to limit runs to start: by turns of the accounts, then by job and in
// the start order of each job's items. Items whose lifetime has expired fail instead.
func (s *Scheduler) NextRuns(limit int, now time.Time) []RunStart {
	var starts []RunStart
	queues := s.turns.queues(s.jobsInOrder())
	for len(starts) < limit && len(queues) > 0 {
		queue := nextQueue(queues)
		row, i, found := queue.next(now)
		if !found {
			queues = slices.DeleteFunc(queues, func(other *accountQueue) bool { return other == queue })
			continue
		}
		starts = append(starts, s.startRun(row, i, now))
	}
	return starts
}

func (row *openJob) isExpired(now time.Time) bool {
	return row.policy.ItemLifetime > 0 && now.Sub(row.openedAt) >= row.policy.ItemLifetime
}

func (s *Scheduler) startRun(row *openJob, index int, now time.Time) RunStart {
	s.lastRun++
	state := &row.items[index]
	state.phase, state.run, state.server, state.eventsBefore = running, s.lastRun, "", len(state.text)
	if state.waitingSince.IsZero() {
		state.waitingSince = now
	}
	start := RunStart{
		Work: RunID{row.job.ID, index, s.lastRun}, Item: &row.job.Items[index],
		Account: row.job.Account, Host: row.job.Host, Model: row.job.Model, OldestVersion: row.job.Oldest, oldestAnew: row.job.Oldest, EventsReceived: len(state.text), Software: state.software, AvoidServer: state.avoidServer, Waited: now.Sub(state.waitingSince),
		IsLong: row.isLong(index),
	}
	if row.policy.SingleVersion && len(state.text) > 0 {
		start.OldestVersion, start.ExactVersion = state.newest, true
	}
	return start
}

// RunNotPlaced returns an item to the queue whose run found no backend server. With
// SingleVersion the text generated so far is discarded, since no engine may
// have its version any more.
func (s *Scheduler) RunNotPlaced(run RunID, now time.Time) {
	row, state := s.findRun(run)
	if state == nil || state.phase != running {
		return
	}
	if row.policy.SingleVersion {
		state.discardText()
	}
	state.phase, state.avoidServer = waiting, ""
	state.notBefore = now.Add(refusedRetryDelay)
}

// RunPlaced records the engine on which a run was placed, and its software.
func (s *Scheduler) RunPlaced(run RunID, engine core.ServerID, software core.SoftwareVersion) {
	if row, state := s.findRun(run); state != nil {
		state.server, state.runSoftware, state.waitingSince = engine, software, time.Time{}
		s.turns.placed(row, run.Index)
	}
}

// maxMoves limits how often an item is moved. Without a limit, engines that
// become slow one after another could keep an item from ever ending.
const maxMoves = 4

// SelectMoves returns runs that a rule moves to another engine. The reserveSlot callback
// takes a free slot on another engine that may continue the text, and reports whether there
// was one. An engine prefills the text generated so far within a few ms, so a run with more
// than a few events left ends sooner on a faster engine.
func (s *Scheduler) SelectMoves(rule MoveRule, reserveSlot func(Move) bool) []RunID {
	var moves []RunID
	for _, row := range s.jobsInOrder() {
		for _, i := range row.startOrder {
			state := &row.items[i]
			if state.phase != running || state.moves >= rule.MaxMoves || len(state.text) < rule.MinEvents || !slices.Contains(rule.Engines, state.server) {
				continue
			}
			if !reserveSlot(Move{row.job.Model, row.job.Oldest, state.software}) {
				continue
			}
			state.moves++
			state.server = "" // a run is selected only once
			moves = append(moves, RunID{row.job.ID, i, state.run})
		}
	}
	return moves
}

// findRun returns the item of a run, or nil if the run was replaced or its job
// is not open.
func (s *Scheduler) findRun(run RunID) (*openJob, *item) {
	row := s.jobs[run.Job]
	if row == nil || row.items[run.Index].run != run.Run {
		return nil, nil
	}
	return row, &row.items[run.Index]
}

// IsCurrent reports whether a run, or the scorer call for its text, is still wanted: its
// job is open and the item was not started again.
func (s *Scheduler) IsCurrent(run RunID) bool {
	_, state := s.findRun(run)
	return state != nil && (state.phase == running || state.phase == scoring)
}

// AddEvent appends a run's next event. It returns false if the run must be
// cancelled: because it is no longer current, the event does not follow the
// last one, or its weights are not allowed.
func (s *Scheduler) AddEvent(run RunID, event core.Event) bool {
	row, state := s.findRun(run)
	if state == nil || state.phase != running {
		return false
	}
	if event.Version != 0 && event.Version < row.job.Oldest {
		return false
	}
	if row.policy.SingleVersion && len(state.text) > 0 && event.Version != 0 && event.Version != state.newest {
		state.discardText()
		return false
	}
	return state.appendEvent(event)
}

// RunEnded handles the end of a run on a backend server.
func (s *Scheduler) RunEnded(run RunID, server core.ServerID, outcome RunOutcome, now time.Time) {
	row, state := s.findRun(run)
	if state == nil || state.phase != running {
		return
	}
	id := row.job.Items[run.Index].ID
	state.phase, state.avoidServer = waiting, ""
	switch outcome {
	case Completed:
		state.phase = awaitingScore
		if row.job.Items[run.Index].Scorer == nil {
			state.finish(id, core.ItemCompleted, "")
		}
	case Interrupted:
		state.avoidServer, state.notBefore = server, now.Add(state.retryDelay())
	case Refused:
		state.avoidServer, state.notBefore = server, now.Add(refusedRetryDelay)
	case Failed:
		state.serverFailures++
		state.notBefore = now.Add(failedRetryDelay)
		if state.serverFailures >= row.policy.Attempts {
			state.finish(id, core.ItemFailed, "")
		}
	case Impossible:
		state.finish(id, core.ItemFailed, "")
	}
}

// ScoreStart is a scorer call to start.
type ScoreStart struct {
	Work RunID
	Call *core.ScorerCall
}

// NextScores returns up to limit scorer calls to start, without those for whose service
// mayStart has no room. Items whose lifetime has expired fail instead.
func (s *Scheduler) NextScores(limit int, now time.Time, mayStart func(*core.ScorerCall) bool) []ScoreStart {
	var starts []ScoreStart
	for _, row := range s.jobsInOrder() {
		for i := range row.items {
			state := &row.items[i]
			if len(starts) == limit {
				return starts
			}
			if state.phase != awaitingScore || now.Before(state.notBefore) {
				continue
			}
			if row.isExpired(now) {
				state.finish(row.job.Items[i].ID, core.ItemFailed, "")
				continue
			}
			if !mayStart(row.job.Items[i].Scorer) {
				continue
			}
			state.phase = scoring
			starts = append(starts, ScoreStart{RunID{row.job.ID, i, state.run}, row.job.Items[i].Scorer})
		}
	}
	return starts
}

// ScoringEnded handles the end of a scorer call. The signature is empty if the call
// gave no score; errors is the number of error responses that scorers sent to the
// call's attempts. The item fails after the given number of such responses; zero
// means no limit.
//
// The load is a step with a few items whose scorers always fail: the groups of these
// items complete only when the items have failed, and the trainer waits for them if
// there are more such groups than it can leave out.
func (s *Scheduler) ScoringEnded(run RunID, signature string, errors, attempts int, now time.Time) {
	row, state := s.findRun(run)
	if state == nil || state.phase != scoring {
		return
	}
	id := row.job.Items[run.Index].ID
	if signature != "" {
		state.finish(id, core.ItemCompleted, signature)
		return
	}
	state.phase, state.notBefore = awaitingScore, now.Add(scoreRetryDelay)
	state.scorerErrors += errors
	if attempts > 0 && state.scorerErrors >= attempts {
		state.finish(id, core.ItemFailed, "")
	}
}

// UnstoredResults returns up to limit results to store, each with its position. The
// caller must store them unchanged and in one transaction before it calls
// UnstoredResults again.
func (s *Scheduler) UnstoredResults(limit int) []PositionedResult {
	var results []PositionedResult
	for _, row := range s.jobsInOrder() {
		position := row.nextPosition
		for i := range row.items {
			if row.items[i].phase != awaitingStore || len(results) == limit {
				continue
			}
			results = append(results, PositionedResult{row.job.ID, position, i, row.items[i].resultWithText()})
			position++
		}
	}
	return results
}

// MarkStored records that results were stored. It drops the texts of failed items and of
// groups that are complete now: no later job submits them again.
func (s *Scheduler) MarkStored(results []PositionedResult) {
	for _, result := range results {
		row := s.jobs[result.Job]
		if row == nil {
			continue
		}
		state := &row.items[result.Index]
		if state.result.State != core.ItemCompleted {
			state.text = nil
		}
		state.phase, state.result = stored, core.ItemResult{}
		row.nextPosition = result.Position + 1
		row.dropTextsOfCompleteGroup(row.job.Items[result.Index].Group)
	}
}

// dropTextsOfCompleteGroup counts a result of a group that was stored, and drops the
// group's texts if it was the last one.
func (row *openJob) dropTextsOfCompleteGroup(group string) {
	row.unlisted[group]--
	if group == "" || row.unlisted[group] > 0 {
		return
	}
	for i := range row.items {
		if row.job.Items[i].Group == group {
			row.items[i].text = nil
		}
	}
}
