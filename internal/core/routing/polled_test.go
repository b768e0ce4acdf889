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

// sampledPolls delivers to each entry VM only the reports of the engines that it
// polls, one report per engine in the given number of seconds.
type sampledPolls struct {
	*routed
	polled  []map[core.ServerID]bool // by entry VM; nil for all engines
	seconds int
	reports map[core.ServerID]int
}

// newSampledPolls makes each entry VM poll the first count servers of its own
// ordering; the entry VM pollsAll polls every server. If routeToUnpolled is set,
// entry VMs also route requests to the servers that they do not poll.
func newSampledPolls(r *routed, servers []*simServer, count, seconds, pollsAll int, routeToUnpolled bool) *sampledPolls {
	p := &sampledPolls{routed: r, seconds: seconds, reports: make(map[core.ServerID]int)}
	for entry, state := range r.states {
		order := slices.Clone(servers)
		slices.SortFunc(order, func(a, b *simServer) int {
			return cmp.Compare(pointHash(a.vm.ID, entry+1), pointHash(b.vm.ID, entry+1))
		})
		var polled map[core.ServerID]bool
		if entry != pollsAll && count < len(servers) {
			polled = make(map[core.ServerID]bool)
			for _, server := range order[:count] {
				polled[server.vm.ID] = true
			}
		}
		if routeToUnpolled {
			state.SetPolledEngines(polled)
		}
		p.polled = append(p.polled, polled)
	}
	return p
}

func (p *sampledPolls) report(status core.EngineStatus, measured time.Time) {
	p.reports[status.Server]++
	for entry, state := range p.states {
		if p.polled[entry] != nil && !p.polled[entry][status.Server] {
			continue
		}
		if turn := p.reports[status.Server]; turn == 1 || (turn+entry)%p.seconds == 0 {
			state.ApplyStatus(status, measured)
		}
	}
}

// Size and duration of the fleet simulation: a tenth of the fleet size expected in
// two years.
const (
	fleetEntries = 61
	fleetEngines = 610
	fleetLength  = 33 * time.Second
)

// fleetLoad returns requests like those of herdingLoad for the fleet. If hot is
// set, a tenth of them is redirected to the first entry VM.
func fleetLoad(seed uint64, hot bool) []simRequest {
	random := rand.New(rand.NewPCG(seed, 1))
	var requests []simRequest
	for at := time.Duration(0); at < fleetLength; {
		at += time.Duration(random.ExpFloat64() * float64(time.Second) * 9 / 33 / fleetEngines)
		answer := int(min(2000, 120*paretoSample(random)))
		query := coachQuery()
		query.ExpectedTokens = 400
		entry := random.IntN(fleetEntries)
		if hot && random.IntN(10) == 0 {
			entry = 0
		}
		requests = append(requests, simRequest{at: at, entry: entry, query: query, answer: answer, bytes: answer * bytesPerToken})
	}
	return requests
}

// fleetSim returns a simulation of the fleet in which every ninth engine runs at
// the given share of the others' speed.
func fleetSim(count, seconds int, routeToUnpolled bool, slowest float64) *sim {
	var servers []*simServer
	for i, vm := range engineVMs(fleetEngines) {
		server := newSimServer(vm, 60, 1500)
		if i%9 == 0 {
			server.total *= slowest
			server.perStream *= slowest
		}
		servers = append(servers, server)
	}
	s := &sim{servers: servers, random: rand.New(rand.NewPCG(3, 3))}
	s.router = newSampledPolls(newRouted(servers, fleetEntries, DefaultPolicy()), servers, count, seconds, -1, routeToUnpolled)
	return s
}

