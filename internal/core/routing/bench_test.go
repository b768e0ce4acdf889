package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// serverCounts are the sizes of the present deployments and of the planned fleet.
var serverCounts = []int{11, 100, 1000, 6100}

// loadedState returns a state with engines in five regions (two below 100
// servers) that have reported three adapters at two versions, load and cached
// prefixes.
func loadedState(servers int) (*State, *rand.Rand) {
	regions := []core.RegionName{"east", "west", "north", "south", "far"}
	if servers < 100 {
		regions = regions[:2]
	}
	vms := make([]core.VM, servers)
	for i := range vms {
		vms[i] = engineVM(i, regions[i%len(regions)])
	}
	state, random := newTestState(vms)
	state.SetProcessCounts(10, 5)
	for i, vm := range vms {
		version := core.WeightVersion(7 + i%10/8)
		status := core.EngineStatus{Server: vm.ID, Model: "coach", RunningCount: random.IntN(30), NextEvent: 1}
		for _, adapter := range []core.AdapterName{"a", "b", "c"} {
			status.Versions = append(status.Versions, core.AdapterVersion{Adapter: adapter, Version: version})
		}
		state.ApplyStatus(status, testStart)
		query := loadedQuery(i % 200)
		query.Region = vm.Region
		state.Begin(vm.ID, query, testStart)
	}
	return state, random
}

// loadedQuery returns a query with the numbered prompt of 32 blocks. The first 8
// blocks are the same in all prompts.
func loadedQuery(prompt int) Query {
	query := coachQuery()
	query.Adapter, query.Version, query.Zone = "b", 7, "east-0"
	query.ExpectedTokens = 1000
	query.Exclude = []core.ServerID{"engine-0000"}
	for block := range 32 {
		hash := uint64(block)
		if block >= 8 {
			hash += uint64(prompt+1) << 32
		}
		query.Prefix = append(query.Prefix, mix(hash))
	}
	return query
}

// fullScan is the baseline of the benchmark: it applies the same filters and
// scorers to every server.
func fullScan(s *State, query Query, now time.Time) *core.VM {
	pool := s.pools[serviceKey{kind: query.Kind, service: query.Service}]
	s.beginDecision(pool, &query, now)
	var best *core.VM
	var lowestCost float64
	for _, srv := range s.sortedServers {
		s.decision.candidateCount = 0
		if !s.addCandidate(srv, 0) {
			continue
		}
		if found := &s.decision.candidates[0]; best == nil || found.cost < lowestCost {
			best, lowestCost = found.VM, found.cost
		}
	}
	return best
}

func BenchmarkDecision(b *testing.B) {
	for _, servers := range serverCounts {
		state, random := loadedState(servers)
		var queries []Query
		for prompt := range 200 {
			queries = append(queries, loadedQuery(prompt))
		}
		now := testStart.Add(time.Second)
		b.Run(fmt.Sprintf("full scan/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				fullScan(state, queries[i%len(queries)], now)
			}
		})
		b.Run(fmt.Sprintf("pick/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				_, _ = state.Pick(queries[i%len(queries)], now, random)
			}
		})
		b.Run(fmt.Sprintf("pick, begin, end/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				query := queries[i%len(queries)]
				vm, _ := state.Pick(query, now, random)
				state.End(state.Begin(vm.ID, query, now), Result{}, now.Add(time.Second), random)
			}
		})
	}
}

func BenchmarkPeriodicWork(b *testing.B) {
	state, random := loadedState(6100)
	vms := make([]core.VM, 0, len(state.sortedServers))
	for _, srv := range state.sortedServers {
		vms = append(vms, srv.vm)
	}
	b.Run("sweep", func(b *testing.B) {
		for range b.N {
			state.Sweep(testStart, random)
		}
	})
	b.Run("VM list without a change", func(b *testing.B) {
		for range b.N {
			state.ApplyVMs(vms)
		}
	})
	b.Run("VM list with a change", func(b *testing.B) {
		for i := range b.N {
			state.ApplyVMs(vms[i%2:])
		}
	})
	b.Run("report with 32 cache events", func(b *testing.B) {
		status := state.sortedServers[9].status
		status.Server = state.sortedServers[9].vm.ID
		for range b.N {
			status.NextEvent += 32
			status.CacheEvents = storedEvents(status.NextEvent, status.NextEvent+31)
			state.ApplyStatus(status, testStart)
		}
	})
}

func TestDecisionAllocatesNothing(t *testing.T) {
	for _, servers := range serverCounts {
		state, random := loadedState(servers)
		query := loadedQuery(3)
		now := testStart.Add(time.Second)
		allocations := testing.AllocsPerRun(1000, func() {
			vm, err := state.Pick(query, now, random)
			if err != nil {
				t.Fatal(err)
			}
			state.End(state.Begin(vm.ID, query, now), Result{}, now, random)
		})
		if allocations != 0 {
			t.Errorf("%d servers: %v allocations per decision, want none", servers, allocations)
		}
	}
}

// TestDecisionExaminesBoundedNumberOfServers checks that the number of servers
// that a decision examines does not grow with the pool, even when a filter
// rejects all of them.
func TestDecisionExaminesBoundedNumberOfServers(t *testing.T) {
	for _, servers := range serverCounts {
		state, random := loadedState(servers)
		query := loadedQuery(3)
		tries := 2*maxRandomCandidates + len(query.Exclude) + 1
		limit := maxPrefixEntries + 2*(1+maxRemoteRegions)*tries
		examined := &countingFilter{}
		state.filters = append([]Filter{examined}, state.filters...)
		for range 100 {
			examined.count = 0
			if _, err := state.Pick(query, testStart, random); !errkind.Is(err, errkind.NoServer) {
				t.Fatal(err)
			}
			if examined.count > limit {
				t.Fatalf("%d servers: %d examined, want at most %d", servers, examined.count, limit)
			}
		}
	}
}

// countingFilter rejects every candidate and counts the calls.
type countingFilter struct{ count int }

func (f *countingFilter) Accepts(*Candidate, *Query) bool {
	f.count++
	return false
}
