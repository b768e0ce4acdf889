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
	TargetTime: 6 * time.Second, SwapTimeout: 10 * time.Second,
	BackoffBase: time.Second, BackoffMax: 30 * time.Second, IdleWeight: 0.5,
}

// newEngines returns engines in the given number of zones, with two zones per
// region.
func newEngines(count, zones int) []Engine {
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

func TestFailedSwapIsRetriedAfterBackoff(t *testing.T) {
	start := time.Unix(0, 0)
	engines := newEngines(1, 1)
	tests := []struct {
		name       string
		afterOrder func(*VersionRollout) // after the order at second 0
		later      time.Duration
		orders     int
		failures   int
	}{
		{"accepted, within its deadline", func(*VersionRollout) {}, 9 * time.Second, 0, 0},
		{"accepted, not served by its deadline", func(*VersionRollout) {}, 10 * time.Second, 0, 1},
		{"refused, within its backoff", func(r *VersionRollout) { r.OrderFailed("e0000", 2, testPolicy, start) }, 900 * time.Millisecond, 0, 0},
		{"refused, after its backoff", func(r *VersionRollout) { r.OrderFailed("e0000", 2, testPolicy, start) }, time.Second, 1, 0},
		{"refusal of an older order", func(r *VersionRollout) { r.OrderFailed("e0000", 1, testPolicy, start) }, time.Second, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rollout := NewVersionRollout()
			if first := rollout.Decide(engines, 2, testPolicy, start); len(first.EnginesToOrder) != 1 {
				t.Fatalf("first decision %+v, want one order", first)
			}
			test.afterOrder(rollout)
			got := rollout.Decide(engines, 2, testPolicy, start.Add(test.later))
			if len(got.EnginesToOrder) != test.orders || len(got.FailedEngines) != test.failures || got.BehindCount != 1 {
				t.Errorf("decision %+v, want %d orders, %d failures, 1 behind", got, test.orders, test.failures)
			}
		})
	}
}

// TestReportsShowThatALoadHasEnded sends one order at second 10 and passes
// reports measured at the given seconds to later decisions.
func TestReportsShowThatALoadHasEnded(t *testing.T) {
	type report struct {
		second           int
		version, loading core.WeightVersion
	}
	tests := []struct {
		name    string
		reports []report
		failed  int
	}{
		{"loading", []report{{11, 1, 2}, {18, 1, 2}}, 0},
		{"loaded", []report{{11, 1, 2}, {12, 2, 0}}, 0},
		{"stopped loading", []report{{11, 1, 2}, {12, 1, 0}}, 1},
		{"no load in an early report", []report{{12, 1, 0}}, 0},
		{"no load in a report after the silence period", []report{{15, 1, 0}}, 1},
		{"a report from before the order", []report{{9, 1, 2}, {9, 1, 0}}, 0},
		{"load only in a report from before the order", []report{{9, 1, 2}, {11, 1, 0}}, 0},
		{"adapter not present yet", []report{{18, 0, 0}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := testPolicy
			policy.LoadReportTimeout = 5 * time.Second
			engines, rollout, failed := newEngines(1, 1), NewVersionRollout(), 0
			rollout.Decide(engines, 2, policy, time.Unix(10, 0))
			for _, r := range test.reports {
				engines[0].Version, engines[0].Loading, engines[0].MeasuredAt = r.version, r.loading, time.Unix(int64(r.second), 0)
				failed += len(rollout.Decide(engines, 2, policy, time.Unix(19, 0)).FailedEngines)
			}
			if failed != test.failed {
				t.Errorf("%d failed swaps, want %d", failed, test.failed)
			}
		})
	}
}

// TestSuccessfulSwapIsNotFailedByNextVersion has the next version arrive
// together with the report that the first one is served. The first swap must
// not count as failed.
func TestSuccessfulSwapIsNotFailedByNextVersion(t *testing.T) {
	policy := testPolicy
	policy.LoadReportTimeout = 5 * time.Second
	engines, rollout := newEngines(1, 1), NewVersionRollout()
	rollout.Decide(engines, 2, policy, time.Unix(10, 0))
	engines[0].Loading, engines[0].MeasuredAt = 2, time.Unix(11, 0)
	rollout.Decide(engines, 2, policy, time.Unix(11, 0))
	engines[0].Version, engines[0].Loading, engines[0].MeasuredAt = 2, 0, time.Unix(12, 0)
	if got := rollout.Decide(engines, 3, policy, time.Unix(12, 0)); len(got.FailedEngines) != 0 || len(got.EnginesToOrder) != 1 {
		t.Errorf("decision %+v, want an order for version 3 and no failure", got)
	}
}

