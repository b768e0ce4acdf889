package announce

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/routing"
)

// limitSimulation runs processes that send requests to the servers of one service, of
// which some advertise a rate limit, and that learn of each other's demand by announcements.
type limitSimulation struct {
	random     *rand.Rand
	states     []*routing.State
	views      []*View
	announced  map[core.VMID]core.MemberRecord
	arrivals   map[core.ServerID][]time.Duration
	bound      map[core.ServerID][]time.Duration // arrivals that the limits bind
	observedAt map[observation]time.Duration     // when a process first received a limit
	limits     map[core.ServerID]float64
	refused    int
	sent       int
}

// observation is a process that has received a server's limit.
type observation struct {
	process int
	server  core.ServerID
}

const (
	simService  = "desk"
	simStep     = 5 * time.Millisecond
	simLimited  = 8 * time.Second // servers advertise limits from then on
	simMove     = 20 * time.Second
	simLength   = 35 * time.Second
	simServed   = 30 * time.Millisecond // of one request
	simContact  = 4 * time.Second
	simWindow   = 4 * time.Second
	simBinding  = 500 * time.Millisecond // from receiving a limit until it binds a process
	limitFactor = 1.5
	limitExtra  = 5
)

func newLimitSimulation(processes, servers int, seed uint64) *limitSimulation {
	s := &limitSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), announced: make(map[core.VMID]core.MemberRecord),
		arrivals: make(map[core.ServerID][]time.Duration), limits: make(map[core.ServerID]float64),
		bound: make(map[core.ServerID][]time.Duration), observedAt: make(map[observation]time.Duration),
	}
	var vms []core.VM
	for i := range servers {
		vms = append(vms, core.VM{ID: core.ServerID(fmt.Sprint("s-", i)), Kind: core.KindPlain, Service: simService, Zone: "z", Region: "r", State: core.VMLive})
	}
	for range processes {
		state := routing.NewState(routing.DefaultPolicy())
		state.ApplyVMs(vms)
		s.states, s.views = append(s.states, state), append(s.views, NewView())
	}
	return s
}

func simVM(process int) core.VMID { return core.VMID(fmt.Sprintf("vm-%03d", process)) }

// send sends one request of a process. It returns false if no server may get it.
func (s *limitSimulation) send(process int, class core.Class, now time.Duration) bool {
	s.sent++
	state, clock := s.states[process], simTime(now)
	query := routing.Query{Kind: core.KindPlain, Service: simService, Class: class, Zone: "z", Region: "r", ExpectedTokens: 1}
	vm, err := state.Pick(query, clock, s.random)
	if err != nil {
		s.refused++
		return false
	}
	begun := state.Begin(vm.ID, query, clock)
	s.arrivals[vm.ID] = append(s.arrivals[vm.ID], now)
	observed := observation{process, vm.ID}
	if at, known := s.observedAt[observed]; known && now-at >= simBinding && now >= simLimited+simContact {
		s.bound[vm.ID] = append(s.bound[vm.ID], now)
	}
	ended := clock.Add(simServed)
	state.End(begun, routing.Result{Outcome: outlier.Succeeded}, ended, s.random)
	limit, limited := s.limits[vm.ID]
	if _, known := s.observedAt[observed]; limited && !known {
		s.observedAt[observed] = now + simServed
	}
	state.RecordNotice(vm.ID, core.ServerNotice{Limited: limited, RateLimit: limit, Answered: true}, clock, ended, s.random)
	return true
}

func simTime(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }

// run lets one process send scores and all of them lookups, at rates per second. The
// scores pass on to another process at simMove.
func (s *limitSimulation) run(scores, lookups float64, limitedServers int) {
	processes := len(s.states)
	announceEvery, readEvery := Interval(processes), MemberReadInterval(300*time.Millisecond, processes)
	beat := uint64(0)
	for now := time.Duration(0); now < simLength; now += simStep {
		if now == simLimited {
			for i := range limitedServers {
				id := core.ServerID(fmt.Sprint("s-", i))
				s.limits[id] = max(1, 0.5*float64(len(s.arrivals[id]))/simLimited.Seconds())
			}
		}
		for i := range processes {
			phase := time.Duration(i) * simStep * 7
			if (now+phase)%announceEvery < simStep {
				beat++
				s.announced[simVM(i)] = core.MemberRecord{Beat: beat, Every: announceEvery, Demand: s.states[i].Demand(simTime(now))}
			}
			if (now+phase)%readEvery < simStep {
				s.views[i].Observe(s.announced, simTime(now))
				s.states[i].SetRateShares(s.views[i].RateShares(simVM(i)))
				if demand := s.states[i].Demand(simTime(now)); s.views[i].HasDemandGrown(simVM(i), demand) {
					beat++
					s.announced[simVM(i)] = core.MemberRecord{Beat: beat, Every: announceEvery, Demand: demand}
				}
			}
		}
		scorer := 0
		if now >= simMove {
			scorer = processes - 1
		}
		if s.random.Float64() < scores*simStep.Seconds() {
			s.send(scorer, core.ClassRollout, now)
		}
		if s.random.Float64() < lookups*simStep.Seconds() {
			s.send(s.random.IntN(processes), core.ClassInteractive, now)
		}
	}
}

// TestRateLimitsHoldOverAllProcesses covers small and large fleets, limits that the load
// exceeds and a scoring process that moves.
func TestRateLimitsHoldOverAllProcesses(t *testing.T) {
	cases := []struct {
		processes, servers, limited int
		scores, lookups             float64
	}{
		{10, 3, 2, 100, 6},
		{10, 3, 3, 100, 6},
		{60, 8, 6, 150, 30},
		{300, 27, 19, 180, 20},
		{300, 27, 27, 180, 20},
		{610, 60, 42, 180, 180},
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			s := newLimitSimulation(c.processes, c.servers, seed)
			s.run(c.scores, c.lookups, c.limited)
			worst := 0.0
			for id, limit := range s.limits {
				bound := s.bound[id]
				for i := range bound {
					end, _ := slices.BinarySearch(bound, bound[i]+simWindow)
					allowed := limitFactor*limit*simWindow.Seconds() + limitExtra
					worst = max(worst, float64(end-i)/allowed)
				}
			}
			t.Logf("%d processes, %d of %d servers limited: at most %.2f of what is allowed, %d of %d refused", c.processes, c.limited, c.servers, worst, s.refused, s.sent)
			if worst > 1 {
				t.Errorf("%d processes, %d of %d servers limited, seed %d: a server got %.2f times what is allowed", c.processes, c.limited, c.servers, seed, worst)
			}
			if c.limited < c.servers && s.refused > 0 {
				t.Errorf("%d processes, seed %d: %d requests refused although servers without a limit are live", c.processes, seed, s.refused)
			}
		}
	}
}
