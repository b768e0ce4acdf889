package routing

import (
	"cmp"
	"container/list"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
)

// simRequest is one request of a seeded workload.
type simRequest struct {
	at     time.Duration
	entry  int    // entry VM that routes it
	key    uint64 // conversation or group, for consistent hashing
	query  Query
	prompt int // tokens
	answer int // tokens
	bytes  int // of prompt and answer
}

// simServer is a fake backend server: streams share a token rate, and prompt
// blocks are cached, the least recently used one goes first.
type simServer struct {
	vm        core.VM
	perStream float64 // tokens a second
	total     float64
	running   []*simStream
	recent    *list.List
	blocks    map[uint64]*list.Element
	events    []core.CacheEvent
	next      uint64
}

type simStream struct {
	request   *simRequest
	dispatch  Dispatch
	server    int
	started   time.Duration
	remaining float64 // tokens
}

const (
	simTick        = 20 * time.Millisecond
	simReportEvery = time.Second
	simReportLag   = time.Second
	simCacheBlocks = 1500
	simPrefillCost = 0.2  // of a generated token
	simLostEvents  = 0.05 // share of the cache events
)

// simRouter is a policy under comparison.
type simRouter interface {
	route(request *simRequest, now time.Time) (server int, dispatch Dispatch)
	ended(stream *simStream, now time.Time)
	report(status core.EngineStatus, measured time.Time)
}

type simReport struct {
	due    time.Duration
	status core.EngineStatus
}

// sim runs requests against servers under one policy.
type sim struct {
	servers []*simServer
	router  simRouter
	random  *rand.Rand
	reports []simReport

	hits, prompts, crossed float64 // tokens, tokens, bytes
	latencies              []float64
	imbalance              []float64 // largest over mean number of streams
}

func newSimServer(vm core.VM, perStream, total float64) *simServer {
	return &simServer{
		vm: vm, perStream: perStream, total: total, next: 1,
		recent: list.New(), blocks: make(map[uint64]*list.Element),
	}
}

func (s *sim) run(requests []simRequest) {
	last := requests[len(requests)-1].at
	for now := time.Duration(0); now <= last; now += simTick {
		s.deliver(now)
		for len(requests) > 0 && requests[0].at <= now {
			s.start(&requests[0], now)
			requests = requests[1:]
		}
		for _, server := range s.servers {
			s.advance(server, now)
		}
		if now%(100*time.Millisecond) == 0 && now > 5*time.Second {
			s.measure()
		}
		if now%simReportEvery == 0 {
			s.takeReports(now)
		}
	}
}

func (s *sim) start(request *simRequest, now time.Duration) {
	index, dispatch := s.router.route(request, epoch.Add(now))
	server := s.servers[index]
	hit := server.use(request.query.Prefix) * tokensPerBlock
	s.hits += float64(hit)
	s.prompts += float64(len(request.query.Prefix) * tokensPerBlock)
	if server.vm.Region != request.query.Region {
		s.crossed += float64(request.bytes)
	}
	server.running = append(server.running, &simStream{
		request: request, dispatch: dispatch, server: index, started: now,
		remaining: float64(request.prompt-hit)*simPrefillCost + float64(request.answer),
	})
}

func (s *sim) advance(server *simServer, now time.Duration) {
	rate := min(server.perStream, server.total/float64(max(1, len(server.running))))
	for _, stream := range server.running {
		stream.remaining -= rate * simTick.Seconds()
		if stream.remaining <= 0 {
			s.router.ended(stream, epoch.Add(now))
			s.latencies = append(s.latencies, (now - stream.started).Seconds())
		}
	}
	server.running = slices.DeleteFunc(server.running, func(stream *simStream) bool { return stream.remaining <= 0 })
}

func (s *sim) takeReports(now time.Duration) {
	for _, server := range s.servers {
		if server.vm.Kind != core.KindEngine {
			continue
		}
		kept := slices.DeleteFunc(server.events, func(core.CacheEvent) bool { return s.random.Float64() < simLostEvents })
		s.reports = append(s.reports, simReport{due: now + simReportLag, status: core.EngineStatus{
			Server: server.vm.ID, Model: "coach", RunningCount: len(server.running),
			CacheEvents: kept, NextEvent: server.next,
		}})
		server.events = nil
	}
}

func (s *sim) deliver(now time.Duration) {
	for len(s.reports) > 0 && s.reports[0].due <= now {
		s.router.report(s.reports[0].status, epoch.Add(s.reports[0].due-simReportLag))
		s.reports = s.reports[1:]
	}
}

func (s *sim) measure() {
	most, all := 0, 0
	for _, server := range s.servers {
		most = max(most, len(server.running))
		all += len(server.running)
	}
	if mean := float64(all) / float64(len(s.servers)); mean >= 1 {
		s.imbalance = append(s.imbalance, float64(most)/mean)
	}
}

// use stores a prompt's blocks and returns how many leading ones were cached.
func (s *simServer) use(prefix []uint64) int {
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
		if s.recent.Len() > simCacheBlocks {
			oldest := s.recent.Remove(s.recent.Back()).(uint64)
			delete(s.blocks, oldest)
			s.emit(core.CacheEvent{PrefixHash: oldest, Evicted: true})
		}
	}
	return hits
}

