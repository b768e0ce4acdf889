package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/lockrank"
)

// Jobs holds the jobs that this process coordinates, one job.Scheduler for each
// service.
type Jobs struct {
	// mu guards all fields below.
	mu         lockrank.Mutex
	schedulers map[string]*job.Scheduler
}

// NewJobs returns a table without jobs.
func NewJobs() *Jobs {
	return &Jobs{mu: lockrank.New(lockrank.RankRollouts), schedulers: make(map[string]*job.Scheduler)}
}

// WithScheduler runs action on a service's scheduler under the lock. The action
// must not block.
func (t *Jobs) WithScheduler(service string, action func(*job.Scheduler)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	scheduler := t.schedulers[service]
	if scheduler == nil {
		scheduler = job.NewScheduler()
		t.schedulers[service] = scheduler
	}
	action(scheduler)
}

// AddEvent records the next event of a run. It returns false when the run must be
// ended.
func (t *Jobs) AddEvent(service string, run job.RunID, event core.Event) (wanted bool) {
	t.WithScheduler(service, func(scheduler *job.Scheduler) { wanted = scheduler.AddEvent(run, event) })
	return wanted
}

// IsCurrent reports whether the work on an item is still wanted.
func (t *Jobs) IsCurrent(service string, work job.RunID) (current bool) {
	t.WithScheduler(service, func(scheduler *job.Scheduler) { current = scheduler.IsCurrent(work) })
	return current
}

// NextRuns returns at most limit runs to start.
func (t *Jobs) NextRuns(service string, limit int, now time.Time) (starts []job.RunStart) {
	t.WithScheduler(service, func(scheduler *job.Scheduler) { starts = scheduler.NextRuns(limit, now) })
	return starts
}

// NextScores returns at most limit texts to score whose calls may start.
func (t *Jobs) NextScores(service string, limit int, now time.Time, mayStart func(*core.ScorerCall) bool) (starts []job.ScoreStart) {
	t.WithScheduler(service, func(scheduler *job.Scheduler) { starts = scheduler.NextScores(limit, now, mayStart) })
	return starts
}

// Summaries returns the item counts of every open job.
func (t *Jobs) Summaries() []job.Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []job.Summary
	for _, scheduler := range t.schedulers {
		all = append(all, scheduler.Summaries()...)
	}
	return all
}
