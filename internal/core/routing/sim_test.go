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
	entry  int    // index of the entry VM that routes the request
	key    uint64 // conversation or group, for consistent hashing
	query  Query
	prompt int // tokens
	answer int // tokens
	bytes  int // total of prompt and answer
}

// simServer simulates a backend server whose streams share a token rate and
// whose cache of prompt blocks evicts the least recently used block.
type simServer struct {
	vm        core.VM
	perStream float64 // tokens per second
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
	simPrefillCost = 0.2  // in generated tokens
	simLostEvents  = 0.05 // lost share of the cache events
)

// simRouter is a routing policy under comparison.
type simRouter interface {
	route(request *simRequest, now time.Time) (server int, dispatch Dispatch)
	requestEnded(stream *simStream, now time.Time)
	report(status core.EngineStatus, measured time.Time)
}

type simReport struct {
	due    time.Duration
	status core.EngineStatus
}

// sim simulates requests to servers under one routing policy.
type sim struct {
	servers []*simServer
	router  simRouter
	random  *rand.Rand
	reports []simReport

	hitTokens, promptTokens, crossedBytes float64
	latencies                             []float64
	imbalance                             []float64 // samples of the largest divided by the mean number of streams
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
		s.deliverReports(now)
		for len(requests) > 0 && requests[0].at <= now {
			s.start(&requests[0], now)
			requests = requests[1:]
		}
		for _, server := range s.servers {
			s.advance(server, now)
		}
		if now%(100*time.Millisecond) == 0 && now > 5*time.Second {
			s.sampleImbalance()
		}
		if now%simReportEvery == 0 {
			s.queueReports(now)
		}
	}
}

func (s *sim) start(request *simRequest, now time.Duration) {
	index, dispatch := s.router.route(request, testStart.Add(now))
	server := s.servers[index]
	hit := server.cachePrompt(request.query.Prefix) * tokensPerBlock
	s.hitTokens += float64(hit)
	s.promptTokens += float64(len(request.query.Prefix) * tokensPerBlock)
	if server.vm.Region != request.query.Region {
		s.crossedBytes += float64(request.bytes)
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
			s.router.requestEnded(stream, testStart.Add(now))
			s.latencies = append(s.latencies, (now - stream.started).Seconds())
		}
	}
	server.running = slices.DeleteFunc(server.running, func(stream *simStream) bool { return stream.remaining <= 0 })
}

func (s *sim) queueReports(now time.Duration) {
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

func (s *sim) deliverReports(now time.Duration) {
	for len(s.reports) > 0 && s.reports[0].due <= now {
		s.router.report(s.reports[0].status, testStart.Add(s.reports[0].due-simReportLag))
		s.reports = s.reports[1:]
	}
}

func (s *sim) sampleImbalance() {
	largest, total := 0, 0
	for _, server := range s.servers {
		largest = max(largest, len(server.running))
		total += len(server.running)
	}
	if mean := float64(total) / float64(len(s.servers)); mean >= 1 {
		s.imbalance = append(s.imbalance, float64(largest)/mean)
	}
}

// cachePrompt adds a prompt's blocks to the cache and returns how many leading
// blocks were cached before.
func (s *simServer) cachePrompt(prefix []uint64) int {
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

// routed routes with this package, with one State for each entry VM.
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
		state.SetProcessCounts(entries, entries/2)
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

func (r *routed) requestEnded(stream *simStream, now time.Time) {
	result := Result{Outcome: outlier.Succeeded, Tokens: stream.request.answer, Bytes: stream.request.bytes}
	r.states[stream.request.entry].End(stream.dispatch, result, now, r.random)
}

func (r *routed) report(status core.EngineStatus, measured time.Time) {
	for _, state := range r.states {
		state.ApplyStatus(status, measured)
	}
}

// baseline routes with a function that chooses among the servers of the
// request's service.
type baseline struct {
	servers  []*simServer
	random   *rand.Rand
	reported []int   // streams in the newest report, the same for all entry VMs
	own      [][]int // streams of each entry VM on each server
	turns    []int   // request count of each entry VM, for round robin
	choose   func(b *baseline, request *simRequest, eligible []int) int
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
	var eligible []int
	for i, server := range b.servers {
		if server.vm.Service == request.query.Service {
			eligible = append(eligible, i)
		}
	}
	server := b.choose(b, request, eligible)
	b.own[request.entry][server]++
	return server, Dispatch{}
}

func (b *baseline) requestEnded(stream *simStream, _ time.Time) {
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

func roundRobin(b *baseline, request *simRequest, eligible []int) int {
	b.turns[request.entry]++
	return eligible[(b.turns[request.entry]+request.entry)%len(eligible)]
}

// consistentHash chooses the next point on a ring with 64 points per server.
func consistentHash(b *baseline, request *simRequest, eligible []int) int {
	best, nearest := 0, uint64(math.MaxUint64)
	for _, i := range eligible {
		for point := range 64 {
			if distance := pointHash(b.servers[i].vm.ID, point) - mix(request.key); distance <= nearest {
				best, nearest = i, distance
			}
		}
	}
	return best
}

func randomServer(b *baseline, _ *simRequest, eligible []int) int {
	return eligible[b.random.IntN(len(eligible))]
}

// leastReported chooses the server with the fewest streams in the last report.
func leastReported(b *baseline, _ *simRequest, eligible []int) int {
	return b.leastLoaded(eligible, func(i int) int { return b.reported[i] })
}

// leastReportedAndOwn adds the entry VM's own streams to the reported ones.
func leastReportedAndOwn(b *baseline, request *simRequest, eligible []int) int {
	return b.leastLoaded(eligible, func(i int) int { return b.reported[i] + b.own[request.entry][i] })
}

func (b *baseline) leastLoaded(eligible []int, load func(int) int) int {
	shuffled := slices.Clone(eligible)
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

// formatResult returns the results of a simulation as a line for the test log.
func (s *sim) formatResult(name string) string {
	return fmt.Sprintf("%-34s hit rate %5.1f%%  crossed %7.2f MB  latency mean %6.2f s p99 %6.2f s  max/mean %5.2f",
		name, 100*s.hitTokens/max(1, s.promptTokens), s.crossedBytes/1e6, mean(s.latencies), percentile(s.latencies, 0.99), mean(s.imbalance))
}
