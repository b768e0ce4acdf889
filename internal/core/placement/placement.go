// Package placement decides which models, adapters and roles sit on which
// backend servers as demand and the VM list change.
//
// Each assignment is wanted on a number of servers in proportion to its
// demand. Servers change assignment only when the shortage has lasted, a few
// at a time, and only from assignments that have more than they need, so that
// a brief peak or a lagging VM list moves nothing.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Assignment is what a server runs.
type Assignment struct {
	Model   core.ModelName
	Adapter core.AdapterName
	Role    string
}

func compareAssignments(a, b Assignment) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Role, b.Role))
}

// Demand is what an assignment is asked for.
type Demand struct {
	Assignment Assignment
	Load       float64 // servers' worth of work, offered and waiting
	Least      int     // servers that it keeps whatever its load
}

// Server is one live backend server that may change its assignment.
type Server struct {
	ID       core.ServerID
	Zone     core.ZoneName
	Runs     Assignment
	Changing bool // an order to it is under way
	InFlight int  // tokens of requests in flight
}

// Policy bounds how placement moves.
type Policy struct {
	Headroom    float64       // factor on the load, for example 1.25
	Settle      time.Duration // for which a shortage must last
	Rest        time.Duration // between two changes of one server
	MovesAtOnce int           // servers changing at one time
}

// Move orders a server to another assignment.
type Move struct {
	Server core.ServerID
	To     Assignment
}

// State remembers shortages and changes. It is not safe for concurrent use.
type State struct {
	short   map[Assignment]*shortage
	movedAt map[core.ServerID]time.Time
}

// shortage is how many servers an assignment has lacked at least for some time.
type shortage struct {
	since time.Time
	least int
}

// NewState returns a state without history.
func NewState() *State {
	return &State{short: make(map[Assignment]*shortage), movedAt: make(map[core.ServerID]time.Time)}
}

// count is how many servers an assignment has and should have.
type count struct {
	demand Demand
	want   int
	have   int
	zones  map[core.ZoneName]int
}

// Decide returns the servers to be ordered to another assignment now.
func (s *State) Decide(servers []Server, demands []Demand, policy Policy, now time.Time) []Move {
	servers = slices.Clone(servers)
	s.forget(demands, policy, now)
	counts := countAll(servers, demands, policy)
	changing := 0
	for i := range servers {
		if servers[i].Changing {
			changing++
		}
	}
	var moves []Move
	for changing+len(moves) < policy.MovesAtOnce {
		short := s.shortest(counts, policy, now)
		if short == nil {
			break
		}
		donor := s.donor(servers, counts, short)
		if donor == nil {
			break
		}
		counts[donor.Runs].take(donor)
		donor.Runs = short.demand.Assignment
		short.add(donor)
		donor.Changing = true
		s.movedAt[donor.ID] = now
		s.filled(short, now)
		moves = append(moves, Move{Server: donor.ID, To: donor.Runs})
	}
	return moves
}

func (c *count) add(server *Server) {
	c.have++
	c.zones[server.Zone]++
}

func (c *count) take(server *Server) {
	c.have--
	c.zones[server.Zone]--
}

// countAll counts the servers of each assignment, wanted or not.
func countAll(servers []Server, demands []Demand, policy Policy) map[Assignment]*count {
	counts := make(map[Assignment]*count, len(demands))
	for _, demand := range demands {
		want := max(demand.Least, int(math.Ceil(demand.Load*policy.Headroom)))
		counts[demand.Assignment] = &count{demand: demand, want: want, zones: make(map[core.ZoneName]int)}
	}
	for i := range servers {
		at := counts[servers[i].Runs]
		if at == nil {
			at = &count{demand: Demand{Assignment: servers[i].Runs}, zones: make(map[core.ZoneName]int)}
			counts[servers[i].Runs] = at
		}
		at.add(&servers[i])
	}
	return counts
}

// filled notes that an assignment got a server. What it still lacks must last
// for the settle time again, once what had lasted is filled.
func (s *State) filled(short *count, now time.Time) {
	row := s.short[short.demand.Assignment]
	row.least--
	if row.least == 0 {
		*row = shortage{since: now, least: short.want - short.have}
	}
}

// lasting reports whether an assignment has lacked servers for the settle time.
func (s *State) lasting(c *count, policy Policy, now time.Time) bool {
	assignment := c.demand.Assignment
	lack := c.want - c.have
	if lack <= 0 {
		delete(s.short, assignment)
		return false
	}
	row := s.short[assignment]
	if row == nil {
		row = &shortage{since: now, least: lack}
		s.short[assignment] = row
	}
	row.least = min(row.least, lack)
	return now.Sub(row.since) >= policy.Settle
}

// shortest returns the assignment that lacks the largest share of its servers,
// among those with a lasting shortage.
func (s *State) shortest(counts map[Assignment]*count, policy Policy, now time.Time) *count {
	var worst *count
	for _, c := range counts {
		if s.lasting(c, policy, now) && (worst == nil || shorter(c, worst)) {
			worst = c
		}
	}
	return worst
}

func shorter(a, b *count) bool {
	lackA, lackB := float64(a.have)/float64(a.want), float64(b.have)/float64(b.want)
	if lackA != lackB {
		return lackA < lackB
	}
	return compareAssignments(a.demand.Assignment, b.demand.Assignment) < 0
}

// donor returns the server to be moved: of an assignment with more than it
// needs, in the zone where the short one has fewest, with least work in flight.
func (s *State) donor(servers []Server, counts map[Assignment]*count, short *count) *Server {
	var best *Server
	for i := range servers {
		server := &servers[i]
		from := counts[server.Runs]
		if server.Changing || from.have <= from.want {
			continue
		}
		if _, moved := s.movedAt[server.ID]; moved {
			continue
		}
		if best == nil || preferred(server, best, short) {
			best = server
		}
	}
	return best
}

func preferred(a, b *Server, short *count) bool {
	return cmp.Or(cmp.Compare(short.zones[a.Zone], short.zones[b.Zone]),
		cmp.Compare(a.InFlight, b.InFlight), cmp.Compare(a.ID, b.ID)) < 0
}

// forget drops what is remembered of rested servers and of demands that are gone.
func (s *State) forget(demands []Demand, policy Policy, now time.Time) {
	for id, at := range s.movedAt {
		if now.Sub(at) >= policy.Rest {
			delete(s.movedAt, id)
		}
	}
	for assignment := range s.short {
		if !slices.ContainsFunc(demands, func(d Demand) bool { return d.Assignment == assignment }) {
			delete(s.short, assignment)
		}
	}
}
