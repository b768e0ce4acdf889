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

// Engine is the stand-in. It serves the engine protocol and fault orders.
type Engine struct {
	options Options
	mux     *http.ServeMux
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
	wake    chan struct{} // tells the batch that there may be work

	// mu guards all fields below.
	mu       lockrank.Mutex
	faults   Faults
	counts   Counts
	model    core.ModelName
	adapter  core.AdapterName
	role     string
	version  core.WeightVersion
	loading  core.WeightVersion
	more     map[core.AdapterName]core.WeightVersion // adapters beside adapter
	loads    map[core.AdapterName]uint64             // loads begun; one takes effect only if it is its adapter's last
	fence    core.Fence
	arrivals uint64
	streams  map[string]*stream
	queued   []*stream
	running  []*stream
	cache    *prefixCache
	report   enginehttp.StatusBody // lagging
	dead     bool
	changed  chan struct{} // closed and replaced when faults, version or death change
}

// New returns a running engine. Close ends it.
func New(options Options) *Engine {
	options = options.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		options: options, ctx: ctx, stop: stop, wake: make(chan struct{}, 1),
		mu:    lockrank.New(lockrank.RankOutside),
		model: options.Model, adapter: options.Adapter, version: options.Version,
		more: make(map[core.AdapterName]core.WeightVersion), loads: make(map[core.AdapterName]uint64),
		streams: make(map[string]*stream), cache: newPrefixCache(options),
		changed: make(chan struct{}),
	}
	e.report = e.statusNow()
	e.mux = e.routes()
	e.done.Add(1)
	go e.runBatch()
	if options.ReportInterval > 0 {
		e.done.Add(1)
		go e.runReports()
	}
	return e
}

// Close ends the engine's goroutines and open streams.
func (e *Engine) Close() {
	e.stop()
	e.done.Wait()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetFaults replaces the fault orders.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.notify()
}

// Revive ends the state after a crash. Streams and cache are lost.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = false
	e.notify()
}

// Counts returns what the engine has done.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// WaitVersion waits until new streams start on the version.
func (e *Engine) WaitVersion(ctx context.Context, version core.WeightVersion) error {
	return e.waitUntil(ctx, func() bool { return e.version == version })
}

// WaitAdapter waits until new streams of an adapter start on the version.
func (e *Engine) WaitAdapter(ctx context.Context, adapter core.AdapterName, version core.WeightVersion) error {
	return e.waitUntil(ctx, func() bool {
		held, ok := e.more[adapter]
		return ok && held == version
	})
}

// WaitLoaded waits until no load is going on, whether it took effect or not.
func (e *Engine) WaitLoaded(ctx context.Context) error {
	return e.waitUntil(ctx, func() bool { return e.loading == 0 })
}

// waitUntil waits for a condition on fields that notify announces.
func (e *Engine) waitUntil(ctx context.Context, holds func() bool) error {
	for {
		e.mu.Lock()
		ok, changed := holds(), e.changed
		e.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.Wrap(errkind.Of(ctx.Err()), ctx.Err(), "wait for engine")
		case <-e.ctx.Done():
			return errkind.New(errkind.ShuttingDown, "engine has stopped")
		}
	}
}

// notify tells all who wait that faults, version or death changed. The caller
// holds the lock.
func (e *Engine) notify() {
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

// crashes reports whether running the prompt crashes the engine.
func (e *Engine) crashes(prompt string) bool {
	return e.faults.CrashMarker != "" && strings.Contains(prompt, e.faults.CrashMarker)
}

// crash ends the process, or loses all state and refuses everything until
// Revive. The caller holds the lock.
func (e *Engine) crash() {
	e.counts.Crashes++
	if e.options.Exit != nil {
		e.options.Exit()
	}
	for _, s := range e.streams {
		e.drop(s)
	}
	e.queued, e.running = nil, nil
	e.cache = newPrefixCache(e.options)
	for adapter := range e.loads {
		e.loads[adapter]++
	}
	clear(e.more)
	e.loading = 0
	e.dead = true
	e.notify()
}

// drop forgets a stream and cuts its readers. The caller holds the lock.
func (e *Engine) drop(s *stream) {
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.gone = true
	s.notify()
	delete(e.streams, s.request.Stream)
}

// expire drops a stream if nobody reads it.
func (e *Engine) expire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.readers == 0 && !s.gone {
		e.drop(s)
	}
}

// attach counts a reader in. The caller holds the lock.
func (e *Engine) attach(s *stream) {
	s.readers++
	if s.expiry != nil {
		s.expiry.Stop()
		s.expiry = nil
	}
}

// detach counts a reader out; without readers the stream is kept for a while.
func (e *Engine) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers == 0 && !s.gone {
		s.expiry = time.AfterFunc(e.options.KeepStreams, func() { e.expire(s) })
	}
}
