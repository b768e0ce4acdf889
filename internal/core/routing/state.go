// Package routing decides which backend server runs a request. The decision is
// made of filters, which drop servers that must not run it, scorers, which rate
// the rest, and a picker.
package routing

import (
	"math/rand/v2"
	"slices"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// Query describes the request to be routed.
type Query struct {
	Kind    core.ServerKind
	Service string // model, plain service or scoring service
	Adapter core.AdapterName
	Version core.WeightVersion // oldest weights that may serve it, zero for any
	Zone    core.ZoneName      // of the asking entry VM
	Region  core.RegionName    // of the asking entry VM
	Class   core.Class
	Tokens  int // expected tokens of prompt and answer
	Exclude []core.ServerID
}

// server is one backend server as the routing state sees it.
type server struct {
	vm       core.VM
	status   core.EngineStatus
	inFlight int // tokens of our own requests that have not ended
}

// State is what routing knows of the backend servers. It is not safe for
// concurrent use; a table guards it.
type State struct {
	servers map[core.ServerID]*server
	order   []core.ServerID // sorted, so that the same inputs give the same choice
}

// NewState returns a state without servers.
func NewState() *State {
	return &State{servers: make(map[core.ServerID]*server)}
}

// ApplyVMs replaces the set of servers by the backend servers of a VM list.
func (s *State) ApplyVMs(vms []core.VM) {
	listed := make(map[core.ServerID]*server, len(vms))
	s.order = s.order[:0]
	for _, vm := range vms {
		if vm.Kind == core.KindEntry {
			continue
		}
		row := s.servers[vm.ID]
		if row == nil {
			row = &server{}
		}
		row.vm = vm
		listed[vm.ID] = row
		s.order = append(s.order, vm.ID)
	}
	s.servers = listed
	slices.Sort(s.order)
}

// ApplyStatus takes in an engine's report.
func (s *State) ApplyStatus(status core.EngineStatus) {
	if row := s.servers[status.Server]; row != nil {
		row.status = status
	}
}

// Begin counts a request of the given tokens as in flight on a server.
func (s *State) Begin(id core.ServerID, tokens int) {
	if row := s.servers[id]; row != nil {
		row.inFlight += tokens
	}
}

// End takes back what Begin counted.
func (s *State) End(id core.ServerID, tokens int) {
	if row := s.servers[id]; row != nil {
		row.inFlight = max(0, row.inFlight-tokens)
	}
}

// Server returns a listed server.
func (s *State) Server(id core.ServerID) (core.VM, bool) {
	row := s.servers[id]
	if row == nil {
		return core.VM{}, false
	}
	return row.vm, true
}

// View is one server in a snapshot.
type View struct {
	VM       core.VM           `json:"vm"`
	Status   core.EngineStatus `json:"status"`
	InFlight int               `json:"in_flight_tokens"`
}

// Views returns all servers, sorted by id.
func (s *State) Views() []View {
	views := make([]View, 0, len(s.order))
	for _, id := range s.order {
		row := s.servers[id]
		views = append(views, View{VM: row.vm, Status: row.status, InFlight: row.inFlight})
	}
	return views
}

// Pick chooses a server. Errors: NoServer when no server may run the request.
func (s *State) Pick(query Query, random *rand.Rand) (core.VM, error) {
	var fit []*server
	for _, id := range s.order {
		if row := s.servers[id]; passes(row, &query) {
			fit = append(fit, row)
		}
	}
	if len(fit) == 0 {
		return core.VM{}, errkind.New(errkind.NoServer, "no live server of %q can take the request", query.Service)
	}
	return pick(fit, &query, random).vm, nil
}
