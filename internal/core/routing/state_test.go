package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/errkind"
)

var testStart = time.Unix(1_000_000, 0)

func engineVM(i int, region core.RegionName) core.VM {
	return core.VM{
		ID: core.ServerID(fmt.Sprintf("engine-%04d", i)), Kind: core.KindEngine, Service: "coach",
		Zone: core.ZoneName(fmt.Sprintf("%s-%d", region, i%2)), Region: region, State: core.VMLive,
	}
}

func engineVMs(number int) []core.VM {
	vms := make([]core.VM, number)
	for i := range vms {
		vms[i] = engineVM(i, "east")
	}
	return vms
}

func newTestState(vms []core.VM) (*State, *rand.Rand) {
	state := NewState(DefaultPolicy())
	state.ApplyVMs(vms)
	return state, rand.New(rand.NewPCG(7, 7))
}

func coachQuery() Query {
	return Query{Kind: core.KindEngine, Service: "coach", Region: "east", ExpectedTokens: 100}
}

// countPicks counts the servers and error kinds of 400 decisions.
func countPicks(state *State, query Query, now time.Time, random *rand.Rand) map[core.ServerID]int {
	counts := make(map[core.ServerID]int)
	for range 400 {
		vm, err := state.Pick(query, now, random)
		if err != nil {
			counts[core.ServerID(errkind.Of(err))]++
			continue
		}
		counts[vm.ID]++
	}
	return counts
}

func TestIneligibleServersAreNotPicked(t *testing.T) {
	adapters := func(versions ...core.AdapterVersion) core.EngineStatus {
		return core.EngineStatus{Model: "coach", Versions: versions}
	}
	cases := []struct {
		name   string
		change func(*State, []core.VM, *rand.Rand)
		query  func(*Query)
		want   []core.ServerID // all servers that must be picked, and no others
	}{
		{"leaving server", func(s *State, vms []core.VM, _ *rand.Rand) {
			vms[1].State = core.VMLeaving
			s.ApplyVMs(vms)
		}, nil, []core.ServerID{"engine-0000", "engine-0002"}},
		{"removed server", func(s *State, vms []core.VM, _ *rand.Rand) { s.ApplyVMs(vms[:2]) },
			nil, []core.ServerID{"engine-0000", "engine-0001"}},
		{"all but one excluded", nil,
			func(q *Query) { q.Exclude = []core.ServerID{"engine-0000", "engine-0002"} }, []core.ServerID{"engine-0001"}},
		{"all excluded", nil,
			func(q *Query) { q.Exclude = []core.ServerID{"engine-0000", "engine-0001", "engine-0002"} },
			[]core.ServerID{"no_server"}},
		{"version of the right adapter", func(s *State, vms []core.VM, _ *rand.Rand) {
			for i, vm := range vms {
				status := adapters(core.AdapterVersion{Adapter: "a", Version: core.WeightVersion(i)},
					core.AdapterVersion{Adapter: "b", Version: 9})
				status.Server = vm.ID
				s.ApplyStatus(status, testStart)
			}
		}, func(q *Query) { q.Adapter, q.Version = "a", 2 }, []core.ServerID{"engine-0002"}},
		{"adapter held by no engine", func(s *State, vms []core.VM, _ *rand.Rand) {
			for _, vm := range vms {
				s.ApplyStatus(core.EngineStatus{Server: vm.ID, Model: "coach", Adapter: "a"}, testStart)
			}
		}, func(q *Query) { q.Adapter = "c" }, []core.ServerID{"no_server"}},
		{"engine that changed to another model", func(s *State, vms []core.VM, _ *rand.Rand) {
			s.ApplyStatus(core.EngineStatus{Server: vms[0].ID, Model: "other"}, testStart)
		}, nil, []core.ServerID{"engine-0001", "engine-0002"}},
		{"failing server", func(s *State, vms []core.VM, random *rand.Rand) {
			for range 3 {
				s.End(s.Begin(vms[0].ID, coachQuery(), testStart), Result{Outcome: outlier.Failed}, testStart, random)
			}
		}, nil, []core.ServerID{"engine-0001", "engine-0002"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			vms := engineVMs(3)
			state, random := newTestState(vms)
			if c.change != nil {
				c.change(state, vms, random)
			}
			query := coachQuery()
			if c.query != nil {
				c.query(&query)
			}
			got := countPicks(state, query, testStart, random)
			for _, id := range c.want {
				if got[id] == 0 {
					t.Errorf("%s never picked: %v", id, got)
				}
			}
			if len(got) != len(c.want) {
				t.Errorf("picked %v, want only %v", got, c.want)
			}
		})
	}
}

// TestOnlyRemainingServerIsFoundDespiteExclusions checks that the only server
// that is not excluded is found in a pool of any size, although only a few
// servers are drawn.
func TestOnlyRemainingServerIsFoundDespiteExclusions(t *testing.T) {
	state, random := newTestState(engineVMs(40))
	query := coachQuery()
	for i := range 39 {
		query.Exclude = append(query.Exclude, engineVM(i, "east").ID)
	}
	if got := countPicks(state, query, testStart, random); got["engine-0039"] != 400 {
		t.Errorf("picked %v, want engine-0039 every time", got)
	}
}