// TestPinnedVersionReplacesNewerVersions covers engines that serve or load
// newer versions than the wanted one.
func TestPinnedVersionReplacesNewerVersions(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name           string
		exact          bool
		serves, loads  core.WeightVersion
		orders, behind int
		awaitsLoading  bool
	}{
		{"newest wanted, newer served", false, 4, 0, 0, 0, false},
		{"pinned, newer served", true, 4, 0, 1, 1, false},
		{"pinned, older served", true, 2, 0, 1, 1, false},
		{"pinned, served", true, 3, 0, 0, 0, false},
		{"pinned, newer loading", true, 2, 4, 1, 1, false},
		{"pinned, loading", true, 4, 3, 0, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines := newEngines(1, 1)
			engines[0].Version, engines[0].Loading = test.serves, test.loads
			policy := testPolicy
			policy.ExactVersion = test.exact
			rollout := NewVersionRollout()
			got := rollout.Decide(engines, 3, policy, now)
			if len(got.EnginesToOrder) != test.orders || got.BehindCount != test.behind || (len(rollout.swaps) > test.orders) != test.awaitsLoading {
				t.Errorf("decision %+v with %d swaps, want %d orders, %d behind", got, len(rollout.swaps), test.orders, test.behind)
			}
		})
	}
}

// TestEngineIsNotOrderedWhileItLoads names a newer version while an engine that refuses
// orders during a load loads the one before.
func TestEngineIsNotOrderedWhileItLoads(t *testing.T) {
	start := time.Unix(0, 0)
	policy := testPolicy
	policy.OneLoadPerEngine = true
	r := NewVersionRollout()
	engine := []Engine{{Server: "e", Version: 1}}
	if orders := r.Decide(engine, 2, policy, start).EnginesToOrder; len(orders) != 1 {
		t.Fatalf("orders %v for version 2, want one", orders)
	}
	if orders := r.Decide(engine, 3, policy, start.Add(300*time.Millisecond)).EnginesToOrder; len(orders) != 0 {
		t.Errorf("orders %v for version 3 during the load of version 2, want none", orders)
	}
	engine[0].Version = 2
	if orders := r.Decide(engine, 3, policy, start.Add(time.Second)).EnginesToOrder; len(orders) != 1 {
		t.Errorf("orders %v for version 3 after the load, want one", orders)
	}
}

// TestWantedVersionChangesDuringSwap changes the wanted version during a swap.
// The new version must be ordered at once, and the end of the first swap must
// not count as a swap to it.
func TestWantedVersionChangesDuringSwap(t *testing.T) {
	now := time.Unix(0, 0)
	policy := testPolicy
	policy.ExactVersion = true
	engines, rollout := newEngines(1, 1), NewVersionRollout()
	for _, version := range []core.WeightVersion{8, 7} {
		if got := rollout.Decide(engines, version, policy, now); len(got.EnginesToOrder) != 1 {
			t.Fatalf("version %d: decision %+v, want an order", version, got)
		}
	}
	engines[0].Version = 8
	if got := rollout.Decide(engines, 7, policy, now.Add(time.Second)); got.BehindCount != 1 {
		t.Errorf("decision %+v, want an engine that serves version 8 to be behind version 7", got)
	}
}

func TestLoadOrderedByFormerHolderIsAwaited(t *testing.T) {
	now := time.Unix(0, 0)
	engines := newEngines(1, 1)
	engines[0].Loading = 2
	rollout := NewVersionRollout()
	if got := rollout.Decide(engines, 2, testPolicy, now); len(got.EnginesToOrder) != 0 {
		t.Errorf("ordered %v, want no order while the engine is loading", got.EnginesToOrder)
	}
	now = now.Add(testPolicy.SwapTimeout)
	if got := rollout.Decide(engines, 2, testPolicy, now); len(got.FailedEngines) != 1 {
		t.Errorf("decision %+v, want the load to have failed at its deadline", got)
	}
	if got := rollout.Decide(engines, 3, testPolicy, now.Add(testPolicy.BackoffBase)); len(got.EnginesToOrder) != 1 {
		t.Errorf("decision %+v, want an order for the next version", got)
	}
}

