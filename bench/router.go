package main

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
)

// router chooses the servers of one entry VM's requests.
type router interface {
	// begin picks a server; false when none can take the request.
	begin(query routing.Query, key uint64, now time.Time) (routing.Dispatch, bool)
	// beginOn counts a request on a server that was chosen before.
	beginOn(id core.ServerID, query routing.Query, now time.Time) routing.Dispatch
	end(begun routing.Dispatch, result routing.Result, now time.Time)
	report(status core.EngineStatus, measured time.Time)
	// unreachable tells that no connection to a server could be made.
	unreachable(id core.ServerID, tried time.Time)
	// short tells whether a service has lost too many servers for moves.
	short(kind core.ServerKind, service string) bool
	sweep(now time.Time)
}

// routed is the service's own routing with its outlier ejection.
type routed struct {
	*routing.State
	random *rand.Rand
}

func newRouted(vms []core.VM, inRegion int, random *rand.Rand) router {
	policy := routing.DefaultPolicy()
	policy.PrefixEntries = 1 << 14
	r := routed{routing.NewState(policy), random}
	r.ApplyVMs(vms)
	r.SetProcesses(entryCount, inRegion)
	return r
}

func (r routed) begin(query routing.Query, _ uint64, now time.Time) (routing.Dispatch, bool) {
	vm, err := r.Pick(query, now, r.random)
	if err != nil {
		return routing.Dispatch{}, false
	}
	return r.Begin(vm.ID, query, now), true
}

func (r routed) beginOn(id core.ServerID, query routing.Query, now time.Time) routing.Dispatch {
	return r.Begin(id, query, now)
}

func (r routed) end(begun routing.Dispatch, result routing.Result, now time.Time) {
	r.End(begun, result, now, r.random)
}

func (r routed) report(status core.EngineStatus, measured time.Time) { r.ApplyStatus(status, measured) }
func (r routed) unreachable(id core.ServerID, tried time.Time)       { r.Unreachable(id, tried) }
func (r routed) short(kind core.ServerKind, service string) bool     { return r.Short(kind, service) }
func (r routed) sweep(now time.Time)                                 { r.Sweep(now, r.random) }

// baselineServer is what a baseline's entry VM knows of a server.
type baselineServer struct {
	vm        core.VM
	versions  []core.AdapterVersion
	reported  int // streams
	own       int // streams
	downUntil time.Time
}

// baselineDown is for how long a baseline avoids a server that failed.
const baselineDown = 5 * time.Second

// baseline routes by one function of the servers that fit.
type baseline struct {
	servers []*baselineServer
	random  *rand.Rand
	turn    int
	choose  func(b *baseline, fit []*baselineServer, key uint64) *baselineServer
}

type chooser func(b *baseline, fit []*baselineServer, key uint64) *baselineServer

func newBaseline(vms []core.VM, random *rand.Rand, choose chooser) router {
	b := &baseline{random: random, turn: random.IntN(len(vms)), choose: choose}
	for _, vm := range vms {
		b.servers = append(b.servers, &baselineServer{vm: vm})
	}
	return b
}

func (b *baseline) begin(query routing.Query, key uint64, now time.Time) (routing.Dispatch, bool) {
	fit := b.fitting(&query, now)
	if len(fit) == 0 {
		return routing.Dispatch{}, false
	}
	return b.beginOn(b.choose(b, fit, key).vm.ID, query, now), true
}

// fitting returns the servers that run the query's service at its version and
// that did not fail lately.
func (b *baseline) fitting(query *routing.Query, now time.Time) (fit []*baselineServer) {
	for _, s := range b.servers {
		version := core.WeightVersion(0)
		for _, held := range s.versions {
			if held.Adapter == query.Adapter {
				version = held.Version
			}
		}
		serves := s.vm.Kind == query.Kind && s.vm.Service == query.Service
		if serves && version >= query.Version && !now.Before(s.downUntil) && !slices.Contains(query.Exclude, s.vm.ID) {
			fit = append(fit, s)
		}
	}
	return fit
}

func (b *baseline) beginOn(id core.ServerID, _ routing.Query, now time.Time) routing.Dispatch {
	s := b.server(id)
	s.own++
	return routing.Dispatch{VM: s.vm, Started: now}
}

func (b *baseline) end(begun routing.Dispatch, result routing.Result, now time.Time) {
	s := b.server(begun.VM.ID)
	s.own--
	if result.Outcome == outlier.Failed {
		s.downUntil = now.Add(baselineDown)
	}
}

func (b *baseline) report(status core.EngineStatus, _ time.Time) {
	s := b.server(status.Server)
	s.reported, s.versions = status.RunningCount+status.QueuedCount, status.Versions
}

func (b *baseline) unreachable(core.ServerID, time.Time) {}
func (b *baseline) short(core.ServerKind, string) bool   { return false }
func (b *baseline) sweep(time.Time)                      {}

func (b *baseline) server(id core.ServerID) *baselineServer {
	return b.servers[slices.IndexFunc(b.servers, func(s *baselineServer) bool { return s.vm.ID == id })]
}

func atRandom(b *baseline, fit []*baselineServer, _ uint64) *baselineServer {
	return fit[b.random.IntN(len(fit))]
}

func roundRobin(b *baseline, fit []*baselineServer, _ uint64) *baselineServer {
	b.turn++
	return fit[b.turn%len(fit)]
}

// leastLoaded counts the streams in the newest report and this entry VM's own.
func leastLoaded(b *baseline, fit []*baselineServer, _ uint64) *baselineServer {
	b.random.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	return slices.MinFunc(fit, func(x, y *baselineServer) int { return cmp.Compare(x.reported+x.own, y.reported+y.own) })
}

// consistentHash takes the next point of a ring with 64 points a server.
func consistentHash(_ *baseline, fit []*baselineServer, key uint64) (best *baselineServer) {
	least := uint64(math.MaxUint64)
	for _, s := range fit {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(s.vm.ID))
		for point := range uint64(64) {
			if distance := mix(hash.Sum64()+point) - mix(key); distance <= least {
				best, least = s, distance
			}
		}
	}
	return best
}
