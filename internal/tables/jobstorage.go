package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/lockrank"
)

// maxCachedBytes limits the total size of the cached jobs' bodies, in bytes.
const maxCachedBytes = 4 << 20

// JobStorage caches the jobs that were read from the platform last, so that their
// items' bodies are not fetched for each request. It also tracks each service's
// storage operations in progress and its checkpoints.
type JobStorage struct {
	// mu guards all fields below.
	mu          lockrank.Mutex
	jobs        map[core.JobID]storedJob
	inProgress  map[string]bool             // storage operations in progress
	checkpoints map[string]*checkpointState // by service
	handovers   map[string]bool             // whether the last checkpoint before a handover has ended, by service
	order       []core.JobID                // oldest first
	bytes       int
	room        *job.Room                 // for the jobs that this process coordinates
	takeovers   map[string]*job.Takeovers // by service
}

type storedJob struct {
	job   core.Job
	bytes int
}

// NewJobStorage returns an empty table. The jobs that the process coordinates have the given
// number of bytes of memory, zero for no bound.
func NewJobStorage(memory int64) *JobStorage {
	return &JobStorage{room: job.NewRoom(memory), takeovers: make(map[string]*job.Takeovers), mu: lockrank.New(lockrank.RankAnswers), jobs: make(map[core.JobID]storedJob), inProgress: make(map[string]bool), checkpoints: make(map[string]*checkpointState), handovers: make(map[string]bool)}
}

// Job returns a cached job.
func (t *JobStorage) Job(id core.JobID) (core.Job, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached, found := t.jobs[id]
	return cached.job, found
}

// CacheJob caches a job whose body has the given size in bytes, and evicts the
// oldest jobs over the limit. It ignores a job that is larger than the limit.
func (t *JobStorage) CacheJob(cached core.Job, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.jobs[cached.ID]; found || bytes > maxCachedBytes {
		return
	}
	t.jobs[cached.ID] = storedJob{cached, bytes}
	t.order = append(t.order, cached.ID)
	t.bytes += bytes
	for t.bytes > maxCachedBytes {
		oldest := t.order[0]
		t.order = t.order[1:]
		t.bytes -= t.jobs[oldest].bytes
		delete(t.jobs, oldest)
	}
}

// ReserveMemory takes memory for a job that this process is going to open. It returns false
// if the job does not fit beside the others now.
func (t *JobStorage) ReserveMemory(id core.JobID, bytes int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.room.Reserve(id, bytes)
}

// ResizeMemory sets the memory of a job that is open.
func (t *JobStorage) ResizeMemory(id core.JobID, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.room.Resize(id, bytes)
}

// ReleaseMemory returns the memory of jobs that are not open any more.
func (t *JobStorage) ReleaseMemory(ids ...core.JobID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.room.Release(id)
	}
}

// FreeMemory returns the most memory that one more job may take, and whether it is scarce.
func (t *JobStorage) FreeMemory() (bytes int64, isScarce bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.room.Largest(), t.room.IsScarce()
}

// BeginTakeover begins to coordinate a service.
func (t *JobStorage) BeginTakeover(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeoverOf(service).Begin()
}

// takeoverOf returns the takeover of a service. The caller holds mu.
func (t *JobStorage) takeoverOf(service string) *job.Takeovers {
	known := t.takeovers[service]
	if known == nil {
		known = &job.Takeovers{}
		known.Begin()
		t.takeovers[service] = known
	}
	return known
}

// FoundJobs tells the jobs of a service that a search has found.
func (t *JobStorage) FoundJobs(service string, ids []core.JobID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeoverOf(service).Found(ids)
}

// MayOpen reports whether a job may be opened now, and whether that counts as a loss until
// it has settled.
func (t *JobStorage) MayOpen(service string, id core.JobID, losses int, now time.Time) (mayOpen, counts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeoverOf(service).Open(id, losses, now)
}

// IsOpeningSettled reports, once for each job, whether an opening that counted has lasted.
func (t *JobStorage) IsOpeningSettled(service string, id core.JobID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeoverOf(service).IsSettled(id, now)
}

// BeginSearch reports whether a search for a service's jobs may start now; only
// one runs at a time. EndSearch must be called after true.
func (t *JobStorage) BeginSearch(service string) bool { return t.begin("search " + service) }

// EndSearch ends the search that BeginSearch began.
func (t *JobStorage) EndSearch(service string) { t.end("search " + service) }

// BeginJobRead reports whether a read of a job may start now; only one runs at a
// time. EndJobRead must be called after true.
func (t *JobStorage) BeginJobRead(id core.JobID) bool { return t.begin("open " + string(id)) }

// EndJobRead ends the read that BeginJobRead began.
func (t *JobStorage) EndJobRead(id core.JobID) { t.end("open " + string(id)) }

// BeginResultWrite reports whether a write of a service's results may start
// now; only one runs at a time. EndResultWrite must be called after true.
func (t *JobStorage) BeginResultWrite(service string) bool { return t.begin("list " + service) }

// EndResultWrite ends the write that BeginResultWrite began.
func (t *JobStorage) EndResultWrite(service string) { t.end("list " + service) }

// BeginOrders reports whether a decision on orders to a service's engines may
// start now; only one runs at a time. EndOrders must be called after true.
func (t *JobStorage) BeginOrders(service string) bool { return t.begin("orders " + service) }

// EndOrders ends the decision that BeginOrders began.
func (t *JobStorage) EndOrders(service string) { t.end("orders " + service) }

// begin marks an operation as in progress. It returns false if it already is.
func (t *JobStorage) begin(operation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inProgress[operation] {
		return false
	}
	t.inProgress[operation] = true
	return true
}

func (t *JobStorage) end(operation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inProgress, operation)
}

// checkpointState is the state of a service's checkpoints.
type checkpointState struct {
	number  uint64         // of the last checkpoint that was begun
	begunAt time.Time      // when it was begun
	stored  core.ObjectKey // newest checkpoint that is stored
}

// BeginCheckpoint reports whether a new checkpoint of a service's texts is due, that
// is, the last one was begun at least the interval every ago. It returns the new
// checkpoint's number and the key of the checkpoint that it replaces.
func (t *JobStorage) BeginCheckpoint(service string, now time.Time, every time.Duration) (number uint64, replaced core.ObjectKey, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.checkpoints[service]
	if row == nil {
		row = &checkpointState{}
		t.checkpoints[service] = row
	}
	if now.Sub(row.begunAt) < every {
		return 0, "", false
	}
	row.begunAt = now
	row.number++
	return row.number, row.stored, true
}

// EndCheckpoint records that a checkpoint is stored. BeginCheckpoint must have
// returned true for the service before.
func (t *JobStorage) EndCheckpoint(service string, key core.ObjectKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkpoints[service].stored = key
}

// BeginHandover reports whether the last checkpoint of a service before a handover has
// to be begun now, and whether it has ended.
func (t *JobStorage) BeginHandover(service string) (begins, ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended, begun := t.handovers[service]
	if !begun {
		t.handovers[service] = false
	}
	return !begun, ended
}

// EndHandover records that the last checkpoint of a service before a handover has ended.
func (t *JobStorage) EndHandover(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handovers[service] = true
}

// BeginRestore records that a service's texts are being read from a checkpoint.
func (t *JobStorage) BeginRestore(service string) { t.begin("restore " + service) }

// EndRestore ends the read that BeginRestore began.
func (t *JobStorage) EndRestore(service string) { t.end("restore " + service) }

// Restoring reports whether a service's texts are being read from a checkpoint.
func (t *JobStorage) Restoring(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inProgress["restore "+service]
}