func (s *simServer) emit(event core.CacheEvent) {
	s.events = append(s.events, event)
	s.next++
}

// routed is this package's policy: one State for each entry VM.
type routed struct {
	states []*State
	random *rand.Rand
	index  map[core.ServerID]int
}

func newRouted(servers []*simServer, entries int, policy Policy) *routed {
	r := &routed{random: rand.New(rand.NewPCG(11, 11)), index: make(map[core.ServerID]int)}
	var vms []core.VM
	for i, server := range servers {
		vms = append(vms, server.vm)
		r.index[server.vm.ID] = i
	}
	policy.PrefixEntries = 1 << 14
	for range entries {
		state := NewState(policy)
		state.ApplyVMs(vms)
		state.SetProcesses(entries, entries/2)
		r.states = append(r.states, state)
	}
	return r
}

func (r *routed) route(request *simRequest, now time.Time) (int, Dispatch) {
	state := r.states[request.entry]
	vm, err := state.Pick(request.query, now, r.random)
	if err != nil {
		panic(err)
	}
	return r.index[vm.ID], state.Begin(vm.ID, request.query, now)
}

func (r *routed) ended(stream *simStream, now time.Time) {
	result := Result{Outcome: outlier.Succeeded, Tokens: stream.request.answer, Bytes: stream.request.bytes}
	r.states[stream.request.entry].End(stream.dispatch, result, now, r.random)
}

func (r *routed) report(status core.EngineStatus, measured time.Time) {
	for _, state := range r.states {
		state.ApplyStatus(status, measured)
	}
}

// baseline routes by a function of the servers that run the request's service.
type baseline struct {
	servers  []*simServer
	random   *rand.Rand
	reported []int   // streams in the newest report, the same for all entry VMs
	own      [][]int // streams of each entry VM on each server
	turns    []int   // of each entry VM, for round robin
	choose   func(b *baseline, request *simRequest, fit []int) int
}

func newBaseline(servers []*simServer, entries int, choose func(*baseline, *simRequest, []int) int) *baseline {
	b := &baseline{
		servers: servers, random: rand.New(rand.NewPCG(12, 12)), choose: choose,
		reported: make([]int, len(servers)), turns: make([]int, entries),
	}
	for range entries {
		b.own = append(b.own, make([]int, len(servers)))
	}
	return b
}

func (b *baseline) route(request *simRequest, _ time.Time) (int, Dispatch) {
	var fit []int
	for i, server := range b.servers {
		if server.vm.Service == request.query.Service {
			fit = append(fit, i)
		}
	}
	server := b.choose(b, request, fit)
	b.own[request.entry][server]++
	return server, Dispatch{}
}

func (b *baseline) ended(stream *simStream, _ time.Time) {
	b.own[stream.request.entry][stream.server]--
}

func (b *baseline) report(status core.EngineStatus, _ time.Time) {
	for i, server := range b.servers {
		if server.vm.ID == status.Server {
			b.reported[i] = status.RunningCount
		}
	}
}

func pointHash(id core.ServerID, point int) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return mix(hash.Sum64() + uint64(point))
}

// mix spreads a hash evenly over 64 bits (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func roundRobin(b *baseline, request *simRequest, fit []int) int {
	b.turns[request.entry]++
	return fit[(b.turns[request.entry]+request.entry)%len(fit)]
}

// consistentHash takes the next point of a ring with 64 points a server.
func consistentHash(b *baseline, request *simRequest, fit []int) int {
	best, least := 0, uint64(math.MaxUint64)
	for _, i := range fit {
		for point := range 64 {
			if distance := pointHash(b.servers[i].vm.ID, point) - mix(request.key); distance <= least {
				best, least = i, distance
			}
		}
	}
	return best
}

func atRandom(b *baseline, _ *simRequest, fit []int) int { return fit[b.random.IntN(len(fit))] }

// leastReported takes the server with the fewest streams in the last report.
func leastReported(b *baseline, _ *simRequest, fit []int) int {
	return b.least(fit, func(i int) int { return b.reported[i] })
}

// leastCounted adds the entry VM's own streams to the report.
func leastCounted(b *baseline, request *simRequest, fit []int) int {
	return b.least(fit, func(i int) int { return b.reported[i] + b.own[request.entry][i] })
}

func (b *baseline) least(fit []int, load func(int) int) int {
	shuffled := slices.Clone(fit)
	b.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return slices.MinFunc(shuffled, func(i, j int) int { return cmp.Compare(load(i), load(j)) })
}

func mean(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}

func percentile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(share*float64(len(sorted)-1))]
}

// row formats what a policy reached, for the log of a test.
func (s *sim) row(name string) string {
	return fmt.Sprintf("%-34s hit rate %5.1f%%  crossed %7.2f MB  latency mean %6.2f s p99 %6.2f s  max/mean %5.2f",
		name, 100*s.hits/max(1, s.prompts), s.crossed/1e6, mean(s.latencies), percentile(s.latencies, 0.99), mean(s.imbalance))
}
