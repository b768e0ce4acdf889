package tables

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/lockrank"
)

// EngineSpeeds holds how fast engines produce events, and which engines refuse new
// runs because they are loading weights.
type EngineSpeeds struct {
	// mu guards all fields below.
	mu           lockrank.Mutex
	services     map[string]*job.IntervalTracker
	loading      map[modelLoad]time.Time     // loads in progress, with the time at which each counts as ended
	ignoredUntil map[core.ServerID]time.Time // when intervals count again after the engine's last load
}

// modelLoad identifies one engine's loading of one model's weights.
type modelLoad struct {
	engine core.ServerID
	model  core.ModelName
}

// NewEngineSpeeds returns an empty table.
func NewEngineSpeeds() *EngineSpeeds {
	return &EngineSpeeds{
		mu: lockrank.New(lockrank.RankPolls), services: make(map[string]*job.IntervalTracker),
		loading: make(map[modelLoad]time.Time), ignoredUntil: make(map[core.ServerID]time.Time),
	}
}

// Observe records the interval between two events of a run. It ignores intervals
// while the engine loads weights, because its streams pause then.
func (t *EngineSpeeds) Observe(service string, engine core.ServerID, interval time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.ignoredUntil[engine]) || t.isLoading(engine, now) {
		return
	}
	if t.services[service] == nil {
		t.services[service] = job.NewIntervalTracker()
	}
	t.services[service].Observe(engine, interval, now)
}

// SlowEngines returns the engines of a service that are slow compared with the
// others.
func (t *EngineSpeeds) SlowEngines(service string, now time.Time) []core.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[service] == nil {
		return nil
	}
	return t.services[service].Slow(now)
}

// WeakEngines returns the engines of a service that are slower than its fast ones.
func (t *EngineSpeeds) WeakEngines(service string, now time.Time) []core.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[service] == nil {
		return nil
	}
	return t.services[service].Weak(now)
}

// LongestGap returns how long a stream of a service's engine may pause before it counts
// as stalled.
func (t *EngineSpeeds) LongestGap(service string, engine core.ServerID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[service] == nil {
		t.services[service] = job.NewIntervalTracker()
	}
	return t.services[service].LongestGap(engine, now)
}

// isLoading reports whether an engine is loading any model. The caller holds mu.
func (t *EngineSpeeds) isLoading(engine core.ServerID, now time.Time) bool {
	for l, until := range t.loading {
		if l.engine == engine && now.Before(until) {
			return true
		}
	}
	return false
}

// BeginLoad records that an engine is loading a model's weights and refuses new
// runs of it, until EndLoad or the time until, whichever comes first.
func (t *EngineSpeeds) BeginLoad(engine core.ServerID, model core.ModelName, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loading[modelLoad{engine, model}] = until
}

// settleTime is how long intervals are ignored after a load. The first events
// after a load arrive within this time, and their intervals began before its end.
const settleTime = 200 * time.Millisecond

// EndLoad records that an engine has loaded a model's weights.
func (t *EngineSpeeds) EndLoad(engine core.ServerID, model core.ModelName, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.loading, modelLoad{engine, model})
	t.ignoredUntil[engine] = now.Add(settleTime)
}

// LoadingEngines returns the engines that are loading weights, by model.
func (t *EngineSpeeds) LoadingEngines(now time.Time) map[core.ModelName][]core.ServerID {
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
