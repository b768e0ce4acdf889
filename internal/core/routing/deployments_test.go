package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// site is a deployment with its real numbers of servers and entry VMs.
type site struct {
	name                 string
	home, away           core.RegionName
	engines, enginesAway int // in the home region and in the other region
	plains, plainsAway   int
	entriesAway          int // entry VMs in the other region, of simEntries
	trainers             int
}

var sites = []site{
	{name: "anerie", home: "qc-est", away: "qc-ouest", engines: 6, enginesAway: 3, plains: 2, plainsAway: 1, entriesAway: 3, trainers: 1},
	{name: "kootenay", home: "kootenay", away: "okanagan", engines: 5, enginesAway: 3, plains: 3, plainsAway: 2, entriesAway: 4, trainers: 2},
}

func (s *site) servers() (servers []*simServer) {
	add := func(kind core.ServerKind, service string, region core.RegionName, number int, perStream, total float64) {
		for i := range number {
			vm := core.VM{
				ID:   core.ServerID(fmt.Sprintf("%s-%s-%d", service, region, i)),
				Kind: kind, Service: service, Region: region, State: core.VMLive,
				Zone: core.ZoneName(fmt.Sprintf("%s-%d", region, i%2)),
			}
			servers = append(servers, newSimServer(vm, perStream, total))
		}
	}
	add(core.KindEngine, "coach", s.home, s.engines, 60, 1500)
	add(core.KindEngine, "coach", s.away, s.enginesAway, 60, 1500)
	add(core.KindPlain, "portal", s.home, s.plains, 20, 200)
	add(core.KindPlain, "portal", s.away, s.plainsAway, 20, 200)
	return servers
}

// workload generates two minutes of rollout groups, conversations and page
// loads.
func (s *site) workload(seed uint64) []simRequest {
	random := rand.New(rand.NewPCG(seed, 2))
	var requests []simRequest
	for trainer := range s.trainers {
		requests = append(requests, s.rolloutGroups(trainer, random)...)
	}
	requests = append(requests, s.conversations(random)...)
	requests = append(requests, s.pageLoads(random)...)
	slices.SortStableFunc(requests, func(a, b simRequest) int { return cmp.Compare(a.at, b.at) })
	return requests
}

const simDuration = 2 * time.Minute

// promptBlocks returns the block hashes of a prompt: first blocks that depend on
// common, then blocks that depend on key.
func promptBlocks(common, key uint64, blocks int) []uint64 {
	const commonBlocks = 8
	hashes := make([]uint64, blocks)
	for i := range hashes {
		hashes[i] = mix(common<<32 + uint64(i))
		if i >= commonBlocks {
			hashes[i] = mix(key<<32 + uint64(i))
		}
	}
	return hashes
}

func (s *site) request(at time.Duration, entry int, kind core.ServerKind, service string) simRequest {
	query := Query{Kind: kind, Service: service, Class: core.ClassInteractive, Region: s.home}
	if entry < s.entriesAway {
		query.Region = s.away
	}
	query.Zone = core.ZoneName(fmt.Sprintf("%s-%d", query.Region, entry%2))
	return simRequest{at: at, entry: entry, query: query}
}

// generate sets the sizes of a generation request. The query expects an answer
// of maxAnswer tokens.
func (r *simRequest) generate(prefix []uint64, answer, maxAnswer int) {
	r.query.Prefix = prefix
	r.prompt = len(prefix) * tokensPerBlock
	r.answer = answer
	r.query.ExpectedTokens = r.prompt + maxAnswer
	r.bytes = (r.prompt + answer) * bytesPerToken
}

// rolloutGroups returns groups of 8 samples of one prompt, sent through the
// trainer's entry VM.
func (s *site) rolloutGroups(trainer int, random *rand.Rand) (requests []simRequest) {
	rate := 1.6 / float64(s.trainers) // groups per second
	for at := time.Duration(0); at < simDuration; at += time.Duration(random.ExpFloat64() * float64(time.Second) / rate) {
		key := random.Uint64() >> 33
		for range 8 {
			r := s.request(at, simEntries-1-trainer, core.KindEngine, "coach")
			r.key, r.query.Class = key, core.ClassRollout
			r.generate(promptBlocks(uint64(trainer), key, 48), int(min(1500, 120*paretoSample(random))), 400)
			requests = append(requests, r)
		}
	}
	return requests
}

// conversations returns conversations whose prompts grow with each turn. Each
// turn goes through a random entry VM.
func (s *site) conversations(random *rand.Rand) (requests []simRequest) {
	for conversation := range uint64(120) {
		blocks := 12
		at := time.Duration(random.Float64() * float64(simDuration/2))
		for at < simDuration {
			r := s.request(at, random.IntN(simEntries), core.KindEngine, "coach")
			r.key = 1<<40 + conversation
			answer := int(min(600, 60*paretoSample(random)))
			r.generate(promptBlocks(99, r.key, blocks), answer, 200)
			requests = append(requests, r)
			blocks += 2 + answer/tokensPerBlock
			at += time.Duration((6 + 12*random.ExpFloat64()) * float64(time.Second))
		}
	}
	return requests
}

// pageLoads returns calls of the plain service through random entry VMs.
func (s *site) pageLoads(random *rand.Rand) (requests []simRequest) {
	for at := time.Duration(0); at < simDuration; at += time.Duration(random.ExpFloat64() * float64(time.Second) / 30) {
		r := s.request(at, random.IntN(simEntries), core.KindPlain, "portal")
		r.key = random.Uint64()
		r.query.ExpectedTokens, r.answer, r.bytes = 1, 1, 20_000
		r.query.ExpectedBytes = r.bytes
		requests = append(requests, r)
	}
	return requests
}

func (s *site) run(requests []simRequest, choose func(*baseline, *simRequest, []int) int, policy Policy) *sim {
	servers := s.servers()
	run := &sim{servers: servers, random: rand.New(rand.NewPCG(4, 4))}
	if choose != nil {
		run.router = newBaseline(servers, simEntries, choose)
	} else {
		run.router = newRouted(servers, simEntries, policy)
	}
	run.run(requests)
	return run
}

// TestCacheHitsAndCrossRegionVolume checks that routing reaches more cached
// tokens than round robin and sends fewer bytes across regions than both
// baselines. Consistent hashing uses the conversation
// or group of each request, which routing does not know.
func TestCacheHitsAndCrossRegionVolume(t *testing.T) {
	for i := range sites {
		site := &sites[i]
		for seed := range uint64(2) {
			requests := site.workload(seed)
			rotated := site.run(requests, roundRobin, Policy{})
			hashed := site.run(requests, consistentHash, Policy{})
			routed := site.run(requests, nil, DefaultPolicy())
			t.Logf("%s, seed %d, %d requests\n%s\n%s\n%s", site.name, seed, len(requests),
				rotated.formatResult("round robin"), hashed.formatResult("consistent hashing"), routed.formatResult("routing"))
			if routed.hitTokens <= rotated.hitTokens || routed.crossedBytes >= min(rotated.crossedBytes, hashed.crossedBytes) {
				t.Errorf("%s, seed %d: routing hit %.0f cached tokens and sent %.0f bytes across regions; want more than the %.0f tokens of round robin and fewer than the %.0f and %.0f bytes of round robin and consistent hashing",
					site.name, seed, routed.hitTokens, routed.crossedBytes, rotated.hitTokens, rotated.crossedBytes, hashed.crossedBytes)
			}
		}
	}
}
