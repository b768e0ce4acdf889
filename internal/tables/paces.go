package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/lockrank"
)

// Paces holds how fast engines make events, and which engines take no new runs
// while they load weights.
type Paces struct {
	// mu guards all fields below.
	mu       lockrank.Mutex
	services map[string]*job.Paces
	loading  map[load]time.Time          // until when at the latest
	settled  map[core.ServerID]time.Time // when intervals after a load count again
}

// load is one engine's load of one model's weights.
type load struct {
	engine core.ServerID
	model  core.ModelName
}

// NewPaces returns an empty table.
func NewPaces() *Paces {
	return &Paces{
		mu: lockrank.New(lockrank.RankPolls), services: make(map[string]*job.Paces),
		loading: make(map[load]time.Time), settled: make(map[core.ServerID]time.Time),
	}
}

// Observe takes the time between two events of a run. While an engine loads
// weights its streams stand still, which tells nothing of its speed.
func (t *Paces) Observe(service string, engine core.ServerID, interval time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.settled[engine]) || t.loads(engine, now) {
		return
	}
	if t.services[service] == nil {
		t.services[service] = job.NewPaces()
	}
	t.services[service].Observe(engine, interval, now)
}

// Slow returns the engines of a service that are slow beside the others.
func (t *Paces) Slow(service string, now time.Time) []core.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[service] == nil {
		return nil
	}
	return t.services[service].Slow(now)
}

// loads reports whether an engine loads any model. The lock is held.
func (t *Paces) loads(engine core.ServerID, now time.Time) bool {
	for l, until := range t.loading {
		if l.engine == engine && now.Before(until) {
			return true
		}
	}
	return false
}

// BeginLoad notes that an engine refuses new runs of a model, until EndLoad or
// a time.
func (t *Paces) BeginLoad(engine core.ServerID, model core.ModelName, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loading[load{engine, model}] = until
}

// afterLoad is the time in which the first events after a load arrive, whose
// intervals began before its end.
const afterLoad = 200 * time.Millisecond

// EndLoad notes that an engine has loaded a model's weights.
func (t *Paces) EndLoad(engine core.ServerID, model core.ModelName, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.loading, load{engine, model})
	t.settled[engine] = now.Add(afterLoad)
}

// Loads returns the engines that load weights, by model.
func (t *Paces) Loads(now time.Time) map[core.ModelName][]core.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	engines := make(map[core.ModelName][]core.ServerID)
	for l, until := range t.loading {
		if now.After(until) {
			delete(t.loading, l)
			continue
		}
		engines[l.model] = append(engines[l.model], l.engine)
	}
	return engines
}