func TestLeastBusyEnginesSwapFirst(t *testing.T) {
	engines := newEngines(8, 1)
	policy := testPolicy
	policy.IdleWeight = 1
	got := NewVersionRollout().Decide(engines, 2, policy, time.Unix(0, 0)).EnginesToOrder
	slices.SortFunc(engines, func(a, b Engine) int { return a.InFlight - b.InFlight })
	if want := []core.ServerID{engines[0].Server, engines[1].Server}; !slices.Equal(got, want) {
		t.Errorf("orders %v, want %v", got, want)
	}
}

// TestAllEnginesSwapDespiteFailedOrders rolls out versions to engines that
// reject orders, lose replies and fail swaps.
func TestAllEnginesSwapDespiteFailedOrders(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	parameters.MinSuccessfulTests = 100
	properties := gopter.NewProperties(parameters)
	properties.Property("all served, waves bounded", prop.ForAll(func(count, zones int, idle float64, perRegion int, seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		policy := testPolicy
		policy.IdleWeight, policy.MaxLoadingPerRegion = idle, perRegion
		return rollOutToAll(newEngines(count, zones), policy, random)
	}, gen.IntRange(1, 40), gen.IntRange(1, 4), gen.Float64Range(0, 1), gen.IntRange(0, 3), gen.UInt64()))
	properties.TestingRun(t)
}

func rollOutToAll(engines []Engine, policy Policy, random *rand.Rand) bool {
	rollout, now := NewVersionRollout(), time.Unix(0, 0)
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
		decision := rollout.Decide(engines, 2, policy, now)
		if decision.BehindCount == 0 {
			return len(rollout.swaps) == 0
		}
		for _, server := range decision.EnginesToOrder {
			engine := engines[slices.IndexFunc(engines, func(e Engine) bool { return e.Server == server })]
			loading[engine.Region]++
			switch random.IntN(4) {
			case 0:
				rollout.OrderFailed(server, 2, policy, now)
			case 1: // accepted, but never takes effect
			default:
				due[server] = now.Add(2 * time.Second)
			}
		}
		for _, count := range loading {
			if policy.MaxLoadingPerRegion > 0 && count > policy.MaxLoadingPerRegion {
				return false
			}
		}
	}
	return false
}

// TestRolloutAtTwoYearSize measures the virtual time until 6,100 engines, the
// size expected in two years, serve a version, with loads of 1 s and decisions
// every 250 ms.
func TestRolloutAtTwoYearSize(t *testing.T) {
	for _, idle := range []float64{0, 0.2, 0.8, 1} {
		engines, policy, rollout := newEngines(6100, 12), testPolicy, NewVersionRollout()
		policy.IdleWeight = idle
		now := time.Unix(0, 0)
		due := map[core.ServerID]time.Time{}
		maxLoading := 0
		for now.Sub(time.Unix(0, 0)) < time.Minute {
			for i := range engines {
				if at, ok := due[engines[i].Server]; ok && !now.Before(at) {
					engines[i].Version = 2
					delete(due, engines[i].Server)
				}
			}
			decision := rollout.Decide(engines, 2, policy, now)
			if decision.BehindCount == 0 {
				break
			}
			for _, server := range decision.EnginesToOrder {
				due[server] = now.Add(time.Second)
			}
			maxLoading = max(maxLoading, len(due))
			now = now.Add(250 * time.Millisecond)
		}
		elapsed := now.Sub(time.Unix(0, 0))
		t.Logf("idle weight %.1f: all engines in %v, at most %.0f%% at once", idle, elapsed, 100*float64(maxLoading)/float64(len(engines)))
		if elapsed > policy.TargetTime {
			t.Errorf("idle weight %v: all engines after %v, want at most %v", idle, elapsed, policy.TargetTime)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, count := range []int{11, 100, 1000, 6100} {
		b.Run(fmt.Sprint(count, "/first"), func(b *testing.B) {
			engines := newEngines(count, 12)
			b.ReportAllocs()
			for b.Loop() {
				NewVersionRollout().Decide(engines, 2, testPolicy, time.Unix(0, 0))
			}
		})
		b.Run(fmt.Sprint(count, "/nothing to do"), func(b *testing.B) {
			engines, rollout := newEngines(count, 12), NewVersionRollout()
			b.ReportAllocs()
			for b.Loop() {
				rollout.Decide(engines, 1, testPolicy, time.Unix(0, 0))
			}
		})
	}
}
