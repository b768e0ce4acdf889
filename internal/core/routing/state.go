package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
)

// State holds the backend servers with their load, health and cached prefixes.
type State struct {
	policy          Policy
	serversByID     map[core.ServerID]*server
	sortedServers   []*server // by ID, so that decisions are deterministic
	pools           map[serviceKey]*pool
	poolsByCreation []*pool // in order of creation, so that decisions are deterministic
	slots           []*server
	freeSlots       []uint32
	lastCacheEpoch  uint32 // last cache epoch assigned to a server
	lastIncarnation uint32 // last incarnation assigned to a server

	prefixes     prefixIndex
	link         link
	processCount int // entry processes that route to the same servers, including this one

	rateShares     map[string]float64 // this process's share of the rate limits, by service
	otherRateShare float64            // of services without one

	paceChanges []PaceChange // not yet returned
	rejections  Rejections   // since the start
	explainedAt time.Time    // the last decision whose rejections were counted

	filters  []Filter
	scorers  []Scorer
	picker   Picker
	decision decision
}

// NewState returns a state without servers.
func NewState(policy Policy) *State {
	return &State{
		policy:       policy,
		serversByID:  make(map[core.ServerID]*server),
		pools:        make(map[serviceKey]*pool),
		prefixes:     newPrefixIndex(&policy),
		link:         newLink(policy.Link),
		processCount: 1,

		otherRateShare: initialRateShare,

		filters: []Filter{LiveFilter{}, HealthFilter{}, VersionFilter{}, SoftwareFilter{}, ExcludeFilter{}, SlotFilter{}, PushbackFilter{}, RateLimitFilter{}, PaceFilter{}, BytesFilter{PerSlot: policy.BytesPerSlot}, LinkFilter{}},
		scorers: []Scorer{
			WaitScorer{}, LinkScorer{Policy: policy.Link}, ZoneScorer{RoundTrip: policy.ZoneRoundTrip}, LagScorer{}, ConnectScorer{Cost: policy.ConnectionCost},
			PushbackScorer{},
		},
		picker: LeastCost{},
	}
}

// SetProcessCounts sets the number of entry processes that route to the same
// servers, and the number of them in this process's region, which share its
// link. Both numbers include this process.
func (s *State) SetProcessCounts(all, inRegion int) {
	s.processCount = max(1, all)
	s.link.setProcessCount(inRegion)
}

// ApplyVMs replaces the set of servers by the backend servers of a VM list. If
// the list contains an ID twice, the first entry counts. It takes time linear in
// the length of the list.
func (s *State) ApplyVMs(vms []core.VM) {
	listed := make(map[core.ServerID]*server, len(vms))
	rows := make([]*server, 0, len(vms))
	for _, vm := range vms {
		if vm.Kind == core.KindEntry || listed[vm.ID] != nil {
			continue
		}
		srv := s.serversByID[vm.ID]
		if srv == nil {
			srv = s.newServer()
		}
		s.applyVM(srv, vm)
		listed[vm.ID] = srv
		rows = append(rows, srv)
	}
	for _, srv := range s.sortedServers {
		if listed[srv.vm.ID] == nil {
			s.removeServer(srv)
		}
	}
	slices.SortFunc(rows, func(a, b *server) int { return strings.Compare(string(a.vm.ID), string(b.vm.ID)) })
	s.serversByID, s.sortedServers = listed, rows
}

// newServer returns a server in a free slot. Its new cache epoch invalidates the
// prefix index entries of an earlier server in the same slot.
func (s *State) newServer() *server {
	s.lastIncarnation++
	s.lastCacheEpoch++
	srv := &server{incarnation: s.lastIncarnation, cacheEpoch: s.lastCacheEpoch, pacedStart: noStart}
	if last := len(s.freeSlots) - 1; last >= 0 {
		srv.slot = s.freeSlots[last]
		s.freeSlots = s.freeSlots[:last]
		s.slots[srv.slot] = srv
		return srv
	}
	srv.slot = uint32(len(s.slots))
	s.slots = append(s.slots, srv)
	return srv
}

func (s *State) removeServer(srv *server) {
	s.removeFromPool(srv)
	s.slots[srv.slot] = nil
	s.freeSlots = append(s.freeSlots, srv.slot)
}

func (s *State) applyVM(srv *server, vm core.VM) {
	before := srv.vm
	srv.vm = vm
	moved := srv.pool != nil && (before.Region != vm.Region || before.Kind != vm.Kind)
	if moved {
		s.removeFromPool(srv)
	}
	s.assignPool(srv)
	if moved || before.State != vm.State {
		srv.region.reindex(srv)
	}
}