// TestSampledReportsBalanceLikeFullReports gives each entry VM the reports of 16
// engines, one in 18 s each. Load must be balanced about as well as with all
// reports of all engines: the mean latency may be higher by the factor
// maxSlowdown.
func TestSampledReportsBalanceLikeFullReports(t *testing.T) {
	const maxSlowdown = 1.05
	variants := []struct {
		name            string
		count, seconds  int
		routeToUnpolled bool
	}{
		{"all polled each second", fleetEngines, 1, false},
		{"8 polled, others unused", 8, 1, false},
		{"16 polled, others unused", 16, 1, false},
		{"32 polled, others unused", 32, 1, false},
		{"32 every 15 s, others unused", 32, 15, false},
		{"8 polled", 8, 1, true},
		{"32 polled", 32, 1, true},
		{"32 every 5 s", 32, 5, true},
		{"16 every 18 s", 16, 18, true},
	}
	if !testing.Verbose() {
		variants = slices.Delete(variants, 1, len(variants)-1)
	}
	for seed := range uint64(2) {
		for _, slowest := range []float64{1, 0.4} {
			requests := fleetLoad(seed, seed == 1)
			var fullLatency, lastLatency float64
			for i, variant := range variants {
				s := fleetSim(variant.count, variant.seconds, variant.routeToUnpolled, slowest)
				s.run(slices.Clone(requests))
				lastLatency = mean(s.latencies)
				if i == 0 {
					fullLatency = lastLatency
				}
				t.Log(s.formatResult(fmt.Sprintf("seed %d, slowest at %.1f: %s", seed, slowest, variant.name)))
			}
			if lastLatency > fullLatency*maxSlowdown {
				t.Errorf("seed %d: mean latency %.2f s with sampled reports, %.2f s with all reports", seed, lastLatency, fullLatency)
			}
		}
	}
}

func TestUnpolledEngines(t *testing.T) {
	state, random := newTestState(engineVMs(3))
	report := func(id core.ServerID, version core.WeightVersion) {
		state.ApplyStatus(core.EngineStatus{Server: id, Model: "coach", Adapter: "a", Version: version}, testStart)
	}
	report("engine-0000", 2)
	report("engine-0001", 1)
	state.SetPolledEngines(map[core.ServerID]bool{"engine-0000": true, "engine-0001": true})
	report("engine-0002", 7) // arrives after polling ended
	any := coachQuery()
	any.Adapter = "a"
	if got := countPicks(state, any, testStart, random); got["engine-0002"] == 0 || got["engine-0000"] == 0 {
		t.Errorf("any version: picked %v, want polled and unpolled engines", got)
	}
	foreign := any
	foreign.Adapter = "b"
	if got := countPicks(state, foreign, testStart, random); got["engine-0002"] != 0 {
		t.Errorf("adapter that no engine reported: picked %v, want no unpolled engine", got)
	}
	newest := any
	newest.Version = 2
	if got := countPicks(state, newest, testStart, random); got["engine-0000"] != 400 {
		t.Errorf("version 2: picked %v, want engine-0000 only", got)
	}
	state.SetPolledEngines(map[core.ServerID]bool{"engine-0001": true})
	if view := state.Views()[0]; !view.ReportedAt.IsZero() || view.Polled || view.Status.Version != 0 {
		t.Errorf("report of an engine that is no longer polled was not discarded: %+v", view)
	}
	if got := countPicks(state, newest, testStart, random); got["engine-0000"] != 0 {
		t.Errorf("version 2: picked %v, want no engine by its discarded report", got)
	}
	report("engine-0001", 1)
	state.ApplyVMs([]core.VM{engineVM(1, "east"), engineVM(2, "east"), engineVM(3, "east")})
	if got := countPicks(state, any, testStart, random); got["engine-0002"] == 0 || got["engine-0003"] != 0 {
		t.Errorf("after a change of the VM list: picked %v, want engine-0002 and not engine-0003, which has not reported", got)
	}
	state.ApplyStatus(core.EngineStatus{Server: "engine-0003", Model: "coach", Adapter: "b", Version: 1}, testStart)
	if got := countPicks(state, any, testStart, random); got["engine-0001"] != 400 {
		t.Errorf("adapter that one engine does not hold: picked %v, want engine-0001 only", got)
	}
	state.ApplyVMs(engineVMs(3))
	state.SetPolledEngines(nil)
	report("engine-0002", 3)
	if got := countPicks(state, newest, testStart, random); got["engine-0002"] != 400 {
		t.Errorf("version 2 with all engines polled: picked %v, want engine-0002 only", got)
	}
	if got := countPicks(state, any, testStart, random); got["engine-0000"] != 0 {
		t.Errorf("polled engine without a report was preferred to others: picked %v", got)
	}
}