func TestEjectedServerReturns(t *testing.T) {
	state, random := newTestState(engineVMs(3))
	for range 3 {
		state.End(state.Begin("engine-0000", coachQuery(), testStart), Result{Outcome: outlier.Failed}, testStart, random)
	}
	state.Sweep(testStart.Add(time.Second), random)
	if got := countPicks(state, coachQuery(), testStart, random); got["engine-0000"] != 0 {
		t.Errorf("picked %v, want no ejected server", got)
	}
	state.Sweep(testStart.Add(time.Minute), random)
	if got := countPicks(state, coachQuery(), testStart.Add(2*time.Minute), random); got["engine-0000"] == 0 {
		t.Errorf("picked %v, want the server that returned to service among them", got)
	}
}

// TestUnreachableServerReturnsWithItsNextReport checks that a report measured
// before a failed connection attempt does not return the server to service, and
// that a report measured later does.
func TestUnreachableServerReturnsWithItsNextReport(t *testing.T) {
	state, random := newTestState(engineVMs(3))
	lost := core.ServerID("engine-0001")
	state.MarkUnreachable(lost, testStart)
	state.ApplyStatus(core.EngineStatus{Server: lost, Model: "coach"}, testStart.Add(-time.Second))
	if picked := countPicks(state, coachQuery(), testStart, random)[lost]; picked != 0 {
		t.Errorf("unreachable server picked %d times, want none", picked)
	}
	if !state.IsShortOfServers(core.KindEngine, "coach") {
		t.Error("service with one of three servers unreachable is not reported as short")
	}
	later := testStart.Add(time.Second)
	state.ApplyStatus(core.EngineStatus{Server: lost, Model: "coach"}, later)
	state.MarkUnreachable(lost, testStart)
	if countPicks(state, coachQuery(), later.Add(time.Minute), random)[lost] == 0 || state.IsShortOfServers(core.KindEngine, "coach") {
		t.Error("server not returned to service by a later report")
	}
}

// TestReportsAreNotCountedTwice checks that a report that includes this
// process's own streams does not add them to the load again, and that dispatches
// after the report count.
func TestReportsAreNotCountedTwice(t *testing.T) {
	cases := []struct {
		name    string
		before  int // streams begun before the report was measured
		after   int // streams begun after it
		others  int // streams of other processes in the report
		want    float64
		process int
	}{
		{"own streams in the report", 4, 0, 0, 400, 1},
		{"own streams after the report", 4, 2, 0, 600, 1},
		{"other processes' streams", 4, 0, 3, 700, 1},
		{"no own streams", 0, 0, 3, 300, 1},
		{"own and other streams after the report", 4, 2, 4, 600 + 400 + 200, 2},
	}
	for _, c := range cases {
		state, _ := newTestState(engineVMs(1))
		state.SetProcessCounts(c.process, c.process)
		srv := state.sortedServers[0]
		srv.pool.tokensPerStream = 100
		measured, now := testStart.Add(2*time.Second), testStart.Add(4*time.Second)
		for range c.before {
			state.Begin(srv.vm.ID, coachQuery(), testStart)
		}
		for range c.after {
			state.Begin(srv.vm.ID, coachQuery(), now)
		}
		status := core.EngineStatus{Server: srv.vm.ID, Model: "coach", RunningCount: c.before, QueuedCount: c.others}
		state.ApplyStatus(status, measured)
		got := srv.load.estimateTokens(srv.pool.peerRatio(state.processCount), time.Minute, now)
		if got != c.want {
			t.Errorf("%s: load %v tokens, want %v", c.name, got, c.want)
		}
	}
}

func TestEndIgnoresDispatchToRemovedServer(t *testing.T) {
	vms := engineVMs(1)
	state, random := newTestState(vms)
	begun := state.Begin(vms[0].ID, coachQuery(), testStart)
	state.ApplyVMs(nil)
	state.ApplyVMs(vms)
	state.Begin(vms[0].ID, coachQuery(), testStart)
	state.End(begun, Result{}, testStart, random)
	if got := state.Views()[0].OwnTokens; got != 100 {
		t.Errorf("%d tokens in flight, want the 100 of the second dispatch", got)
	}
}

// TestIdleConnectionsAreReused checks that with a cost for new connections
// sequential requests stay on one or two servers, and concurrent ones spread
// over the servers.
func TestIdleConnectionsAreReused(t *testing.T) {
	policy := DefaultPolicy()
	policy.ConnectionCost = 15 * time.Millisecond
	state := NewState(policy)
	var vms []core.VM
	for i := range 8 {
		vms = append(vms, core.VM{ID: core.ServerID(fmt.Sprint("desk-", i)), Kind: core.KindPlain, Service: "desk", Region: "east", State: core.VMLive})
	}
	state.ApplyVMs(vms)
	random := rand.New(rand.NewPCG(7, 7))
	query := Query{Kind: core.KindPlain, Service: "desk", Region: "east", ExpectedTokens: 1}
	used := make(map[core.ServerID]int)
	now := testStart
	for range 50 {
		vm, err := state.Pick(query, now, random)
		if err != nil {
			t.Fatal(err)
		}
		begun := state.Begin(vm.ID, query, now)
		now = now.Add(25 * time.Millisecond)
		state.End(begun, Result{Outcome: outlier.Succeeded}, now, random)
		used[vm.ID]++
		now = now.Add(time.Second)
	}
	if len(used) > 2 {
		t.Errorf("%d servers used for sequential requests, want at most 2", len(used))
	}
	busy := make(map[core.ServerID]int)
	for range 40 {
		vm, err := state.Pick(query, now, random)
		if err != nil {
			t.Fatal(err)
		}
		state.Begin(vm.ID, query, now)
		busy[vm.ID]++
	}
	if len(busy) < 6 {
		t.Errorf("40 concurrent requests used %d of 8 servers, want at least 6", len(busy))
	}
}