// assignPool moves a server to the pool of the service that it runs and creates
// the pool if needed.
func (s *State) assignPool(srv *server) {
	key := serviceKey{kind: srv.vm.Kind, service: srv.service()}
	if srv.pool != nil && srv.pool.key == key {
		return
	}
	s.removeFromPool(srv)
	target := s.pools[key]
	if target == nil {
		target = newPool(key, &s.policy)
		s.pools[key] = target
		s.poolsByCreation = append(s.poolsByCreation, target)
	}
	target.addServer(srv)
	srv.region.reindex(srv)
}

func (s *State) removeFromPool(srv *server) {
	old := srv.pool
	if old == nil {
		return
	}
	old.removeServer(srv)
	if old.serverCount == 0 {
		delete(s.pools, old.key)
		s.poolsByCreation = slices.DeleteFunc(s.poolsByCreation, func(p *pool) bool { return p == old })
	}
}

// ApplyStatus applies an engine's report measured at the given time. It ignores
// a report measured before the newest applied one, and reports of servers that
// are not listed or not polled.
func (s *State) ApplyStatus(status core.EngineStatus, measured time.Time) {
	srv := s.serversByID[status.Server]
	if srv == nil || srv.unpolled || measured.Before(srv.load.reportedAt) {
		return
	}
	if srv.hasReport {
		s.invalidateChangedWeights(srv, &status)
	}
	s.applyCacheEvents(srv, &status, measured)
	status.CacheEvents = nil
	changed := !srv.hasReport || !sameVersions(&srv.status, &status)
	srv.status, srv.hasReport = status, true
	s.assignPool(srv)
	if changed {
		srv.region.reindex(srv)
		srv.recordVersions()
	}
	if !measured.Before(srv.health.UnreachableSince()) {
		s.MarkReachable(status.Server, measured)
	}
	srv.pool.updateStreamAverages(srv.reportedStreams(), srv.load.ownLoadAt(measured).streams)
	srv.load.applyReport(srv.reportedStreams(), srv.pool.tokensPerStream, measured)
}

func sameVersions(a, b *core.EngineStatus) bool {
	return a.Adapter == b.Adapter && a.Version == b.Version && slices.Equal(a.Versions, b.Versions)
}

func (r *server) recordVersions() {
	if len(r.status.Versions) == 0 {
		r.pool.recordVersion(r.status.Adapter, r.status.Version)
	}
	for _, held := range r.status.Versions {
		r.pool.recordVersion(held.Adapter, held.Version)
	}
}

// Begin counts a request as in flight on a server, reserves its bytes on the
// link when the server is in another region, and records its prompt as cached on
// the server. It takes constant time. For a server that is not listed it returns
// a Dispatch without a server, which End ignores.
func (s *State) Begin(id core.ServerID, query Query, now time.Time) Dispatch {
	srv := s.serversByID[id]
	if srv == nil {
		return Dispatch{Started: now}
	}
	begun := Dispatch{VM: srv.vm, ExpectedTokens: query.ExpectedTokens, Started: now, incarnation: srv.incarnation}
	begun.loadBefore = s.loadTokens(srv, srv.pool.peerRatio(s.processCount), now)
	begun.answerTokens = query.workTokens(math.MaxFloat64)
	begun.prefillWork = query.workTokens(s.cachedTokens(srv, query.Prefix, now)) - begun.answerTokens
	if srv.vm.Region != query.Region {
		begun.reservedBytes = query.crossRegionBytes()
		s.link.reserve(begun.reservedBytes)
	}
	srv.load.add(1, query.ExpectedTokens, now)
	begun.bodyBytes = query.BodyBytes
	srv.addBytes(query.BodyBytes)
	srv.rateLimit.take(s.rateShare(srv.pool), now)
	srv.pool.demand.add(now)
	srv.pool.recordUse(srv)
	smooth(&srv.pool.tokensPerStream, float64(query.ExpectedTokens))
	s.recordDispatchedPrefixes(srv, query.Prefix, now)
	return begun
}

// End reverts what Begin counted and records the result for outlier detection,
// pushback and the pool's speed. It takes constant time.
func (s *State) End(ended Dispatch, result Result, now time.Time, random *rand.Rand) {
	if result.Bytes > 0 && ended.reservedBytes > 0 {
		s.link.refund(ended.reservedBytes - float64(result.Bytes))
	}
	srv := s.serversByID[ended.VM.ID]
	if srv == nil || srv.incarnation != ended.incarnation {
		return
	}
	srv.load.add(-1, -ended.ExpectedTokens, now)
	srv.addBytes(-ended.bodyBytes)
	if result.Refused {
		srv.pushback.recordRefusal(now)
	} else if result.Outcome == outlier.Succeeded {
		srv.pushback.recordAccepted()
	}
	work := ended.prefillWork + ended.answerTokens
	if result.Tokens > 0 {
		work = ended.prefillWork + float64(result.Tokens)
	}
	duration := now.Sub(ended.Started)
	if srv.pace.IsActive() {
		s.recordPace(srv, &ended, result, work, now)
	}
	if result.Outcome == outlier.Succeeded {
		srv.pool.speed.addSample(work, ended.loadBefore+float64(ended.ExpectedTokens), duration)
	}
	sample := outlier.Result{Outcome: result.Outcome, Work: work, Duration: duration}
	if srv.pool.detector.Record(&srv.health, sample, now, random) {
		srv.region.reindex(srv)
	}
}

