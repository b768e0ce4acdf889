package weights

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fescuespar/internal/core"
)

const testSeed = 20260301

var testPolicy = Policy{
	Target: 6 * time.Second, SwapTimeout: 10 * time.Second,
	BackoffBase: time.Second, BackoffMax: 30 * time.Second, IdleWeight: 0.5,
}

// fleet returns engines spread over zones, two of which make a region.
func fleet(count, zones int) []Engine {
	engines := make([]Engine, count)
	for i := range engines {
		zone := i % zones
		engines[i] = Engine{
			Server: core.ServerID(fmt.Sprintf("e%04d", i)), Zone: core.ZoneName(fmt.Sprintf("z%d", zone)),
			Region: core.RegionName(fmt.Sprintf("r%d", zone/2)), Version: 1, InFlight: (i * 7919) % 1000,
		}
	}
	return engines
}

func TestFailedSwapIsKnownAndGivenAgainAfterABackoff(t *testing.T) {
	start := time.Unix(0, 0)
	engines := fleet(1, 1)
	tests := []struct {
		name     string
		fault    func(*Roll) // after the order was given at second 0
		later    time.Duration
		orders   int
		failures int
	}{
		{"accepted, within its deadline", func(*Roll) {}, 9 * time.Second, 0, 0},
		{"accepted, no effect by its deadline", func(*Roll) {}, 10 * time.Second, 0, 1},
		{"refused, within its backoff", func(r *Roll) { r.Refused("e0000", 2, testPolicy, start) }, 900 * time.Millisecond, 0, 0},
		{"refused, after its backoff", func(r *Roll) { r.Refused("e0000", 2, testPolicy, start) }, time.Second, 1, 0},
		{"an older order's refusal", func(r *Roll) { r.Refused("e0000", 1, testPolicy, start) }, time.Second, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roll := NewRoll()
			if first := roll.Decide(engines, 2, testPolicy, start); len(first.Orders) != 1 {
				t.Fatalf("first decision %+v, want one order", first)
			}
			test.fault(roll)
			got := roll.Decide(engines, 2, testPolicy, start.Add(test.later))
			if len(got.Orders) != test.orders || len(got.Failed) != test.failures || got.Behind != 1 {
				t.Errorf("decision %+v, want %d orders, %d failures, 1 behind", got, test.orders, test.failures)
			}
		})
	}
}

// TestReportsTellThatALoadHasEnded gives one order at second 10 and shows the
// decision reports that were measured later, at the seconds given.
func TestReportsTellThatALoadHasEnded(t *testing.T) {
	type report struct {
		second           int
		version, loading core.WeightVersion
	}
	tests := []struct {
		name    string
		reports []report
		failed  int
	}{
		{"loads", []report{{11, 1, 2}, {18, 1, 2}}, 0},
		{"loaded", []report{{11, 1, 2}, {12, 2, 0}}, 0},
		{"stopped loading", []report{{11, 1, 2}, {12, 1, 0}}, 1},
		{"no load in a young report", []report{{12, 1, 0}}, 0},
		{"no load in a report after the silence", []report{{15, 1, 0}}, 1},
		{"a report from before the order", []report{{9, 1, 2}, {9, 1, 0}}, 0},
		{"the load seen in a report from before the order", []report{{9, 1, 2}, {11, 1, 0}}, 0},
		{"adapter not held yet", []report{{18, 0, 0}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := testPolicy
			policy.Silence = 5 * time.Second
			engines, roll, failed := fleet(1, 1), NewRoll(), 0
			roll.Decide(engines, 2, policy, time.Unix(10, 0))
			for _, r := range test.reports {
				engines[0].Version, engines[0].Loading, engines[0].Measured = r.version, r.loading, time.Unix(int64(r.second), 0)
				failed += len(roll.Decide(engines, 2, policy, time.Unix(19, 0)).Failed)
			}
			if failed != test.failed {
				t.Errorf("%d failed, want %d", failed, test.failed)
			}
		})
	}
}

