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

// router chooses servers for the requests of one entry VM.
type router interface {
	// pickAndBegin picks a server and counts the request on it. It returns false
	// if no server is eligible.
	pickAndBegin(query routing.Query, key uint64, now time.Time) (routing.Dispatch, bool)
	// beginOn counts a request on a server that was already chosen.
	beginOn(id core.ServerID, query routing.Query, now time.Time) routing.Dispatch
	endRequest(begun routing.Dispatch, result routing.Result, now time.Time)
	applyReport(status core.EngineStatus, measured time.Time)
	// markUnreachable records that connecting to a server failed.
	markUnreachable(id core.ServerID, tried time.Time)
	// lacksCapacity reports whether a service has lost so many servers that
	// moves need the retry budget.
	lacksCapacity(kind core.ServerKind, service string) bool
	removeExpired(now time.Time)
}

// serviceRouter adapts the service's own routing, including outlier ejection.
type serviceRouter struct {
	*routing.State
	random *rand.Rand
}

func newServiceRouter(vms []core.VM, inRegion int, random *rand.Rand) router {
	policy := routing.DefaultPolicy()
	policy.PrefixEntries = 1 << 14
	r := serviceRouter{routing.NewState(policy), random}
	r.ApplyVMs(vms)
	r.SetProcessCounts(entryCount, inRegion)
	return r
}

func (r serviceRouter) pickAndBegin(query routing.Query, _ uint64, now time.Time) (routing.Dispatch, bool) {
	vm, err := r.Pick(query, now, r.random)
	if err != nil {
		return routing.Dispatch{}, false
	}
	return r.Begin(vm.ID, query, now), true
}

func (r serviceRouter) beginOn(id core.ServerID, query routing.Query, now time.Time) routing.Dispatch {
	return r.Begin(id, query, now)
}

func (r serviceRouter) endRequest(begun routing.Dispatch, result routing.Result, now time.Time) {
	r.End(begun, result, now, r.random)
}

func (r serviceRouter) applyReport(status core.EngineStatus, measured time.Time) {
	r.ApplyStatus(status, measured)
}
func (r serviceRouter) markUnreachable(id core.ServerID, tried time.Time) {
	r.MarkUnreachable(id, tried)
}
func (r serviceRouter) lacksCapacity(kind core.ServerKind, service string) bool {
	return r.IsShortOfServers(kind, service)
}
func (r serviceRouter) removeExpired(now time.Time) { r.Sweep(now, r.random) }

// baselineServer is the state of a server as known to one entry VM.
type baselineServer struct {
	vm              core.VM
	versions        []core.AdapterVersion
	reportedStreams int
	ownStreams      int
	downUntil       time.Time
}

// baselineAvoidTime is how long a baseline avoids a server after a failure.
const baselineAvoidTime = 5 * time.Second

// baselineRouter routes with a single function over the eligible servers.
type baselineRouter struct {
	servers      []*baselineServer
	random       *rand.Rand
	nextIndex    int
	chooseServer func(b *baselineRouter, eligible []*baselineServer, key uint64) *baselineServer
}

type chooser func(b *baselineRouter, eligible []*baselineServer, key uint64) *baselineServer

func newBaselineRouter(vms []core.VM, random *rand.Rand, chooseServer chooser) router {
	b := &baselineRouter{random: random, nextIndex: random.IntN(len(vms)), chooseServer: chooseServer}
	for _, vm := range vms {
		b.servers = append(b.servers, &baselineServer{vm: vm})
	}
	return b
}

func (b *baselineRouter) pickAndBegin(query routing.Query, key uint64, now time.Time) (routing.Dispatch, bool) {
	eligible := b.eligibleServers(&query, now)
	if len(eligible) == 0 {
		return routing.Dispatch{}, false
	}
	return b.beginOn(b.chooseServer(b, eligible, key).vm.ID, query, now), true
}

// eligibleServers returns the servers that run the query's service at its version
// or newer and that did not fail within baselineAvoidTime.
func (b *baselineRouter) eligibleServers(query *routing.Query, now time.Time) (eligible []*baselineServer) {
	for _, s := range b.servers {
		version := core.WeightVersion(0)
		for _, held := range s.versions {
			if held.Adapter == query.Adapter {
				version = held.Version
			}
		}
		serves := s.vm.Kind == query.Kind && s.vm.Service == query.Service
		if serves && version >= query.Version && !now.Before(s.downUntil) && !slices.Contains(query.Exclude, s.vm.ID) {
			eligible = append(eligible, s)
		}
	}
	return eligible
}

func (b *baselineRouter) beginOn(id core.ServerID, _ routing.Query, now time.Time) routing.Dispatch {
	s := b.server(id)
	s.ownStreams++
	return routing.Dispatch{VM: s.vm, Started: now}
}

func (b *baselineRouter) endRequest(begun routing.Dispatch, result routing.Result, now time.Time) {
	s := b.server(begun.VM.ID)
	s.ownStreams--
	if result.Outcome == outlier.Failed {
		s.downUntil = now.Add(baselineAvoidTime)
	}
}

func (b *baselineRouter) applyReport(status core.EngineStatus, _ time.Time) {
	s := b.server(status.Server)
	s.reportedStreams, s.versions = status.RunningCount+status.QueuedCount, status.Versions
}

func (b *baselineRouter) markUnreachable(core.ServerID, time.Time)   {}
func (b *baselineRouter) lacksCapacity(core.ServerKind, string) bool { return false }
func (b *baselineRouter) removeExpired(time.Time)                    {}

func (b *baselineRouter) server(id core.ServerID) *baselineServer {
	return b.servers[slices.IndexFunc(b.servers, func(s *baselineServer) bool { return s.vm.ID == id })]
}

func chooseRandom(b *baselineRouter, eligible []*baselineServer, _ uint64) *baselineServer {
	return eligible[b.random.IntN(len(eligible))]
}

func chooseRoundRobin(b *baselineRouter, eligible []*baselineServer, _ uint64) *baselineServer {
	b.nextIndex++
	return eligible[b.nextIndex%len(eligible)]
}

// chooseLeastLoaded compares the streams in the newest report plus this entry VM's
// own streams.
func chooseLeastLoaded(b *baselineRouter, eligible []*baselineServer, _ uint64) *baselineServer {
	b.random.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	return slices.MinFunc(eligible, func(x, y *baselineServer) int {
		return cmp.Compare(x.reportedStreams+x.ownStreams, y.reportedStreams+y.ownStreams)
	})
}

// chooseConsistentHash returns the server of the next point on a hash ring with 64
// points per server.
func chooseConsistentHash(_ *baselineRouter, eligible []*baselineServer, key uint64) (best *baselineServer) {
	least := uint64(math.MaxUint64)
	for _, s := range eligible {
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
