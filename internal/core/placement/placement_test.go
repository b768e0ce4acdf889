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
	policy  = Policy{Headroom: 1.25, Settle: 30 * time.Second, Rest: 5 * time.Minute, MovesAtOnce: 2}
)

func fleet(count int, runs Assignment) []Server {
	servers := make([]Server, count)
	for i := range servers {
		servers[i] = Server{
			ID: core.ServerID(fmt.Sprintf("e%04d", i)), Zone: core.ZoneName(fmt.Sprintf("z%d", i%3)),
			Runs: runs, InFlight: (i * 7919) % 1000,
		}
	}
	return servers
}

func demands(forMatcher, forCoach float64) []Demand {
	return []Demand{{Assignment: matcher, Load: forMatcher, Least: 1}, {Assignment: coach, Load: forCoach, Least: 1}}
}

// run gives decisions every 5 s and lets each move take effect at once.
func run(servers []Server, steps int, load func(step int) (float64, float64)) (moves int, most int) {
	state, now := NewState(), time.Unix(0, 0)
	for step := range steps {
		decided := state.Decide(servers, demands(load(step)), policy, now)
		for _, move := range decided {
			for i := range servers {
				if servers[i].ID == move.Server {
					servers[i].Runs = move.To
				}
			}
		}
		moves += len(decided)
		most = max(most, len(decided))
		now = now.Add(5 * time.Second)
	}
	return moves, most
}

func TestMovesFollowDemandButNotItsPeaks(t *testing.T) {
	tests := []struct {
		name  string
		load  func(int) (float64, float64)
		moves int
	}{
		{"steady", func(int) (float64, float64) { return 6, 0 }, 1},
		{"lasting shift", func(int) (float64, float64) { return 3, 3 }, 4},
		{"peaks shorter than the settle time", func(step int) (float64, float64) {
			if step%6 < 5 {
				return 4, 3
			}
			return 4, 0
		}, 1},
		{"demand that swings with the settle time", func(step int) (float64, float64) {
			if step/12%2 == 0 {
				return 6, 1
			}
			return 1, 6
		}, 9},
		{"too much of all", func(int) (float64, float64) { return 20, 20 }, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servers := fleet(9, matcher)
			moves, most := run(servers, 60, test.load)
			if moves > test.moves || moves == 0 && test.moves > 0 {
				t.Errorf("%d moves in 5 minutes, want 1 to %d", moves, test.moves)
			}
			if most > policy.MovesAtOnce {
				t.Errorf("%d moves at once, want at most %d", most, policy.MovesAtOnce)
			}
		})
	}
}

func TestNewServersAreSpreadOverZones(t *testing.T) {
	servers := fleet(9, matcher)
	for i := range servers {
		servers[i].InFlight = 1000 * (i % 3) // the idle ones are all in one zone
	}
	run(servers, 60, func(int) (float64, float64) { return 3, 2.4 })
	zones := map[core.ZoneName]int{}
	for _, server := range servers {
		if server.Runs == coach {
			zones[server.Zone]++
		}
	}
	if len(zones) != 3 {
		t.Errorf("zones of the moved servers = %v, want all three", zones)
	}
}

func TestNoDonorFallsShort(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("wanted counts hold where they held", prop.ForAll(func(count int, a, b float64) bool {
		servers := fleet(count, matcher)
		run(servers, 100, func(int) (float64, float64) { return a, b })
		counts := countAll(servers, demands(a, b), policy)
		kept := counts[matcher]
		return kept.have >= min(kept.want, count)
	}, gen.IntRange(1, 60), gen.Float64Range(0, 40), gen.Float64Range(0, 40)))
	properties.TestingRun(t)
}

func BenchmarkDecide(b *testing.B) {
	servers, state := fleet(6100, matcher), NewState()
	b.ReportAllocs()
	for b.Loop() {
		state.Decide(servers, demands(1000, 1000), Policy{Headroom: 1.25, MovesAtOnce: 60}, time.Unix(0, 0))
	}
}
