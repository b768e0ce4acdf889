package main

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Constants of the fake backend servers.
const (
	engineStep    = 16 * time.Millisecond  // to make a token for every stream of a batch
	engineSlope   = 250 * time.Microsecond // more for each stream of the batch
	engineBatch   = 16                     // streams
	engineCache   = 1500                   // prompt blocks
	prefillCost   = 0.2                    // of a token of the prompt, in generated tokens
	plainStep     = 50 * time.Millisecond  // for a page
	plainSlope    = 2 * time.Millisecond
	plainBatch    = 64
	loadTime      = 6 * time.Second // for new weights, beside the running streams
	stragglerRate = 0.1
	lostEvents    = 0.05
	restartTime   = 30 * time.Second
)

// stream is one attempt at a server.
type stream struct {
	request *request
	work    float64 // tokens of work left
	prefill float64 // tokens of work at its start that are no answer
	total   float64
	rate    float64
	version core.WeightVersion
	failed  func() // the server died
	whole   func()
}

// server is a fake backend server. It works for all streams of its batch at
// once, people's first, and new weights serve new streams only.
type server struct {
	vm       core.VM
	up       bool
	factor   float64 // below 1 in a sag
	running  []*stream
	waiting  []*stream
	versions []core.AdapterVersion
	advanced time.Duration
	epoch    int // of the planned event

	recent *list.List
	blocks map[uint64]*list.Element
	events []core.CacheEvent
	next   uint64
}