// MarkUnreachable removes a server from service after a failed connection attempt
// that began at the given time. It has no effect if a report measured later was
// applied; such a report also returns the server to service.
func (s *State) MarkUnreachable(id core.ServerID, tried time.Time) {
	srv := s.serversByID[id]
	if srv == nil || tried.Before(srv.load.reportedAt) {
		return
	}
	if srv.pool.detector.MarkUnreachable(&srv.health, tried) {
		srv.region.reindex(srv)
	}
}

// MarkUnresponsive removes a server that did not answer in time from service.
// It has no effect if a report measured after the attempt's start was applied,
// or if it would exceed the bound on ejections.
func (s *State) MarkUnresponsive(id core.ServerID, tried time.Time) {
	srv := s.serversByID[id]
	if srv == nil || tried.Before(srv.load.reportedAt) {
		return
	}
	if srv.pool.detector.MarkUnresponsive(&srv.health, tried) {
		srv.region.reindex(srv)
	}
}

// MarkReachable returns a server that answered at the given time to service. For
// engines ApplyStatus does so.
func (s *State) MarkReachable(id core.ServerID, now time.Time) {
	srv := s.serversByID[id]
	if srv != nil && srv.pool.detector.MarkReachable(&srv.health, now) {
		srv.region.reindex(srv)
		s.paceReturn(srv, now)
	}
}

// shortageShare is the share of a service's servers whose loss leaves the others
// without spare capacity.
const shortageShare = 0.2

// IsShortOfServers reports whether more than shortageShare of a service's
// servers are unreachable, so that the others have no capacity for their
// requests.
func (s *State) IsShortOfServers(kind core.ServerKind, service string) bool {
	pool := s.pools[serviceKey{kind: kind, service: service}]
	return pool != nil && float64(pool.detector.UnreachableCount()) > shortageShare*float64(pool.serverCount)
}

// Sweep ejects servers and returns ejected ones to service as decided by package
// outlier. It takes time linear in the number of servers and is called about
// once a second.
func (s *State) Sweep(now time.Time, random *rand.Rand) {
	for _, pool := range s.poolsByCreation {
		pool.detector.Sweep(now, random)
	}
	for _, srv := range s.sortedServers {
		if srv.placement() != srv.placedAs {
			srv.region.reindex(srv)
			s.paceReturn(srv, now)
		}
	}
	s.endPaces(now)
}

// EjectedServers returns the servers that receive no new requests because they fail,
// are slow or are unreachable, sorted by ID.
func (s *State) EjectedServers() []core.ServerID {
	var ids []core.ServerID
	for _, srv := range s.sortedServers {
		if srv.health.Ejected() {
			ids = append(ids, srv.vm.ID)
		}
	}
	return ids
}

// EjectionFinding returns the reason for a server's ejection, the zero value for a
// server that is not listed.
func (s *State) EjectionFinding(id core.ServerID, now time.Time) outlier.Finding {
	srv := s.serversByID[id]
	if srv == nil || srv.pool == nil {
		return outlier.Finding{}
	}
	return srv.pool.detector.Finding(&srv.health, now)
}

// Server returns the VM of a listed server, and whether it is listed.
func (s *State) Server(id core.ServerID) (core.VM, bool) {
	srv := s.serversByID[id]
	if srv == nil {
		return core.VM{}, false
	}
	return srv.vm, true
}

// Views returns snapshots of all servers, sorted by ID.
func (s *State) Views() []View {
	views := make([]View, 0, len(s.sortedServers))
	for _, srv := range s.sortedServers {
		views = append(views, srv.view())
	}
	return views
}

// EnginesOfService returns snapshots of the engines that the VM list names for a
// service, sorted by ID.
func (s *State) EnginesOfService(service string) []View {
	var views []View
	for _, srv := range s.sortedServers {
		if srv.vm.Kind == core.KindEngine && srv.vm.Service == service {
			views = append(views, srv.view())
		}
	}
	return views
}

// UnreachableServers returns the unreachable servers of a kind, in no particular
// order.
func (s *State) UnreachableServers(kind core.ServerKind) []core.VM {
	var vms []core.VM
	for _, srv := range s.serversByID {
		if srv.vm.Kind == kind && !srv.health.UnreachableSince().IsZero() {
			vms = append(vms, srv.vm)
		}
	}
	return vms
}
