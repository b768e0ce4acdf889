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

// Parameters of the fake backend servers.
const (
	engineStepTime      = 16 * time.Millisecond  // per token of every stream in a batch
	engineStepPerStream = 250 * time.Microsecond // added for each stream in the batch
	engineBatchSize     = 16                     // streams
	engineCacheBlocks   = 1500
	prefillCost         = 0.2                   // of one prompt token, in generated tokens
	plainStepTime       = 50 * time.Millisecond // per page
	plainStepPerStream  = 2 * time.Millisecond
	plainBatchSize      = 64
	weightLoadTime      = 6 * time.Second // of new weights, while streams keep running
	stragglerSpeed      = 0.1
	lostEventShare      = 0.05
	restartTime         = 30 * time.Second
)

// stream is the work of one attempt on a server.
type stream struct {
	request       *request
	remainingWork float64 // in tokens
	prefillWork   float64 // in tokens; part of totalWork that produces no answer
	totalWork     float64
	speed         float64
	version       core.WeightVersion
	onFailure     func() // called when the server crashes
	onComplete    func()
}

// server is a fake backend server. It processes all streams of its batch
// concurrently and queues interactive streams before rollouts. New weights apply to
// new streams only.
type server struct {
	vm          core.VM
	isUp        bool
	speedFactor float64 // below 1 during a slowdown
	running     []*stream
	waiting     []*stream
	versions    []core.AdapterVersion
	advancedAt  time.Duration
	eventEpoch  int // invalidates completions scheduled earlier

	cacheOrder   *list.List
	cachedBlocks map[uint64]*list.Element
	cacheEvents  []core.CacheEvent
	nextEvent    uint64
}

func newServer(vm core.VM) *server {
	return &server{vm: vm, isUp: true, speedFactor: 1, nextEvent: 1, cacheOrder: list.New(), cachedBlocks: make(map[uint64]*list.Element)}
}

func (s *server) batchParameters() (size int, stepTime, perStream time.Duration) {
	if s.vm.Kind == core.KindPlain {
		return plainBatchSize, plainStepTime, plainStepPerStream
	}
	return engineBatchSize, engineStepTime, engineStepPerStream
}

// secondsPerToken returns how long a stream of normal speed takes for one token.
func (s *server) secondsPerToken() float64 {
	_, stepTime, perStream := s.batchParameters()
	return (stepTime.Seconds() + perStream.Seconds()*float64(len(s.running))) / s.speedFactor
}

// advance accounts for the work done on the running streams up to now.
func (s *server) advance(now time.Duration) {
	tokens := (now - s.advancedAt).Seconds() / s.secondsPerToken()
	for _, st := range s.running {
		st.remainingWork -= tokens * st.speed
	}
	s.advancedAt = now
}

// startWaiting starts waiting streams in queue order and schedules the next
// completion.
func (s *server) startWaiting(sim *simulation) {
	size, _, _ := s.batchParameters()
	for len(s.running) < size && len(s.waiting) > 0 {
		st := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.startStream(sim, st)
	}
	s.scheduleCompletion(sim)
}

func (s *server) startStream(sim *simulation, st *stream) {
	hit := s.cachePrompt(st.request.prefix) * tokensPerBlock
	sim.countPrompt(st.request, s, hit)
	st.prefillWork = prefillCost * float64(st.request.promptTokens-hit+st.request.keptTokens)
	st.totalWork = st.prefillWork + float64(st.request.answerTokens-st.request.keptTokens)
	st.remainingWork = st.totalWork
	for _, held := range s.versions {
		if held.Adapter == st.request.deployment.Adapter {
			st.version = held.Version
		}
	}
	s.running = append(s.running, st)
}

func (s *server) scheduleCompletion(sim *simulation) {
	s.eventEpoch++
	epoch, least := s.eventEpoch, math.Inf(1)
	for _, st := range s.running {
		least = min(least, st.remainingWork/st.speed)
	}
	if len(s.running) > 0 {
		sim.clock.After(seconds(max(0, least)*s.secondsPerToken())+time.Nanosecond, func() {
			if s.eventEpoch == epoch {
				s.completeStreams(sim)
			}
		})
	}
}

// completeStreams ends the streams that have no remaining work.
func (s *server) completeStreams(sim *simulation) {
	s.advance(sim.clock.Now())
	var ended []*stream
	s.running = slices.DeleteFunc(s.running, func(st *stream) bool {
		if st.remainingWork < 1e-6 {
			ended = append(ended, st)
			return true
		}
		return false
	})
	s.startWaiting(sim)
	for _, st := range ended {
		st.onComplete()
	}
}