func newServer(vm core.VM) *server {
	return &server{vm: vm, up: true, factor: 1, next: 1, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (s *server) batch() (size int, step, slope time.Duration) {
	if s.vm.Kind == core.KindPlain {
		return plainBatch, plainStep, plainSlope
	}
	return engineBatch, engineStep, engineSlope
}

// perToken returns the seconds that a stream waits for a token.
func (s *server) perToken() float64 {
	_, step, slope := s.batch()
	return (step.Seconds() + slope.Seconds()*float64(len(s.running))) / s.factor
}

// advance works up to the present.
func (s *server) advance(now time.Duration) {
	tokens := (now - s.advanced).Seconds() / s.perToken()
	for _, st := range s.running {
		st.work -= tokens * st.rate
	}
	s.advanced = now
}

// fill starts waiting streams, people's first, and plans the next end.
func (s *server) fill(w *world) {
	size, _, _ := s.batch()
	for len(s.running) < size && len(s.waiting) > 0 {
		st := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(w, st)
	}
	s.plan(w)
}

func (s *server) begin(w *world, st *stream) {
	hit := s.use(st.request.prefix) * tokensPerBlock
	w.seePrompt(st.request, s, hit)
	st.prefill = prefillCost * float64(st.request.prompt-hit+st.request.done)
	st.total = st.prefill + float64(st.request.answer-st.request.done)
	st.work = st.total
	for _, held := range s.versions {
		if held.Adapter == st.request.deployment.Adapter {
			st.version = held.Version
		}
	}
	s.running = append(s.running, st)
}

func (s *server) plan(w *world) {
	s.epoch++
	epoch, least := s.epoch, math.Inf(1)
	for _, st := range s.running {
		least = min(least, st.work/st.rate)
	}
	if len(s.running) > 0 {
		w.clock.After(seconds(max(0, least)*s.perToken())+time.Nanosecond, func() {
			if s.epoch == epoch {
				s.finish(w)
			}
		})
	}
}

// finish ends the streams whose work is done.
func (s *server) finish(w *world) {
	s.advance(w.clock.Now())
	var ended []*stream
	s.running = slices.DeleteFunc(s.running, func(st *stream) bool {
		if st.work < 1e-6 {
			ended = append(ended, st)
			return true
		}
		return false
	})
	s.fill(w)
	for _, st := range ended {
		st.whole()
	}
}

// made returns the answer's tokens that a stream has made.
func (st *stream) made() int {
	return int(min(max(0, st.total-st.work-st.prefill), st.total-st.prefill))
}

func (s *server) enqueue(w *world, st *stream) {
	s.advance(w.clock.Now())
	at := len(s.waiting)
	if st.request.class == core.ClassPeople {
		if i := slices.IndexFunc(s.waiting, func(o *stream) bool { return o.request.class == core.ClassRollout }); i >= 0 {
			at = i
		}
	}
	s.waiting = slices.Insert(s.waiting, at, st)
	s.fill(w)
}

// cancel takes a stream off the server.
func (s *server) cancel(w *world, st *stream) {
	s.advance(w.clock.Now())
	same := func(o *stream) bool { return o == st }
	s.running = slices.DeleteFunc(s.running, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.fill(w)
}

// sag changes the server's speed.
func (s *server) sag(w *world, factor float64) {
	s.advance(w.clock.Now())
	s.factor = factor
	s.plan(w)
}

// crash cuts every stream and loses the cache; the server is back later.
func (s *server) crash(w *world, down time.Duration) {
	if !s.up {
		return
	}
	s.advance(w.clock.Now())
	cut := append(s.running, s.waiting...)
	s.running, s.waiting, s.up = nil, nil, false
	s.epoch++
	s.recent, s.blocks, s.events, s.next = list.New(), make(map[uint64]*list.Element), nil, 1
	w.clock.After(down, func() { s.up = true })
	for _, st := range cut {
		st.failed()
	}
}

// load swaps an adapter's weights after the time that this takes.
func (s *server) load(w *world, adapter core.AdapterName, version core.WeightVersion) {
	w.clock.After(loadTime, func() {
		for i := range s.versions {
			if held := &s.versions[i]; held.Adapter == adapter && held.Version < version {
				held.Version = version
			}
		}
	})
}

// use stores a prompt's blocks and returns how many leading ones were cached.
func (s *server) use(prefix []uint64) int {
	hits := 0
	for hits < len(prefix) && s.blocks[prefix[hits]] != nil {
		hits++
	}
	for _, hash := range slices.Backward(prefix) {
		if element := s.blocks[hash]; element != nil {
			s.recent.MoveToFront(element)
			continue
		}
		s.blocks[hash] = s.recent.PushFront(hash)
		s.emit(core.CacheEvent{PrefixHash: hash})
		if s.recent.Len() > engineCache {
			oldest := s.recent.Remove(s.recent.Back()).(uint64)
			delete(s.blocks, oldest)
			s.emit(core.CacheEvent{PrefixHash: oldest, Evicted: true})
		}
	}
	return hits
}

func (s *server) emit(event core.CacheEvent) {
	s.events = append(s.events, event)
	s.next++
}

// status returns the server's report, from which some cache events are lost.
func (s *server) status(random *rand.Rand) core.EngineStatus {
	kept := slices.DeleteFunc(s.events, func(core.CacheEvent) bool { return random.Float64() < lostEvents })
	s.events = nil
	return core.EngineStatus{
		Server: s.vm.ID, Model: core.ModelName(s.vm.Service), Versions: slices.Clone(s.versions),
		RunningCount: len(s.running), QueuedCount: len(s.waiting), CacheEvents: kept, NextEvent: s.next,
	}
}

// servers returns the site's servers.
func (s *operator) servers() (all []*server) {
	add := func(kind core.ServerKind, service string, counts [2]int) {
		for r, region := range s.regions {
			for i := range counts[r] {
				all = append(all, newServer(core.VM{
					ID: core.ServerID(fmt.Sprintf("%s-%s-%d", service, region, i)), Kind: kind, Service: service,
					Region: region, Zone: zone(region, r == 0, i), State: core.VMLive,
				}))
			}
		}
	}
	seen := make(map[string]bool)
	for _, d := range s.deployments {
		if seen[d.Service] {
			continue
		}
		seen[d.Service] = true
		if d.Kind == core.KindEngine {
			add(d.Kind, d.Service, s.engines)
		} else {
			add(d.Kind, d.Service, s.plains)
		}
	}
	for _, server := range all {
		for _, d := range s.deployments {
			if d.Kind == core.KindEngine && d.Service == server.vm.Service {
				server.versions = append(server.versions, core.AdapterVersion{Adapter: d.Adapter, Version: 1})
			}
		}
	}
	return all
}
