package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// message is one heartbeat or answer in flight between two processes.
type message struct {
	from, to  int
	update    core.LimitUpdate
	hasUpdate bool
	sentAt    time.Time // of the heartbeat, also in its answer
	answer    bool
	deliverAt time.Time
}

// fleetOptions configures a fleet.
type fleetOptions struct {
	processes, limit int
	rollouts         bool
	timing           ShareTiming
	lossRate         float64       // probability of losing a message
	maxDelay         time.Duration // of a message
	broadcast        bool          // heartbeats to all every 500 ms, none outside the schedule
	maxListLag       time.Duration // until a process sees a change of the list
}

// process is one entry process of a fleet; share is nil while it is down.
type process struct {
	vm          core.VMID
	roster      *Roster
	share       *Share
	demand      int
	gate        *Gate[*lendingJob] // nil when demand is given
	partners    []int
	listVersion int // version of the list that it last read
	nextListAt  time.Time
}

func (p *process) currentNeed() Need {
	if p.gate != nil {
		return p.gate.Need()
	}
	return Need{Demand: p.demand, Urgent: p.demand}
}

// fleet runs Shares against each other on a virtual clock with lost and delayed
// messages. Processes exchange heartbeats as in core/membership: with two
// random partners a second up to 32 processes, with one of 16 beyond, and
// outside that schedule on request.
type fleet struct {
	fleetOptions
	random         *rand.Rand
	now            time.Time
	processes      []*process
	inFlight       []message
	isCut          func(a, b int) bool
	lists          [][]core.VMID // all versions of the platform's list
	maxUsable      int           // largest sum of usable units over all processes
	outOfTurnCount int           // heartbeats outside the regular schedule
	updateCount    int           // updates in all messages
}

const (
	fleetTick      = 50 * time.Millisecond
	broadcastTicks = 10 // a heartbeat from all to all every 500 ms
	gossipTicks    = 20 // a gossip round every second
	outOfTurnTicks = 2  // a check for heartbeats outside the schedule every 100 ms
	fleetLimit     = 100
)

var (
	fleetTiming      = ShareTiming{LoanTimeout: 3 * time.Second, PeerTimeout: 5 * time.Second, StartupDelay: 2 * time.Second}
	productionTiming = ShareTiming{LoanTimeout: 30 * time.Second, PeerTimeout: 35 * time.Second, StartupDelay: 2 * time.Second}
)

func vmName(i int) core.VMID { return core.VMID(fmt.Sprintf("vm-%03d", i)) }

func newFleet(seed uint64, options fleetOptions) *fleet {
	f := &fleet{
		fleetOptions: options, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e6, 0),
		isCut: func(int, int) bool { return false },
	}
	var all []core.VMID
	for i := range options.processes {
		all = append(all, vmName(i))
		f.processes = append(f.processes, &process{vm: vmName(i)})
	}
	f.lists = [][]core.VMID{all}
	for i := range f.processes {
		f.start(i, 1)
	}
	return f
}

func (f *fleet) start(i int, incarnation core.Incarnation) {
	p := f.processes[i]
	p.roster = NewRoster(p.vm, f.timing, f.now)
	p.listVersion, p.partners = len(f.lists)-1, nil
	p.roster.SetListed(f.lists[p.listVersion], f.now)
	p.share = NewShare(ShareOptions{
		Deployment: "d", Self: p.vm, Limit: f.limit, Rollouts: f.rollouts, Timing: f.timing,
		Roster: p.roster, Epoch: &core.AccountEpoch{Incarnation: incarnation},
	}, f.now)
}

func (f *fleet) kill(i int) { f.processes[i].share = nil }

// setList changes the platform's list; each process sees the change after its
// own delay.
func (f *fleet) setList(vms []core.VMID) {
	f.lists = append(f.lists, vms)
	for _, p := range f.processes {
		p.nextListAt = f.now
		if f.maxListLag > 0 {
			p.nextListAt = f.now.Add(time.Duration(f.random.Int64N(int64(f.maxListLag))))
		}
	}
}

func without(vms []core.VMID, vm core.VMID) []core.VMID {
	return slices.DeleteFunc(slices.Clone(vms), func(other core.VMID) bool { return other == vm })
}

func (f *fleet) send(from, to int, answer bool, sent time.Time) {
	p := f.processes[from]
	update, hasUpdate := p.share.PrepareUpdate(vmName(to), p.currentNeed(), answer, f.now)
	if hasUpdate {
		f.updateCount++
	}
	if f.random.Float64() < f.lossRate || f.isCut(from, to) {
		return
	}
	delay := time.Duration(f.random.Int64N(int64(f.maxDelay)))
	f.inFlight = append(f.inFlight, message{from, to, update, hasUpdate, sent, answer, f.now.Add(delay)})
}

func (f *fleet) deliver() {
	undelivered := f.inFlight[:0]
	var due []message
	for _, m := range f.inFlight {
		if m.deliverAt.After(f.now) {
			undelivered = append(undelivered, m)
		} else {
			due = append(due, m)
		}
	}
	f.inFlight = undelivered
	for _, m := range due {
		p := f.processes[m.to]
		if p.share == nil {
			continue
		}
		p.roster.RecordHeartbeat(vmName(m.from), f.now)
		p.share.Tick(f.now)
		if m.hasUpdate {
			sent := m.sentAt
			if !m.answer {
				sent = time.Time{}
			}
			p.share.ApplyUpdate(vmName(m.from), m.update, sent, f.now)
		}
		if !m.answer {
			f.send(m.to, m.from, true, m.sentAt)
		}
	}
}