// TestNextVersionDoesNotCountASwapThatWorked has the next version come before
// the report of the first one's load.
func TestNextVersionDoesNotCountASwapThatWorked(t *testing.T) {
	policy := testPolicy
	policy.Silence = 5 * time.Second
	engines, roll := fleet(1, 1), NewRoll()
	roll.Decide(engines, 2, policy, time.Unix(10, 0))
	engines[0].Loading, engines[0].Measured = 2, time.Unix(11, 0)
	roll.Decide(engines, 2, policy, time.Unix(11, 0))
	engines[0].Version, engines[0].Loading, engines[0].Measured = 2, 0, time.Unix(12, 0)
	if got := roll.Decide(engines, 3, policy, time.Unix(12, 0)); len(got.Failed) != 0 || len(got.Orders) != 1 {
		t.Errorf("decision %+v, want an order for version 3 and no failure", got)
	}
}

// TestPinnedVersionTakesEnginesBack decides about engines that serve or load
// newer versions than the one wanted.
func TestPinnedVersionTakesEnginesBack(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name            string
		exact           bool
		serves, loads   core.WeightVersion
		orders, behind  int
		loadingIsWaited bool
	}{
		{"newest wanted, newer served", false, 4, 0, 0, 0, false},
		{"pinned, newer served", true, 4, 0, 1, 1, false},
		{"pinned, older served", true, 2, 0, 1, 1, false},
		{"pinned, served", true, 3, 0, 0, 0, false},
		{"pinned, newer loads", true, 2, 4, 1, 1, false},
		{"pinned, loads", true, 4, 3, 0, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines := fleet(1, 1)
			engines[0].Version, engines[0].Loading = test.serves, test.loads
			policy := testPolicy
			policy.Exact = test.exact
			roll := NewRoll()
			got := roll.Decide(engines, 3, policy, now)
			if len(got.Orders) != test.orders || got.Behind != test.behind || (len(roll.swaps) > test.orders) != test.loadingIsWaited {
				t.Errorf("decision %+v with %d swaps, want %d orders, %d behind", got, len(roll.swaps), test.orders, test.behind)
			}
		})
	}
}

// TestPinMovedBeforeItsSwapEnds orders another version at once, and does not
// take the first swap's end for it.
func TestPinMovedBeforeItsSwapEnds(t *testing.T) {
	now := time.Unix(0, 0)
	policy := testPolicy
	policy.Exact = true
	engines, roll := fleet(1, 1), NewRoll()
	for _, version := range []core.WeightVersion{8, 7} {
		if got := roll.Decide(engines, version, policy, now); len(got.Orders) != 1 {
			t.Fatalf("version %d: %+v, want an order", version, got)
		}
	}
	engines[0].Version = 8
	if got := roll.Decide(engines, 7, policy, now.Add(time.Second)); got.Behind != 1 {
		t.Errorf("an engine on 8 counts as swapped to 7: %+v", got)
	}
}

func TestAnotherHoldersLoadIsWaitedForAndThenReplaced(t *testing.T) {
	now := time.Unix(0, 0)
	engines := fleet(1, 1)
	engines[0].Loading = 2
	roll := NewRoll()
	if got := roll.Decide(engines, 2, testPolicy, now); len(got.Orders) != 0 {
		t.Errorf("ordered %v while it loads already", got.Orders)
	}
	now = now.Add(testPolicy.SwapTimeout)
	if got := roll.Decide(engines, 2, testPolicy, now); len(got.Failed) != 1 {
		t.Errorf("decision %+v, want the stuck load to have failed", got)
	}
	if got := roll.Decide(engines, 3, testPolicy, now.Add(testPolicy.BackoffBase)); len(got.Orders) != 1 {
		t.Errorf("decision %+v, want an order for the next version", got)
	}
}

func TestLeastBusyEnginesSwapFirst(t *testing.T) {
	engines := fleet(8, 1)
	policy := testPolicy
	policy.IdleWeight = 1
	got := NewRoll().Decide(engines, 2, policy, time.Unix(0, 0)).Orders
	slices.SortFunc(engines, func(a, b Engine) int { return a.InFlight - b.InFlight })
	if want := []core.ServerID{engines[0].Server, engines[1].Server}; !slices.Equal(got, want) {
		t.Errorf("orders %v, want %v", got, want)
	}
}

