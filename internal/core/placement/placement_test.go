package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fescuespar/internal/core"
)

const testSeed = 20260301

var (
	matcher = Assignment{Model: "matcher"}
	coach   = Assignment{Model: "coach"}
	policy  = Policy{Headroom: 1.25, ShortageDelay: 30 * time.Second, MoveCooldown: 5 * time.Minute, MaxConcurrentMoves: 2}
)

func newServers(count int, assignment Assignment) []Server {
	servers := make([]Server, count)
	for i := range servers {
		servers[i] = Server{
			ID: core.ServerID(fmt.Sprintf("e%04d", i)), Zone: core.ZoneName(fmt.Sprintf("z%d", i%3)),
			Assignment: assignment, InFlightTokens: (i * 7919) % 1000,
		}
	}
	return servers
}

func demands(forMatcher, forCoach float64) []Demand {
	return []Demand{{Assignment: matcher, LoadServers: forMatcher, MinServers: 1}, {Assignment: coach, LoadServers: forCoach, MinServers: 1}}
}

// simulate makes a decision every 5 s, and applies its moves immediately. It
// returns the number of moves and the largest number of moves in one decision.
func simulate(servers []Server, steps int, load func(step int) (float64, float64)) (moves int, maxMoves int) {
	state, now := NewState(), time.Unix(0, 0)
	for step := range steps {
		decided := state.Decide(servers, demands(load(step)), policy, now)
		for _, move := range decided {
			for i := range servers {
				if servers[i].ID == move.Server {
					servers[i].Assignment = move.To
				}
			}
		}
		moves += len(decided)
		maxMoves = max(maxMoves, len(decided))
		now = now.Add(5 * time.Second)
	}
	return moves, maxMoves
}

func TestMovesFollowLastingDemandChanges(t *testing.T) {
	tests := []struct {
		name  string
		load  func(int) (float64, float64)
		moves int
	}{
		{"steady", func(int) (float64, float64) { return 6, 0 }, 1},
		{"lasting shift", func(int) (float64, float64) { return 3, 3 }, 4},
		{"peaks shorter than the shortage delay", func(step int) (float64, float64) {
			if step%6 < 5 {
				return 4, 3
			}
			return 4, 0
		}, 1},
		{"demand that alternates at the shortage delay", func(step int) (float64, float64) {
			if step/12%2 == 0 {
				return 6, 1
			}
			return 1, 6
		}, 9},
		{"more demand than servers", func(int) (float64, float64) { return 20, 20 }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servers := newServers(9, matcher)
			moves, maxMoves := simulate(servers, 60, test.load)
			if moves > test.moves || moves == 0 && test.moves > 0 {
				t.Errorf("%d moves in 5 minutes, want 1 to %d", moves, test.moves)
			}
			if maxMoves > policy.MaxConcurrentMoves {
				t.Errorf("%d moves in one decision, want at most %d", maxMoves, policy.MaxConcurrentMoves)
			}
		})
	}
}

func TestMovedServersAreSpreadOverZones(t *testing.T) {
	servers := newServers(9, matcher)
	for i := range servers {
		servers[i].InFlightTokens = 1000 * (i % 3) // all idle servers are in one zone
	}
	simulate(servers, 60, func(int) (float64, float64) { return 3, 2.4 })
	zones := map[core.ZoneName]int{}
	for _, server := range servers {
		if server.Assignment == coach {
			zones[server.Zone]++
		}
	}
	if len(zones) != 3 {
		t.Errorf("moved servers by zone: %v, want servers in all three zones", zones)
	}
}

func TestDonorAssignmentsKeepRequiredServers(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("donor assignments keep their required servers", prop.ForAll(func(count int, a, b float64) bool {
		servers := newServers(count, matcher)
		simulate(servers, 100, func(int) (float64, float64) { return a, b })
		counts := countServers(servers, demands(a, b), policy)
		donor := counts[matcher]
		return donor.assigned >= min(donor.required, count)
	}, gen.IntRange(1, 60), gen.Float64Range(0, 40), gen.Float64Range(0, 40)))
	properties.TestingRun(t)
}

func BenchmarkDecide(b *testing.B) {
	servers, state := newServers(6100, matcher), NewState()
	b.ReportAllocs()
	for b.Loop() {
		state.Decide(servers, demands(1000, 1000), Policy{Headroom: 1.25, MaxConcurrentMoves: 60}, time.Unix(0, 0))
	}
}
