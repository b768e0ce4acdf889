package engine

import (
	"cmp"
	"slices"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
)

// runBatch runs one batch step per StepInterval while there are streams to
// advance, and otherwise blocks until it is woken.
func (e *Engine) runBatch() {
	defer e.goroutines.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if e.isIdle() {
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
		e.runStep()
	}
}

// isIdle reports whether no stream can advance until the engine is woken.
func (e *Engine) isIdle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Freeze || e.crashed {
		return true
	}
	return len(e.queued) == 0 && !slices.ContainsFunc(e.running, e.canAdvance)
}

// canAdvance reports whether a running stream is not paused by
// Faults.HoldAfter.
func (e *Engine) canAdvance(s *stream) bool {
	return s.removed || s.isDone() || e.faults.HoldAfter == 0 || s.producedCount() < e.faults.HoldAfter
}

// runStep admits queued streams and advances each running one.
func (e *Engine) runStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Freeze || e.crashed {
		return
	}
	e.running = slices.DeleteFunc(e.running, isFinished)
	e.queued = slices.DeleteFunc(e.queued, isFinished)
	e.admitQueued()
	for _, s := range e.running {
		if e.triggersCrash(s.request.Prompt) {
			e.crash()
			return
		}
		e.advanceStream(s)
	}
	e.running = slices.DeleteFunc(e.running, isFinished)
}

func isFinished(s *stream) bool { return s.removed || s.isDone() }

// admitQueued moves queued streams into the batch, ordered by descending
// priority, then by arrival.
func (e *Engine) admitQueued() {
	slices.SortFunc(e.queued, func(a, b *stream) int {
		if byPriority := cmp.Compare(b.request.Priority, a.request.Priority); byPriority != 0 {
			return byPriority
		}
		return cmp.Compare(a.arrival, b.arrival)
	})
	free := min(e.options.MaxRunning-len(e.running), len(e.queued))
	for _, s := range e.queued[:free] {
		hit := e.cache.storePrompt(s.request.Prompt, time.Now())
		s.prefillLeft = len(s.request.Prompt) - hit
		e.running = append(e.running, s)
	}
	e.queued = slices.Delete(e.queued, 0, free)
}

// advanceStream processes a part of the prompt, or generates tokens once the
// prompt is processed.
func (e *Engine) advanceStream(s *stream) {
	if s.prefillLeft > e.options.PrefillBytes {
		s.prefillLeft -= e.options.PrefillBytes
		return
	}
	s.prefillLeft = 0
	e.counts.Tokens += s.appendTokens(e.options.TokensPerStep, e.faults.HoldAfter, e.adapterVersion(core.AdapterName(s.request.Adapter)))
}

// runStatusReports updates the lagging status every ReportInterval.
func (e *Engine) runStatusReports() {
	defer e.goroutines.Done()
	ticker := time.NewTicker(e.options.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.updateReport()
		case <-e.ctx.Done():
			return
		}
	}
}

func (e *Engine) updateReport() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastReport = e.currentStatus()
}

// currentStatus returns the current load and versions. The caller must hold
// mu.
func (e *Engine) currentStatus() enginehttp.StatusBody {
	status := enginehttp.StatusBody{
		Model: string(e.model), Adapter: string(e.adapter), Role: e.role,
		Version: e.version, Loading: e.loading,
		Running: len(e.running), Queued: len(e.queued),
	}
	if len(e.extraAdapters) > 0 {
		status.Versions = []enginehttp.AdapterVersion{{Adapter: status.Adapter, Version: e.version, Loading: e.loading}}
	}
	for adapter, version := range e.extraAdapters {
		status.Versions = append(status.Versions, enginehttp.AdapterVersion{Adapter: string(adapter), Version: version})
	}
	for _, s := range e.queued {
		status.QueuedTokens += len(s.request.Prompt)
	}
	return status
}
