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

// State is what routing knows of the backend servers.
type State struct {
	policy    Policy
	servers   map[core.ServerID]*server
	rows      []*server // sorted by id, so that the same inputs give the same choices
	pools     map[serviceKey]*pool
	poolList  []*pool // in order of creation
	slots     []*server
	freeSlots []uint32
	epochs    uint32 // last epoch given to a server's cache
	numbers   uint32 // last number given to a server

	prefixes  prefixIndex
	link      link
	processes int // entry processes that route to the same servers

	filters  []Filter
	scorers  []Scorer
	picker   Picker
	decision decision
}

// NewState returns a state without servers.
func NewState(policy Policy) *State {
	return &State{
		policy:    policy,
		servers:   make(map[core.ServerID]*server),
		pools:     make(map[serviceKey]*pool),
		prefixes:  newPrefixIndex(&policy),
		link:      newLink(policy.Link),
		processes: 1,
		filters:   []Filter{LiveFilter{}, HealthFilter{}, VersionFilter{}, ExcludeFilter{}, SlotFilter{}, PushbackFilter{}, LinkFilter{}},
		scorers: []Scorer{
			WaitScorer{}, LinkScorer{Policy: policy.Link}, ZoneScorer{Trip: policy.ZoneTrip}, LagScorer{}, ConnectScorer{Cost: policy.Connect},
			PushbackScorer{},
		},
		picker: LeastCost{},
	}
}

// SetProcesses tells how many entry processes route to the same servers, and
// how many of them are in this one's region and share its link. Both count
// this process.
func (s *State) SetProcesses(all, inRegion int) {
	s.processes = max(1, all)
	s.link.divide(inRegion)
}

// ApplyVMs replaces the set of servers by the backend servers of a VM list. It
// takes time linear in the list.
func (s *State) ApplyVMs(vms []core.VM) {
	listed := make(map[core.ServerID]*server, len(vms))
	rows := make([]*server, 0, len(vms))
	for _, vm := range vms {
		if vm.Kind == core.KindEntry || listed[vm.ID] != nil {
			continue
		}
		row := s.servers[vm.ID]
		if row == nil {
			row = s.newServer()
		}
		s.applyVM(row, vm)
		listed[vm.ID] = row
		rows = append(rows, row)
	}
	for _, row := range s.rows {
		if listed[row.vm.ID] == nil {
			s.dropServer(row)
		}
	}
	slices.SortFunc(rows, func(a, b *server) int { return strings.Compare(string(a.vm.ID), string(b.vm.ID)) })
	s.servers, s.rows = listed, rows
}

// newServer takes a slot; the epoch keeps apart what was learnt of an earlier
// server in the same slot.
func (s *State) newServer() *server {
	s.numbers++
	s.epochs++
	row := &server{number: s.numbers, epoch: s.epochs}
	if last := len(s.freeSlots) - 1; last >= 0 {
		row.slot = s.freeSlots[last]
		s.freeSlots = s.freeSlots[:last]
		s.slots[row.slot] = row
		return row
	}
	row.slot = uint32(len(s.slots))
	s.slots = append(s.slots, row)
	return row
}

func (s *State) dropServer(row *server) {
	s.leavePool(row)
	s.slots[row.slot] = nil
	s.freeSlots = append(s.freeSlots, row.slot)
}

func (s *State) applyVM(row *server, vm core.VM) {
	before := row.vm
	row.vm = vm
	moved := row.pool != nil && (before.Region != vm.Region || before.Kind != vm.Kind)
	if moved {
		s.leavePool(row)
	}
	s.joinPool(row)
	if moved || before.State != vm.State {
		row.region.place(row)
	}
}

// joinPool moves a server to the pool of the service that it runs.
func (s *State) joinPool(row *server) {
	key := serviceKey{kind: row.vm.Kind, service: row.serviceOf()}
	if row.pool != nil && row.pool.key == key {
		return
	}
	s.leavePool(row)
	target := s.pools[key]
	if target == nil {
		target = newPool(key, &s.policy)
		s.pools[key] = target
		s.poolList = append(s.poolList, target)
	}
	target.join(row)
	row.region.place(row)
}

func (s *State) leavePool(row *server) {
	left := row.pool
	if left == nil {
		return
	}
	left.leave(row)
	if left.size == 0 {
		delete(s.pools, left.key)
		s.poolList = slices.DeleteFunc(s.poolList, func(p *pool) bool { return p == left })
	}
}

// ApplyStatus takes in an engine's report that was measured at a past time. A
// report measured before the newest one known is dropped.
func (s *State) ApplyStatus(status core.EngineStatus, measured time.Time) {
	row := s.servers[status.Server]
	if row == nil || row.unpolled || measured.Before(row.load.reported) {
		return
	}
	if row.reported {
		s.swapWeights(row, &status)
	}
	s.learnEvents(row, &status, measured)
	status.CacheEvents = nil
	changed := !row.reported || !sameVersions(&row.status, &status)
	row.status, row.reported = status, true
	s.joinPool(row)
	if changed {
		row.region.place(row)
		row.seeVersions()
	}
	if !measured.Before(row.health.UnreachableSince()) {
		s.Reachable(status.Server, measured)
	}
	row.pool.measureShare(row.streams(), row.load.at(measured).streams)
	row.load.report(row.streams(), row.pool.tokensPerStream, measured)
}

func sameVersions(a, b *core.EngineStatus) bool {
	return a.Adapter == b.Adapter && a.Version == b.Version && slices.Equal(a.Versions, b.Versions)
}

func (r *server) seeVersions() {
	if len(r.status.Versions) == 0 {
		r.pool.see(r.status.Adapter, r.status.Version)
	}
	for _, held := range r.status.Versions {
		r.pool.see(held.Adapter, held.Version)
	}
}

