package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// sizes are the servers of today's deployments and of the fleet to come.
var sizes = []int{11, 100, 1000, 6100}

// loadedState returns a state whose engines have reported three adapters at two
// versions, load and cached prefixes, spread over five regions (two when small).
func loadedState(servers int) (*State, *rand.Rand) {
	regions := []core.RegionName{"east", "west", "north", "south", "far"}
	if servers < 100 {
		regions = regions[:2]
	}
	vms := make([]core.VM, servers)
	for i := range vms {
		vms[i] = engineVM(i, regions[i%len(regions)])
	}
	state, random := stateOf(vms)
	state.SetProcesses(10, 5)
	for i, vm := range vms {
		version := core.WeightVersion(7 + i%10/8)
		status := core.EngineStatus{Server: vm.ID, Model: "coach", RunningCount: random.IntN(30), NextEvent: 1}
		for _, adapter := range []core.AdapterName{"a", "b", "c"} {
			status.Versions = append(status.Versions, core.AdapterVersion{Adapter: adapter, Version: version})
		}
		state.ApplyStatus(status, epoch)
		query := loadedQuery(i % 200)
		query.Region = vm.Region
		state.Begin(vm.ID, query, epoch)
	}
	return state, random
}

// loadedQuery asks with one of a number of prompts of 32 blocks whose first 8
// are common to all.
func loadedQuery(prompt int) Query {
	query := coachQuery()
	query.Adapter, query.Version, query.Zone = "b", 7, "east-0"
	query.Tokens = 1000
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

// fullScan is the baseline: the same filters and scorers over every server.
func fullScan(s *State, query Query, now time.Time) *core.VM {
	pool := s.pools[serviceKey{kind: query.Kind, service: query.Service}]
	s.begin(pool, &query, now)
	var best *core.VM
	var least float64
	for _, row := range s.rows {
		s.decision.count = 0
		if !s.offer(row, 0) {
			continue
		}
		if found := &s.decision.candidates[0]; best == nil || found.cost < least {
			best, least = found.VM, found.cost
		}
	}
	return best
}

func BenchmarkDecision(b *testing.B) {
	for _, servers := range sizes {
		state, random := loadedState(servers)
		var queries []Query
		for prompt := range 200 {
			queries = append(queries, loadedQuery(prompt))
		}
		now := epoch.Add(time.Second)
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
	vms := make([]core.VM, 0, len(state.rows))
	for _, row := range state.rows {
		vms = append(vms, row.vm)
	}
	b.Run("sweep", func(b *testing.B) {
		for range b.N {
			state.Sweep(epoch, random)
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
		status := state.rows[9].status
		status.Server = state.rows[9].vm.ID
		for range b.N {
			status.NextEvent += 32
			status.CacheEvents = stored(status.NextEvent, status.NextEvent+31)
			state.ApplyStatus(status, epoch)
		}
	})
}

func TestDecisionAllocatesNothing(t *testing.T) {
	for _, servers := range sizes {
		state, random := loadedState(servers)
		query := loadedQuery(3)
		now := epoch.Add(time.Second)
		allocations := testing.AllocsPerRun(1000, func() {
			vm, err := state.Pick(query, now, random)
			if err != nil {
				t.Fatal(err)
			}
			state.End(state.Begin(vm.ID, query, now), Result{}, now, random)
		})
		if allocations != 0 {
			t.Errorf("%d servers: %v allocations for a decision, want none", servers, allocations)
		}
	}
}

// The servers looked at must not grow with the pool, not even when all are dropped.
func TestDecisionLooksAtABoundedNumberOfServers(t *testing.T) {
	for _, servers := range sizes {
		state, random := loadedState(servers)
		query := loadedQuery(3)
		tries := 2*maxDraws + len(query.Exclude) + 1
		most := maxHolders + 2*(1+maxRegions)*tries
		looked := &refusingFilter{}
		state.filters = append([]Filter{looked}, state.filters...)
		for range 100 {
			looked.count = 0
			if _, err := state.Pick(query, epoch, random); !errkind.Is(err, errkind.NoServer) {
				t.Fatal(err)
			}
			if looked.count > most {
				t.Fatalf("%d servers: %d looked at, want at most %d", servers, looked.count, most)
			}
		}
	}
}

// refusingFilter drops every candidate and counts them.
type refusingFilter struct{ count int }

func (f *refusingFilter) Keep(*Candidate, *Query) bool {
	f.count++
	return false
}
