package engine

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
)

// runBatch advances the batch by one step an interval while it has streams,
// and waits for streams otherwise.
func (e *Engine) runBatch() {
	defer e.done.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if e.idle() {
			select {
			case <-e.wake:
			case <-e.ctx.Done():
				return
			}
		}
		timer.Reset(e.options.StepInterval)
		select {
		case <-timer.C:
		case <-e.ctx.Done():
			return
		}
		e.step()
	}
}

// idle reports whether no stream can advance until the engine is woken.
func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Freeze || e.dead {
		return true
	}
	return len(e.queued) == 0 && !slices.ContainsFunc(e.running, e.advances)
}

// advances reports whether a running stream is not held.
func (e *Engine) advances(s *stream) bool {
	return s.gone || s.done() || e.faults.HoldAfter == 0 || s.produced() < e.faults.HoldAfter
}

// step admits queued streams and advances each running one.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Freeze || e.dead {
		return
	}
	e.running = slices.DeleteFunc(e.running, finished)
	e.queued = slices.DeleteFunc(e.queued, finished)
	e.admit()
	for _, s := range e.running {
		if e.crashes(s.request.Prompt) {
			e.crash()
			return
		}
		e.advance(s)
	}
	e.running = slices.DeleteFunc(e.running, finished)
}

func finished(s *stream) bool { return s.gone || s.done() }

// admit moves queued streams into the batch: larger priority first, then order
// of arrival.
func (e *Engine) admit() {
	slices.SortFunc(e.queued, func(a, b *stream) int {
		if byPriority := cmp.Compare(b.request.Priority, a.request.Priority); byPriority != 0 {
			return byPriority
		}
		return cmp.Compare(a.arrival, b.arrival)
	})
	free := min(e.options.MaxRunning-len(e.running), len(e.queued))
	for _, s := range e.queued[:free] {
		hit := e.cache.use(s.request.Prompt, time.Now())
		s.prefill = len(s.request.Prompt) - hit
		e.running = append(e.running, s)
	}
	e.queued = slices.Delete(e.queued, 0, free)
}

// advance processes a part of the prompt, or adds tokens.
func (e *Engine) advance(s *stream) {
	if s.prefill > e.options.PrefillBytes {
		s.prefill -= e.options.PrefillBytes
		return
	}
	s.prefill = 0
	e.counts.Tokens += s.grow(e.options.TokensPerStep, e.faults.HoldAfter, e.versionOf(core.AdapterName(s.request.Adapter)))
}

// runReports renews the lagging report.
func (e *Engine) runReports() {
	defer e.done.Done()
	ticker := time.NewTicker(e.options.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.renewReport()
		case <-e.ctx.Done():
			return
		}
	}
}

func (e *Engine) renewReport() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report = e.statusNow()
}

// statusNow returns the present load and versions. The caller holds the lock.
func (e *Engine) statusNow() enginehttp.StatusBody {
	status := enginehttp.StatusBody{
		Model: string(e.model), Adapter: string(e.adapter), Role: e.role,
		Version: e.version, Loading: e.loading,
		Running: len(e.running), Queued: len(e.queued),
	}
	if len(e.more) > 0 {
		status.Versions = []enginehttp.AdapterVersion{{Adapter: status.Adapter, Version: e.version, Loading: e.loading}}
	}
	for adapter, version := range e.more {
		status.Versions = append(status.Versions, enginehttp.AdapterVersion{Adapter: string(adapter), Version: version})
	}
	for _, s := range e.queued {
		status.QueuedTokens += len(s.request.Prompt)
	}
	return status
}