// Begin counts a request as in flight on a server, reserves its bytes on the
// link when the server is in another region, and notes its prompt as cached
// there. It takes constant time. A server that is not listed gives a Dispatch
// without a server, which End ignores.
func (s *State) Begin(id core.ServerID, query Query, now time.Time) Dispatch {
	row := s.servers[id]
	if row == nil {
		return Dispatch{Started: now}
	}
	begun := Dispatch{VM: row.vm, Tokens: query.Tokens, Started: now, row: row.number}
	begun.load = s.loadOf(row, row.pool.peers(s.processes), now)
	begun.answer = query.work(math.MaxFloat64)
	begun.prefill = query.work(s.cachedTokens(row, query.Prefix, now)) - begun.answer
	if row.vm.Region != query.Region {
		begun.bytes = query.linkBytes()
		s.link.take(begun.bytes)
	}
	row.load.change(1, query.Tokens, now)
	row.pool.used(row)
	smooth(&row.pool.tokensPerStream, float64(query.Tokens))
	s.learnDispatch(row, query.Prefix, now)
	return begun
}

// End takes back what Begin counted and judges the server by the result. It
// takes constant time.
func (s *State) End(ended Dispatch, result Result, now time.Time, random *rand.Rand) {
	if result.Bytes > 0 && ended.bytes > 0 {
		s.link.refund(ended.bytes - float64(result.Bytes))
	}
	row := s.servers[ended.VM.ID]
	if row == nil || row.number != ended.row {
		return
	}
	row.load.change(-1, -ended.Tokens, now)
	if result.Refused {
		row.pushback.refused(now)
	} else if result.Outcome == outlier.Succeeded {
		row.pushback.took()
	}
	work := ended.prefill + ended.answer
	if result.Tokens > 0 {
		work = ended.prefill + float64(result.Tokens)
	}
	took := now.Sub(ended.Started)
	if result.Outcome == outlier.Succeeded {
		row.pool.speed.add(work, ended.load+float64(ended.Tokens), took)
	}
	judged := outlier.Result{Outcome: result.Outcome, Work: work, Took: took}
	if row.pool.detector.Record(&row.health, judged, now, random) {
		row.region.place(row)
	}
}

// Unreachable takes a server out of service to which no connection could be
// made by an attempt that began at the given time. A report measured later
// brings it back.
func (s *State) Unreachable(id core.ServerID, tried time.Time) {
	row := s.servers[id]
	if row == nil || tried.Before(row.load.reported) {
		return
	}
	if row.pool.detector.Unreachable(&row.health, tried) {
		row.region.place(row)
	}
}

// Silent is Unreachable for a server that did not answer in time.
func (s *State) Silent(id core.ServerID, tried time.Time) {
	row := s.servers[id]
	if row == nil || tried.Before(row.load.reported) {
		return
	}
	if row.pool.detector.Silent(&row.health, tried) {
		row.region.place(row)
	}
}

// Reachable brings back a server that answered. Engines come back with their
// reports.
func (s *State) Reachable(id core.ServerID, now time.Time) {
	row := s.servers[id]
	if row != nil && row.pool.detector.Reachable(&row.health, now) {
		row.region.place(row)
	}
}

// shortShare is the share of a service's servers without which the others have
// no room to spare.
const shortShare = 0.2

// Short reports whether so many servers of a service cannot be reached that the
// others have no room for work that is moved.
func (s *State) Short(kind core.ServerKind, service string) bool {
	pool := s.pools[serviceKey{kind: kind, service: service}]
	return pool != nil && float64(pool.detector.Away()) > shortShare*float64(pool.size)
}

// Sweep ejects and returns servers as package outlier decides. It takes time
// linear in the servers and is called about once a second.
func (s *State) Sweep(now time.Time, random *rand.Rand) {
	for _, pool := range s.poolList {
		pool.detector.Sweep(now, random)
	}
	for _, row := range s.rows {
		if row.eligible() != (len(row.placed) > 0) {
			row.region.place(row)
		}
	}
}

// Ejected returns the servers that get no new work because they fail, are slow
// or cannot be reached, sorted by id.
func (s *State) Ejected() []core.ServerID {
	var ids []core.ServerID
	for _, row := range s.rows {
		if row.health.Ejected() {
			ids = append(ids, row.vm.ID)
		}
	}
	return ids
}

// Finding returns what an ejected server is kept out for, the zero value for
// one that is not listed.
func (s *State) Finding(id core.ServerID, now time.Time) outlier.Finding {
	row := s.servers[id]
	if row == nil || row.pool == nil {
		return outlier.Finding{}
	}
	return row.pool.detector.Finding(&row.health, now)
}

// Server returns a listed server.
func (s *State) Server(id core.ServerID) (core.VM, bool) {
	row := s.servers[id]
	if row == nil {
		return core.VM{}, false
	}
	return row.vm, true
}

// Views returns all servers, sorted by id.
func (s *State) Views() []View {
	views := make([]View, 0, len(s.rows))
	for _, row := range s.rows {
		views = append(views, row.view())
	}
	return views
}

// EnginesOf returns the listed engines of a service, sorted by id.
func (s *State) EnginesOf(service string) []View {
	var views []View
	for _, row := range s.rows {
		if row.vm.Kind == core.KindEngine && row.vm.Service == service {
			views = append(views, row.view())
		}
	}
	return views
}

// UnreachableOf returns the servers of a kind that cannot be reached.
func (s *State) UnreachableOf(kind core.ServerKind) []core.VM {
	var vms []core.VM
	for _, row := range s.servers {
		if row.vm.Kind == kind && !row.health.UnreachableSince().IsZero() {
			vms = append(vms, row.vm)
		}
	}
	return vms
}