func (f *fleet) tick(number int) {
	f.now = f.now.Add(fleetTick)
	f.deliver()
	for i, p := range f.processes {
		if p.share == nil {
			continue
		}
		if p.listVersion < len(f.lists)-1 && !f.now.Before(p.nextListAt) {
			p.listVersion = len(f.lists) - 1
			p.roster.SetListed(f.lists[p.listVersion], f.now)
		}
		p.roster.Tick(f.now)
		p.share.Tick(f.now)
		f.sendHeartbeats(i, number)
	}
	f.maxUsable = max(f.maxUsable, f.usableSum())
}

func (f *fleet) sendHeartbeats(i, number int) {
	switch {
	case f.broadcast && number%broadcastTicks == i%broadcastTicks:
		for j := range f.processes {
			if j != i {
				f.send(i, j, false, f.now)
			}
		}
	case !f.broadcast && number%gossipTicks == i%gossipTicks:
		f.sendGossip(i)
	}
	if f.broadcast || number%outOfTurnTicks != i%outOfTurnTicks {
		return
	}
	p := f.processes[i]
	for _, vm := range p.share.HeartbeatTargets(p.currentNeed(), f.now) {
		f.outOfTurnCount++
		f.send(i, f.indexOf(vm), false, f.now)
	}
}

func (f *fleet) sendGossip(i int) {
	p, fanout, partners := f.processes[i], 2, f.fleetOptions.processes-1
	if f.fleetOptions.processes > 32 {
		fanout, partners = 1, 16
	}
	if len(p.partners) == 0 {
		for _, j := range f.random.Perm(len(f.processes)) {
			if j != i && len(p.partners) < partners {
				p.partners = append(p.partners, j)
			}
		}
	}
	for range fanout {
		f.send(i, p.partners[f.random.IntN(len(p.partners))], false, f.now)
	}
}

func (f *fleet) indexOf(vm core.VMID) int {
	return slices.IndexFunc(f.processes, func(p *process) bool { return p.vm == vm })
}

// usableSum returns the number of usable units over all live processes.
func (f *fleet) usableSum() (sum int) {
	for _, p := range f.processes {
		if p.share != nil {
			sum += p.share.UsableUnits(f.now)
		}
	}
	return sum
}

// servedDemand returns the demand that the shares allow, that a fixed equal
// split would allow, and that the limit could serve.
func (f *fleet) servedDemand() (served, equal, possible int) {
	for _, p := range f.processes {
		if p.share != nil {
			served += min(p.demand, p.share.UsableUnits(f.now))
			equal += min(p.demand, f.limit/len(f.processes))
			possible += p.demand
		}
	}
	return served, equal, min(possible, f.limit)
}

// shiftDemand gives a few processes most of the demand.
func (f *fleet) shiftDemand() {
	for _, p := range f.processes {
		p.demand = f.random.IntN(6)
	}
	for range 2 {
		f.processes[f.random.IntN(len(f.processes))].demand = 30 + f.random.IntN(40)
	}
}

// broadcastFleetOptions returns the options of ten processes that send
// heartbeats to all others.
func broadcastFleetOptions(timing ShareTiming) fleetOptions {
	return fleetOptions{
		processes: 10, limit: fleetLimit, timing: timing, lossRate: 0.1, maxDelay: 400 * time.Millisecond, broadcast: true,
	}
}

func TestShareSumStaysWithinTheLimit(t *testing.T) {
	cases := []struct {
		name  string
		event func(f *fleet, number int)
	}{
		{"demand shifts", func(*fleet, int) {}},
		{"one dies and leaves the list", func(f *fleet, number int) {
			if number == 300 {
				f.kill(3)
			}
			if number == 400 {
				f.setList(without(f.lists[0], vmName(3)))
			}
		}},
		{"one restarts", func(f *fleet, number int) {
			if number == 300 {
				f.kill(3)
			}
			if number == 340 {
				f.start(3, 2)
			}
		}},
		{"half is partitioned off and returns", func(f *fleet, number int) {
			f.isCut = func(a, b int) bool { return number > 200 && number < 600 && a/5 != b/5 }
		}},
		{"one direction is partitioned", func(f *fleet, number int) {
			f.isCut = func(a, b int) bool { return number > 200 && number < 600 && a == 0 && b > 4 }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			served, equal, possible := 0, 0, 0
			for seed := uint64(1); seed <= 10; seed++ {
				f := newFleet(seed, broadcastFleetOptions(fleetTiming))
				for number := range 1200 {
					if number%120 == 0 {
						f.shiftDemand()
					}
					c.event(f, number)
					f.tick(number)
					s, e, p := f.servedDemand()
					served += s
					equal += e
					possible += p
				}
				if f.maxUsable > fleetLimit {
					t.Errorf("seed %d: %d units usable at once, want at most %d", seed, f.maxUsable, fleetLimit)
				}
			}
			t.Logf("served %.3f of the possible demand, a fixed equal split %.3f",
				float64(served)/float64(possible), float64(equal)/float64(possible))
		})
	}
}

func TestShareGrowsAfterAProcessLeaves(t *testing.T) {
	f := newFleet(1, broadcastFleetOptions(fleetTiming))
	for number := range 1200 {
		if number == 300 {
			f.kill(3)
			f.setList(without(f.lists[0], vmName(3)))
		}
		f.tick(number)
	}
	sum := 0
	for _, p := range f.processes {
		if p.share != nil {
			sum += p.share.ownedUnits(f.now)
		}
	}
	if sum != fleetLimit {
		t.Errorf("owned parts sum to %d, want %d", sum, fleetLimit)
	}
}
