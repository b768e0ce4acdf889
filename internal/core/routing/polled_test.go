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

// sampledPolls delivers the reports that each entry VM polls for, one in so
// many seconds.
type sampledPolls struct {
	*routed
	polled  []map[core.ServerID]bool // by entry VM; nil polls all
	seconds int
	reports map[core.ServerID]int
}

// sampled lets each entry VM but the given one poll so many servers of its own
// order of them. With beyond they also send to the others.
func sampled(r *routed, servers []*simServer, count, seconds, whole int, beyond bool) *sampledPolls {
	p := &sampledPolls{routed: r, seconds: seconds, reports: make(map[core.ServerID]int)}
	for entry, state := range r.states {
		order := slices.Clone(servers)
		slices.SortFunc(order, func(a, b *simServer) int {
			return cmp.Compare(pointHash(a.vm.ID, entry+1), pointHash(b.vm.ID, entry+1))
		})
		var polled map[core.ServerID]bool
		if entry != whole && count < len(servers) {
			polled = make(map[core.ServerID]bool)
			for _, server := range order[:count] {
				polled[server.vm.ID] = true
			}
		}
		if beyond {
			state.ApplyPolled(polled)
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

// The fleet of the simulation: a tenth of the two-year size, 33 seconds.
const (
	fleetEntries = 61
	fleetEngines = 610
	fleetLength  = 33 * time.Second
)

// fleetLoad is herdingLoad's for the fleet; a tenth of it comes in at one entry
// VM if hot.
func fleetLoad(seed uint64, hot bool) []simRequest {
	random := rand.New(rand.NewPCG(seed, 1))
	var requests []simRequest
	for at := time.Duration(0); at < fleetLength; {
		at += time.Duration(random.ExpFloat64() * float64(time.Second) * 9 / 33 / fleetEngines)
		answer := int(min(2000, 120*paretoOf(random)))
		query := coachQuery()
		query.Tokens = 400
		entry := random.IntN(fleetEntries)
		if hot && random.IntN(10) == 0 {
			entry = 0
		}
		requests = append(requests, simRequest{at: at, entry: entry, query: query, answer: answer, bytes: answer * bytesPerToken})
	}
	return requests
}

// fleetSim has every ninth engine at a share of the others' speed.
func fleetSim(count, seconds int, beyond bool, slowest float64) *sim {
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
	s.router = sampled(newRouted(servers, fleetEntries, DefaultPolicy()), servers, count, seconds, -1, beyond)
	return s
}

// A tenth of the fleet with reports of 16 engines each, one in 18 s, must balance
// about as well as with every report of all; mostBehind is how much later the
// mean answer may be.
func TestSampledReportsBalanceAsWell(t *testing.T) {
	const mostBehind = 1.05
	ways := []struct {
		name           string
		count, seconds int
		beyond         bool
	}{
		{"all polled each second", fleetEngines, 1, false},
		{"8 of all, sent to only", 8, 1, false},
		{"16, sent to only", 16, 1, false},
		{"32, sent to only", 32, 1, false},
		{"32 in 15 s, sent to only", 32, 15, false},
		{"8 of all", 8, 1, true},
		{"32", 32, 1, true},
		{"32 in 5 s", 32, 5, true},
		{"16 in 18 s", 16, 18, true},
	}
	if !testing.Verbose() {
		ways = slices.Delete(ways, 1, len(ways)-1)
	}
	for seed := range uint64(2) {
		for _, slowest := range []float64{1, 0.4} {
			requests := fleetLoad(seed, seed == 1)
			var whole, last float64
			for i, way := range ways {
				s := fleetSim(way.count, way.seconds, way.beyond, slowest)
				s.run(slices.Clone(requests))
				last = mean(s.latencies)
				if i == 0 {
					whole = last
				}
				t.Log(s.row(fmt.Sprintf("seed %d, slowest at %.1f: %s", seed, slowest, way.name)))
			}
			if last > whole*mostBehind {
				t.Errorf("seed %d: mean latency %.2f s, %.2f s with all reports", seed, last, whole)
			}
		}
	}
}

func TestEnginesThatAreNotPolled(t *testing.T) {
	state, random := stateOf(engineVMs(3))
	report := func(id core.ServerID, version core.WeightVersion) {
		state.ApplyStatus(core.EngineStatus{Server: id, Model: "coach", Adapter: "a", Version: version}, epoch)
	}
	report("engine-0000", 2)
	report("engine-0001", 1)
	state.ApplyPolled(map[core.ServerID]bool{"engine-0000": true, "engine-0001": true})
	report("engine-0002", 7) // a late one
	any := coachQuery()
	any.Adapter = "a"
	if got := picks(state, any, epoch, random); got["engine-0002"] == 0 || got["engine-0000"] == 0 {
		t.Errorf("any version: %v, want polled and other engines", got)
	}
	foreign := any
	foreign.Adapter = "b"
	if got := picks(state, foreign, epoch, random); got["engine-0002"] != 0 {
		t.Errorf("an adapter that no engine reported: %v", got)
	}
	newest := any
	newest.Version = 2
	if got := picks(state, newest, epoch, random); got["engine-0000"] != 400 {
		t.Errorf("version 2: %v, want engine-0000 only", got)
	}
	state.ApplyPolled(map[core.ServerID]bool{"engine-0001": true})
	if view := state.Views()[0]; !view.Reported.IsZero() || view.Polled || view.Status.Version != 0 {
		t.Errorf("the report of an engine that is no longer polled is kept: %+v", view)
	}
	if got := picks(state, newest, epoch, random); got["engine-0000"] != 0 {
		t.Errorf("version 2: %v, want no engine by a forgotten report", got)
	}
	report("engine-0001", 1)
	state.ApplyVMs([]core.VM{engineVM(1, "east"), engineVM(2, "east"), engineVM(3, "east")})
	if got := picks(state, any, epoch, random); got["engine-0002"] == 0 || got["engine-0003"] != 0 {
		t.Errorf("after a change of the list: %v, want no engine-0003, which has yet to report", got)
	}
	state.ApplyStatus(core.EngineStatus{Server: "engine-0003", Model: "coach", Adapter: "b", Version: 1}, epoch)
	if got := picks(state, any, epoch, random); got["engine-0001"] != 400 {
		t.Errorf("an adapter that one engine lacks: %v, want engine-0001 only", got)
	}
	state.ApplyVMs(engineVMs(3))
	state.ApplyPolled(nil)
	report("engine-0002", 3)
	if got := picks(state, newest, epoch, random); got["engine-0002"] != 400 {
		t.Errorf("version 2 with all polled: %v, want engine-0002 only", got)
	}
	if got := picks(state, any, epoch, random); got["engine-0000"] != 0 {
		t.Errorf("a polled engine without a report was taken before others: %v", got)
	}
}

// promptLoad is groups of 8 samples from the first entry VM and conversations
// of 6 turns, each turn from a VM that the talk keeps or from any.
func promptLoad(seed uint64, engines, entries int, kept bool) []simRequest {
	random := rand.New(rand.NewPCG(seed, 2))
	var requests []simRequest
	add := func(at time.Duration, entry int, key uint64, blocks, answer int) {
		r := simRequest{at: at, entry: entry, key: key, query: coachQuery()}
		r.generate(blocksOf(99, key, blocks), answer, 400)
		requests = append(requests, r)
	}
	for group := range uint64(engines * 6) {
		at := time.Duration(random.Float64() * float64(fleetLength))
		for range 8 {
			add(at, 0, group, 48, int(min(600, 60*paretoOf(random))))
		}
	}
	for talk := range uint64(engines * 4) {
		at, entry := time.Duration(random.Float64()*float64(fleetLength/3)), random.IntN(entries)
		for turn := range 6 {
			if !kept {
				entry = random.IntN(entries)
			}
			add(at, entry, 1<<40+talk, 12+8*turn, int(min(600, 60*paretoOf(random))))
			at += time.Duration((3 + random.ExpFloat64()) * float64(time.Second))
		}
	}
	slices.SortStableFunc(requests, func(a, b simRequest) int { return cmp.Compare(a.at, b.at) })
	return requests
}

// The coordinator polls all engines, so its groups find their prompts as well
// as ever; mostLost is what conversations may lose of all hits while they keep
// to an entry VM.
func TestCacheHitsWithSampledReports(t *testing.T) {
	const engines, entries, mostLost = 150, 20, 0.05
	for _, kept := range []bool{true, false} {
		requests := promptLoad(0, engines, entries, kept)
		rate := func(name string, count, seconds int) float64 {
			var servers []*simServer
			for _, vm := range engineVMs(engines) {
				servers = append(servers, newSimServer(vm, 60, 1500))
			}
			s := &sim{servers: servers, random: rand.New(rand.NewPCG(4, 4))}
			s.router = sampled(newRouted(servers, entries, DefaultPolicy()), servers, count, seconds, 0, true)
			s.run(slices.Clone(requests))
			t.Log(s.row(fmt.Sprintf("talks keep their entry VM: %v, %s", kept, name)))
			return s.hits / s.prompts
		}
		whole, some := rate("all polled each second", engines, 1), rate("16 in 18 s", 16, 18)
		if kept && some < whole-mostLost {
			t.Errorf("hit rate %.3f, %.3f with all reports", some, whole)
		}
	}
}

// After any history the cells list each engine that may get work once for each
// adapter that it reported, or as not polled, or as not yet heard.
func TestCellsAfterChangesOfPolling(t *testing.T) {
	const engines = 12
	state, random := stateOf(nil)
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
			state.ApplyPolled(polled)
		default:
			state.ApplyStatus(core.EngineStatus{
				Server: id, Model: "coach", Adapter: "a", Version: core.WeightVersion(random.IntN(3)),
			}, epoch.Add(time.Duration(step)*time.Second))
		}
		var reported, unpolled, unknown int
		for _, row := range state.rows {
			switch {
			case !row.eligible():
			case row.unpolled:
				unpolled++
			case row.reported:
				reported++
			default:
				unknown++
			}
		}
		if len(state.poolList) == 0 {
			continue
		}
		region := state.poolList[0].regions[0]
		fit := region.choose(&Query{Adapter: "a"})
		if region.reported != reported || len(region.unpolled.members) != unpolled || len(region.unknown.members) != unknown || fit.count != reported+unpolled {
			t.Fatalf("step %d: %d reported, %d not polled, %d unknown, %d fit; want %d, %d, %d", step,
				region.reported, len(region.unpolled.members), len(region.unknown.members), fit.count, reported, unpolled, unknown)
		}
		for i := range fit.count {
			if row := fit.at(i); row == nil || !row.eligible() {
				t.Fatalf("step %d: place %d of %d is empty", step, i, fit.count)
			}
		}
	}
}