// generatedTokens returns the number of answer tokens generated so far.
func (st *stream) generatedTokens() int {
	return int(min(max(0, st.totalWork-st.remainingWork-st.prefillWork), st.totalWork-st.prefillWork))
}

func (s *server) enqueue(sim *simulation, st *stream) {
	s.advance(sim.clock.Now())
	at := len(s.waiting)
	if st.request.class == core.ClassInteractive {
		if i := slices.IndexFunc(s.waiting, func(o *stream) bool { return o.request.class == core.ClassRollout }); i >= 0 {
			at = i
		}
	}
	s.waiting = slices.Insert(s.waiting, at, st)
	s.startWaiting(sim)
}

// cancel removes a stream from the server.
func (s *server) cancel(sim *simulation, st *stream) {
	s.advance(sim.clock.Now())
	same := func(o *stream) bool { return o == st }
	s.running = slices.DeleteFunc(s.running, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.startWaiting(sim)
}

// setSpeed changes the server's speed; factor 1 is normal speed.
func (s *server) setSpeed(sim *simulation, factor float64) {
	s.advance(sim.clock.Now())
	s.speedFactor = factor
	s.scheduleCompletion(sim)
}

// crash aborts every stream and clears the cache. The server is up again after
// downTime.
func (s *server) crash(sim *simulation, downTime time.Duration) {
	if !s.isUp {
		return
	}
	s.advance(sim.clock.Now())
	aborted := append(s.running, s.waiting...)
	s.running, s.waiting, s.isUp = nil, nil, false
	s.eventEpoch++
	s.cacheOrder, s.cachedBlocks, s.cacheEvents, s.nextEvent = list.New(), make(map[uint64]*list.Element), nil, 1
	sim.clock.After(downTime, func() { s.isUp = true })
	for _, st := range aborted {
		st.onFailure()
	}
}

// scheduleWeightLoad replaces an adapter's weights after weightLoadTime.
func (s *server) scheduleWeightLoad(sim *simulation, adapter core.AdapterName, version core.WeightVersion) {
	sim.clock.After(weightLoadTime, func() {
		for i := range s.versions {
			if held := &s.versions[i]; held.Adapter == adapter && held.Version < version {
				held.Version = version
			}
		}
	})
}

// cachePrompt caches a prompt's blocks and returns how many leading blocks were
// already cached.
func (s *server) cachePrompt(prefix []uint64) int {
	hits := 0
	for hits < len(prefix) && s.cachedBlocks[prefix[hits]] != nil {
		hits++
	}
	for _, hash := range slices.Backward(prefix) {
		if element := s.cachedBlocks[hash]; element != nil {
			s.cacheOrder.MoveToFront(element)
			continue
		}
		s.cachedBlocks[hash] = s.cacheOrder.PushFront(hash)
		s.addCacheEvent(core.CacheEvent{PrefixHash: hash})
		if s.cacheOrder.Len() > engineCacheBlocks {
			oldest := s.cacheOrder.Remove(s.cacheOrder.Back()).(uint64)
			delete(s.cachedBlocks, oldest)
			s.addCacheEvent(core.CacheEvent{PrefixHash: oldest, Evicted: true})
		}
	}
	return hits
}

func (s *server) addCacheEvent(event core.CacheEvent) {
	s.cacheEvents = append(s.cacheEvents, event)
	s.nextEvent++
}

// status returns the server's report. It omits a share of the cache events, which
// are lost.
func (s *server) status(random *rand.Rand) core.EngineStatus {
	kept := slices.DeleteFunc(s.cacheEvents, func(core.CacheEvent) bool { return random.Float64() < lostEventShare })
	s.cacheEvents = nil
	return core.EngineStatus{
		Server: s.vm.ID, Model: core.ModelName(s.vm.Service), Versions: slices.Clone(s.versions),
		RunningCount: len(s.running), QueuedCount: len(s.waiting), CacheEvents: kept, NextEvent: s.nextEvent,
	}
}

// newServers returns the servers of the site, initially with weight version 1.
func (s *siteConfig) newServers() (all []*server) {
	add := func(kind core.ServerKind, service string, counts [2]int) {
		for r, region := range s.regions {
			for i := range counts[r] {
				all = append(all, newServer(core.VM{
					ID: core.ServerID(fmt.Sprintf("%s-%s-%d", service, region, i)), Kind: kind, Service: service,
					Region: region, Zone: zoneOf(region, r == 0, i), State: core.VMLive,
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
			add(d.Kind, d.Service, s.engineCounts)
		} else {
			add(d.Kind, d.Service, s.plainCounts)
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