// TestEveryEngineIsServedThoughOrdersFail rolls versions over engines that
// refuse, lose replies and fail swaps.
func TestEveryEngineIsServedThoughOrdersFail(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	parameters.MinSuccessfulTests = 100
	properties := gopter.NewProperties(parameters)
	properties.Property("all served, waves bounded", prop.ForAll(func(count, zones int, idle float64, perRegion int, seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		policy := testPolicy
		policy.IdleWeight, policy.PerRegion = idle, perRegion
		return rollAll(fleet(count, zones), policy, random)
	}, gen.IntRange(1, 40), gen.IntRange(1, 4), gen.Float64Range(0, 1), gen.IntRange(0, 3), gen.UInt64()))
	properties.TestingRun(t)
}

func rollAll(engines []Engine, policy Policy, random *rand.Rand) bool {
	roll, now := NewRoll(), time.Unix(0, 0)
	due := map[core.ServerID]time.Time{}
	for range 4000 {
		now = now.Add(250 * time.Millisecond)
		loading := map[core.RegionName]int{}
		for i := range engines {
			at, ok := due[engines[i].Server]
			if ok && !now.Before(at) {
				engines[i].Version = 2
				delete(due, engines[i].Server)
			}
		}
		decision := roll.Decide(engines, 2, policy, now)
		if decision.Behind == 0 {
			return len(roll.swaps) == 0
		}
		for _, server := range decision.Orders {
			engine := engines[slices.IndexFunc(engines, func(e Engine) bool { return e.Server == server })]
			loading[engine.Region]++
			switch random.IntN(4) {
			case 0:
				roll.Refused(server, 2, policy, now)
			case 1: // accepted, and never takes effect
			default:
				due[server] = now.Add(2 * time.Second)
			}
		}
		for _, count := range loading {
			if policy.PerRegion > 0 && count > policy.PerRegion {
				return false
			}
		}
	}
	return false
}

// TestRollAtTheTwoYearSize gives the virtual time until 6,100 engines serve a
// version, for loads of 1 s and decisions every 250 ms.
func TestRollAtTheTwoYearSize(t *testing.T) {
	for _, idle := range []float64{0, 0.2, 0.8, 1} {
		engines, policy, roll := fleet(6100, 12), testPolicy, NewRoll()
		policy.IdleWeight = idle
		now := time.Unix(0, 0)
		due := map[core.ServerID]time.Time{}
		most := 0
		for now.Sub(time.Unix(0, 0)) < time.Minute {
			for i := range engines {
				if at, ok := due[engines[i].Server]; ok && !now.Before(at) {
					engines[i].Version = 2
					delete(due, engines[i].Server)
				}
			}
			decision := roll.Decide(engines, 2, policy, now)
			if decision.Behind == 0 {
				break
			}
			for _, server := range decision.Orders {
				due[server] = now.Add(time.Second)
			}
			most = max(most, len(due))
			now = now.Add(250 * time.Millisecond)
		}
		took := now.Sub(time.Unix(0, 0))
		t.Logf("idle weight %.1f: all engines in %v, at most %.0f%% at once", idle, took, 100*float64(most)/float64(len(engines)))
		if took > policy.Target {
			t.Errorf("idle weight %v: %v, want at most %v", idle, took, policy.Target)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, count := range []int{11, 100, 1000, 6100} {
		b.Run(fmt.Sprint(count, "/first"), func(b *testing.B) {
			engines := fleet(count, 12)
			b.ReportAllocs()
			for b.Loop() {
				NewRoll().Decide(engines, 2, testPolicy, time.Unix(0, 0))
			}
		})
		b.Run(fmt.Sprint(count, "/nothing to do"), func(b *testing.B) {
			engines, roll := fleet(count, 12), NewRoll()
			b.ReportAllocs()
			for b.Loop() {
				roll.Decide(engines, 1, testPolicy, time.Unix(0, 0))
			}
		})
	}
}