// promptLoad returns groups of 8 samples through the first entry VM and
// conversations of 6 turns. All turns of a conversation go through one entry VM
// if sticky is set, otherwise each through a random one.
func promptLoad(seed uint64, engines, entries int, sticky bool) []simRequest {
	random := rand.New(rand.NewPCG(seed, 2))
	var requests []simRequest
	add := func(at time.Duration, entry int, key uint64, blocks, answer int) {
		r := simRequest{at: at, entry: entry, key: key, query: coachQuery()}
		r.generate(promptBlocks(99, key, blocks), answer, 400)
		requests = append(requests, r)
	}
	for group := range uint64(engines * 6) {
		at := time.Duration(random.Float64() * float64(fleetLength))
		for range 8 {
			add(at, 0, group, 48, int(min(600, 60*paretoSample(random))))
		}
	}
	for conversation := range uint64(engines * 4) {
		at, entry := time.Duration(random.Float64()*float64(fleetLength/3)), random.IntN(entries)
		for turn := range 6 {
			if !sticky {
				entry = random.IntN(entries)
			}
			add(at, entry, 1<<40+conversation, 12+8*turn, int(min(600, 60*paretoSample(random))))
			at += time.Duration((3 + random.ExpFloat64()) * float64(time.Second))
		}
	}
	slices.SortStableFunc(requests, func(a, b simRequest) int { return cmp.Compare(a.at, b.at) })
	return requests
}

// TestCacheHitsWithSampledReports compares the cache hits with those of full
// reports. The coordinator polls all engines, so the hits of rollout groups do
// not change. maxLoss is the loss in hit rate allowed for conversations that stay on
// one entry VM.
func TestCacheHitsWithSampledReports(t *testing.T) {
	const engines, entries, maxLoss = 150, 20, 0.05
	for _, sticky := range []bool{true, false} {
		requests := promptLoad(0, engines, entries, sticky)
		rate := func(name string, count, seconds int) float64 {
			var servers []*simServer
			for _, vm := range engineVMs(engines) {
				servers = append(servers, newSimServer(vm, 60, 1500))
			}
			s := &sim{servers: servers, random: rand.New(rand.NewPCG(4, 4))}
			s.router = newSampledPolls(newRouted(servers, entries, DefaultPolicy()), servers, count, seconds, 0, true)
			s.run(slices.Clone(requests))
			t.Log(s.formatResult(fmt.Sprintf("sticky conversations: %v, %s", sticky, name)))
			return s.hitTokens / s.promptTokens
		}
		fullRate, sampledRate := rate("all polled each second", engines, 1), rate("16 every 18 s", 16, 18)
		if sticky && sampledRate < fullRate-maxLoss {
			t.Errorf("hit rate %.3f with sampled reports, %.3f with all reports", sampledRate, fullRate)
		}
	}
}

// TestServerIndexAfterPollingChanges checks that after any sequence of changes
// the index lists each eligible engine once for each adapter that it reported,
// or once as unpolled or unreported.
func TestServerIndexAfterPollingChanges(t *testing.T) {
	const engines = 12
	state, random := newTestState(nil)
	for step := range 3000 {
		id := core.ServerID(fmt.Sprintf("engine-%04d", random.IntN(engines)))
		switch random.IntN(4) {
		case 0:
			vms := engineVMs(engines)
			random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
			for i := range vms {
				if random.IntN(4) == 0 {
					vms[i].State = core.VMLeaving
				}
			}
			state.ApplyVMs(vms[:random.IntN(engines)])
		case 1:
			polled := make(map[core.ServerID]bool)
			for _, vm := range engineVMs(engines) {
				polled[vm.ID] = random.IntN(2) == 0
			}
			state.SetPolledEngines(polled)
		default:
			state.ApplyStatus(core.EngineStatus{
				Server: id, Model: "coach", Adapter: "a", Version: core.WeightVersion(random.IntN(3)),
			}, testStart.Add(time.Duration(step)*time.Second))
		}
		var reported, unpolled, unreported int
		for _, srv := range state.sortedServers {
			switch {
			case !srv.eligible():
			case srv.unpolled:
				unpolled++
			case srv.hasReport:
				reported++
			default:
				unreported++
			}
		}
		if len(state.poolsByCreation) == 0 {
			continue
		}
		region := state.poolsByCreation[0].regions[0]
		matches := region.match(&Query{Adapter: "a"})
		if region.reportedCount != reported || len(region.unpolled.servers) != unpolled || len(region.unreported.servers) != unreported || matches.count != reported+unpolled {
			t.Fatalf("step %d: %d reported, %d unpolled, %d unreported, %d match; want %d, %d, %d", step,
				region.reportedCount, len(region.unpolled.servers), len(region.unreported.servers), matches.count, reported, unpolled, unreported)
		}
		for i := range matches.count {
			if srv := matches.server(i); srv == nil || !srv.eligible() {
				t.Fatalf("step %d: match %d of %d is missing or not eligible", step, i, matches.count)
			}
		}
	}
}
