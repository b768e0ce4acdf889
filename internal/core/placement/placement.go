// Package placement decides which models, adapters and roles run on which
// backend servers as demand and the VM list change.
//
// Each assignment requires a number of servers in proportion to its demand.
// Servers are moved only when a shortage has lasted for some time, a few
// servers at a time, and only from assignments with more servers than they
// require, so that a brief peak or a delayed VM list causes no moves.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Assignment is the model, adapter and role that a server runs.
type Assignment struct {
	Model   core.ModelName
	Adapter core.AdapterName
	Role    string
}

func compareAssignments(a, b Assignment) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Role, b.Role))
}

// Demand is the demand for one assignment.
type Demand struct {
	Assignment  Assignment
	LoadServers float64 // work arriving and waiting, in servers needed to run it
	MinServers  int     // servers required regardless of load
}

// Server is a live backend server whose assignment may change.
type Server struct {
	ID             core.ServerID
	Zone           core.ZoneName
	Assignment     Assignment
	Changing       bool // a change of its assignment is in progress
	InFlightTokens int
}

// Policy limits the moves of servers.
type Policy struct {
	Headroom           float64       // factor applied to the load, for example 1.25
	ShortageDelay      time.Duration // time for which a shortage must last before a move
	MoveCooldown       time.Duration // minimum time between two moves of one server
	MaxConcurrentMoves int           // servers changing their assignment at the same time
}

// Move is the decision to change a server's assignment.
type Move struct {
	Server core.ServerID
	To     Assignment
}

// State records current shortages and recent moves. It is not safe for
// concurrent use.
type State struct {
	shortages map[Assignment]*shortage
	movedAt   map[core.ServerID]time.Time
}

// shortage is the smallest number of servers missing from an assignment since a
// time.
type shortage struct {
	since      time.Time
	minMissing int
}

// NewState returns a state without shortages and moves.
func NewState() *State {
	return &State{shortages: make(map[Assignment]*shortage), movedAt: make(map[core.ServerID]time.Time)}
}

// assignmentCount is the number of servers that an assignment requires and has.
type assignmentCount struct {
	demand   Demand
	required int
	assigned int
	perZone  map[core.ZoneName]int
}

// Decide returns the servers to be moved to another assignment now and records
// the moves. It does not modify its arguments.
func (s *State) Decide(servers []Server, demands []Demand, policy Policy, now time.Time) []Move {
	servers = slices.Clone(servers)
	s.removeExpired(demands, policy, now)
	counts := countServers(servers, demands, policy)
	changing := 0
	for i := range servers {
		if servers[i].Changing {
			changing++
		}
	}
	var moves []Move
	for changing+len(moves) < policy.MaxConcurrentMoves {
		short := s.worstShortage(counts, policy, now)
		if short == nil {
			break
		}
		donor := s.chooseDonor(servers, counts, short)
		if donor == nil {
			break
		}
		counts[donor.Assignment].remove(donor)
		donor.Assignment = short.demand.Assignment
		short.add(donor)
		donor.Changing = true
		s.movedAt[donor.ID] = now
		s.recordMove(short, now)
		moves = append(moves, Move{Server: donor.ID, To: donor.Assignment})
	}
	return moves
}

func (c *assignmentCount) add(server *Server) {
	c.assigned++
	c.perZone[server.Zone]++
}

func (c *assignmentCount) remove(server *Server) {
	c.assigned--
	c.perZone[server.Zone]--
}

// countServers counts the servers of each assignment, with or without demand.
func countServers(servers []Server, demands []Demand, policy Policy) map[Assignment]*assignmentCount {
	counts := make(map[Assignment]*assignmentCount, len(demands))
	for _, demand := range demands {
		required := max(demand.MinServers, int(math.Ceil(demand.LoadServers*policy.Headroom)))
		counts[demand.Assignment] = &assignmentCount{demand: demand, required: required, perZone: make(map[core.ZoneName]int)}
	}
	for i := range servers {
		count := counts[servers[i].Assignment]
		if count == nil {
			count = &assignmentCount{demand: Demand{Assignment: servers[i].Assignment}, perZone: make(map[core.ZoneName]int)}
			counts[servers[i].Assignment] = count
		}
		count.add(&servers[i])
	}
	return counts
}

// recordMove records that an assignment received a server. Once the lasting
// shortage is covered, the rest must last for ShortageDelay again.
func (s *State) recordMove(short *assignmentCount, now time.Time) {
	recorded := s.shortages[short.demand.Assignment]
	recorded.minMissing--
	if recorded.minMissing == 0 {
		*recorded = shortage{since: now, minMissing: short.required - short.assigned}
	}
}

// hasLastingShortage reports whether an assignment has been short of servers for
// at least ShortageDelay. It also updates the recorded shortage.
func (s *State) hasLastingShortage(c *assignmentCount, policy Policy, now time.Time) bool {
	assignment := c.demand.Assignment
	missing := c.required - c.assigned
	if missing <= 0 {
		delete(s.shortages, assignment)
		return false
	}
	recorded := s.shortages[assignment]
	if recorded == nil {
		recorded = &shortage{since: now, minMissing: missing}
		s.shortages[assignment] = recorded
	}
	recorded.minMissing = min(recorded.minMissing, missing)
	return now.Sub(recorded.since) >= policy.ShortageDelay
}

// worstShortage returns the assignment with a lasting shortage that has the
// smallest share of its required servers, or nil.
func (s *State) worstShortage(counts map[Assignment]*assignmentCount, policy Policy, now time.Time) *assignmentCount {
	var worst *assignmentCount
	for _, c := range counts {
		if s.hasLastingShortage(c, policy, now) && (worst == nil || hasWorseShortage(c, worst)) {
			worst = c
		}
	}
	return worst
}

func hasWorseShortage(a, b *assignmentCount) bool {
	shareA, shareB := float64(a.assigned)/float64(a.required), float64(b.assigned)/float64(b.required)
	if shareA != shareB {
		return shareA < shareB
	}
	return compareAssignments(a.demand.Assignment, b.demand.Assignment) < 0
}

// chooseDonor returns the server to be moved to the short assignment, or nil. It
// considers servers that were not moved within MoveCooldown and whose assignment
// has more servers than it requires. It prefers the zone where the short
// assignment has the fewest servers, then the fewest tokens in flight.
func (s *State) chooseDonor(servers []Server, counts map[Assignment]*assignmentCount, short *assignmentCount) *Server {
	var best *Server
	for i := range servers {
		server := &servers[i]
		from := counts[server.Assignment]
		if server.Changing || from.assigned <= from.required {
			continue
		}
		if _, moved := s.movedAt[server.ID]; moved {
			continue
		}
		if best == nil || isBetterDonor(server, best, short) {
			best = server
		}
	}
	return best
}

func isBetterDonor(a, b *Server, short *assignmentCount) bool {
	return cmp.Or(cmp.Compare(short.perZone[a.Zone], short.perZone[b.Zone]),
		cmp.Compare(a.InFlightTokens, b.InFlightTokens), cmp.Compare(a.ID, b.ID)) < 0
}

// removeExpired removes moves older than MoveCooldown and the shortages of
// assignments without demand.
func (s *State) removeExpired(demands []Demand, policy Policy, now time.Time) {
	for id, at := range s.movedAt {
		if now.Sub(at) >= policy.MoveCooldown {
			delete(s.movedAt, id)
		}
	}
	for assignment := range s.shortages {
		if !slices.ContainsFunc(demands, func(d Demand) bool { return d.Assignment == assignment }) {
			delete(s.shortages, assignment)
		}
	}
}
