package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
)

// storedBytes bounds the jobs kept for reading, in bytes of their bodies.
const storedBytes = 4 << 20

// Stored keeps the newest jobs that were read from the platform, so that their
// items' bodies need not be fetched for each request.
type Stored struct {
	// mu guards all fields below.
	mu    lockrank.Mutex
	jobs  map[core.JobID]storedJob
	busy  map[string]bool  // work with the platform that goes on
	saves map[string]*save // by service
	order []core.JobID     // oldest first
	bytes int
}

type storedJob struct {
	job   core.Job
	bytes int
}

// NewStored returns an empty table.
func NewStored() *Stored {
	return &Stored{mu: lockrank.New(lockrank.RankAnswers), jobs: make(map[core.JobID]storedJob), busy: make(map[string]bool), saves: make(map[string]*save)}
}

// Job returns a kept job.
func (t *Stored) Job(id core.JobID) (core.Job, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept, found := t.jobs[id]
	return kept.job, found
}

// Keep keeps a job whose body has a size, and drops the oldest ones over the bound.
func (t *Stored) Keep(job core.Job, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.jobs[job.ID]; found || bytes > storedBytes {
		return
	}
	t.jobs[job.ID] = storedJob{job, bytes}
	t.order = append(t.order, job.ID)
	t.bytes += bytes
	for t.bytes > storedBytes {
		oldest := t.order[0]
		t.order = t.order[1:]
		t.bytes -= t.jobs[oldest].bytes
		delete(t.jobs, oldest)
	}
}

// BeginSearch reports whether a service's jobs may be looked for now: one search
// at a time. EndSearch must follow after true.
func (t *Stored) BeginSearch(service string) bool { return t.begin("search " + service) }

// EndSearch ends what BeginSearch began.
func (t *Stored) EndSearch(service string) { t.end("search " + service) }

// BeginOpen reports whether a job may be read now. EndOpen must follow after true.
func (t *Stored) BeginOpen(id core.JobID) bool { return t.begin("open " + string(id)) }

// EndOpen ends what BeginOpen began.
func (t *Stored) EndOpen(id core.JobID) { t.end("open " + string(id)) }

// BeginList reports whether a service's results may be stored now. EndList must
// follow after true.
func (t *Stored) BeginList(service string) bool { return t.begin("list " + service) }

// EndList ends what BeginList began.
func (t *Stored) EndList(service string) { t.end("list " + service) }

// BeginOrders reports whether orders to a service's engines may be decided now.
// EndOrders must follow after true.
func (t *Stored) BeginOrders(service string) bool { return t.begin("orders " + service) }

// EndOrders ends what BeginOrders began.
func (t *Stored) EndOrders(service string) { t.end("orders " + service) }

func (t *Stored) begin(work string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[work] {
		return false
	}
	t.busy[work] = true
	return true
}

func (t *Stored) end(work string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, work)
}

// save is how far a service's checkpoints are.
type save struct {
	number uint64
	at     time.Time
	kept   core.ObjectKey // newest one that is stored
}

// BeginSave reports whether a service's texts are to be saved now, under which
// number, and which checkpoint the new one replaces.
func (t *Stored) BeginSave(service string, now time.Time, every time.Duration) (number uint64, before core.ObjectKey, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.saves[service]
	if row == nil {
		row = &save{}
		t.saves[service] = row
	}
	if now.Sub(row.at) < every {
		return 0, "", false
	}
	row.at = now
	row.number++
	return row.number, row.kept, true
}

// Saved notes that a checkpoint is stored.
func (t *Stored) Saved(service string, key core.ObjectKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saves[service].kept = key
}

// BeginRestore notes that a service's texts are being read.
func (t *Stored) BeginRestore(service string) { t.begin("restore " + service) }

// EndRestore ends what BeginRestore began.
func (t *Stored) EndRestore(service string) { t.end("restore " + service) }

// Restoring reports whether a service's texts are being read.
func (t *Stored) Restoring(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy["restore "+service]
}
