package engine

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// Engine is the stand-in. It serves the engine protocol and the control
// requests.
type Engine struct {
	options    Options
	mux        *http.ServeMux
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	wake       chan struct{} // signals the batch loop that there may be work

	// mu guards all fields below.
	mu            lockrank.Mutex
	faults        Faults
	counts        Counts
	model         core.ModelName
	adapter       core.AdapterName
	role          string
	version       core.WeightVersion
	loading       core.WeightVersion
	extraAdapters map[core.AdapterName]core.WeightVersion // versions of the adapters held in addition to adapter
	loadNumbers   map[core.AdapterName]uint64             // number of loads started per slot, see loadSlot; only the last one takes effect
	highestFence  core.Fence
	arrivalCount  uint64
	streams       map[string]*stream
	queued        []*stream
	running       []*stream
	cache         *prefixCache
	lastReport    enginehttp.StatusBody // copy of the status, updated every ReportInterval
	crashed       bool
	changed       chan struct{} // closed and replaced when faults, versions or crashed change
}

// New returns a running engine. The caller must call Close.
func New(options Options) *Engine {
	options = options.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		options: options, ctx: ctx, stop: stop, wake: make(chan struct{}, 1),
		mu:    lockrank.New(lockrank.RankExternal),
		model: options.Model, adapter: options.Adapter, version: options.Version,
		extraAdapters: make(map[core.AdapterName]core.WeightVersion), loadNumbers: make(map[core.AdapterName]uint64),
		streams: make(map[string]*stream), cache: newPrefixCache(options),
		changed: make(chan struct{}),
	}
	e.lastReport = e.currentStatus()
	e.mux = e.routes()
	e.goroutines.Add(1)
	go e.runBatch()
	if options.ReportInterval > 0 {
		e.goroutines.Add(1)
		go e.runStatusReports()
	}
	return e
}

// Close stops the engine's goroutines and ends its open streams.
func (e *Engine) Close() {
	e.stop()
	e.goroutines.Wait()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.notifyWaiters()
}

// Revive restores the engine after an injected crash, without its former
// streams and cache.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.notifyWaiters()
}

// Counts returns the engine's counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// WaitVersion waits until new streams start with the given version.
func (e *Engine) WaitVersion(ctx context.Context, version core.WeightVersion) error {
	return e.waitUntil(ctx, func() bool { return e.version == version })
}

// WaitAdapter waits until new streams of an additional adapter start with the
// given version.
func (e *Engine) WaitAdapter(ctx context.Context, adapter core.AdapterName, version core.WeightVersion) error {
	return e.waitUntil(ctx, func() bool {
		held, ok := e.extraAdapters[adapter]
		return ok && held == version
	})
}

// WaitLoaded waits until no load is in progress. The last load may have
// failed.
func (e *Engine) WaitLoaded(ctx context.Context) error {
	return e.waitUntil(ctx, func() bool { return e.loading == 0 })
}

// waitUntil waits until a condition on faults, versions or crashed is true. It
// evaluates the condition with mu held.
func (e *Engine) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		e.mu.Lock()
		ok, changed := condition(), e.changed
		e.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.Wrap(errkind.Of(ctx.Err()), ctx.Err(), "wait for a change of the engine's state")
		case <-e.ctx.Done():
			return errkind.New(errkind.ShuttingDown, "engine is closed")
		}
	}
}

// notifyWaiters wakes the goroutines that wait for a change of faults,
// versions or crashed. The caller must hold mu.
func (e *Engine) notifyWaiters() {
	close(e.changed)
	e.changed = make(chan struct{})
	e.wakeBatch()
}

func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// triggersCrash reports whether running the prompt crashes the engine. The
// caller must hold mu.
func (e *Engine) triggersCrash(prompt string) bool {
	return e.faults.CrashMarker != "" && strings.Contains(prompt, e.faults.CrashMarker)
}

// crash calls Options.Exit. Without it, the engine discards all state and
// refuses all requests until Revive. The caller must hold mu.
func (e *Engine) crash() {
	e.counts.Crashes++
	if e.options.Exit != nil {
		e.options.Exit()
	}
	for _, s := range e.streams {
		e.removeStream(s)
	}
	e.queued, e.running = nil, nil
	e.cache = newPrefixCache(e.options)
	for adapter := range e.loadNumbers {
		e.loadNumbers[adapter]++
	}
	clear(e.extraAdapters)
	e.loading = 0
	e.crashed = true
	e.notifyWaiters()
}

// removeStream deletes a stream and disconnects its readers. The caller must
// hold mu.
func (e *Engine) removeStream(s *stream) {
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
	s.removed = true
	s.notify()
	delete(e.streams, s.request.Stream)
}

// expireStream removes a stream if it has no reader.
func (e *Engine) expireStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.readers == 0 && !s.removed {
		e.removeStream(s)
	}
}

// addReader increments the stream's reader count and stops its expiry timer.
// The caller must hold mu.
func (e *Engine) addReader(s *stream) {
	s.readers++
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
		s.expiryTimer = nil
	}
}

// removeReader decrements the stream's reader count. A stream without readers
// expires after Options.StreamRetention.
func (e *Engine) removeReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers == 0 && !s.removed {
		s.expiryTimer = time.AfterFunc(e.options.StreamRetention, func() { e.expireStream(s) })
	}
}
