package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// message is one heartbeat or answer on its way between two processes.
type message struct {
	from, to int
	news     core.LimitNews
	found    bool
	sent     time.Time // of the heartbeat that an answer answers
	answer   bool
	due      time.Time
}

// fleetOptions size a fleet; the zero value of cut cuts nothing.
type fleetOptions struct {
	processes, limit int
	rollouts         bool
	timing           ShareTiming
	loss             float64       // of each message
	delay            time.Duration // longest of a message
	everyone         bool          // heartbeats to all each 500 ms, without questions out of turn
	listLag          time.Duration // longest until a process sees a change of the list
}

// process is one entry process of a fleet; share is nil while it is down.
type process struct {
	vm       core.VMID
	roster   *Roster
	share    *Share
	demand   int
	gate     *Gate[*lentJob] // nil when demand is given
	partners []int
	seen     int // version of the list that it reads
	seesAt   time.Time
}

func (p *process) need() Need {
	if p.gate != nil {
		return p.gate.Need()
	}
	return Need{Demand: p.demand, Firm: p.demand}
}

// fleet runs Shares against each other on a virtual clock with lost and late
// messages. Processes meet as in core/membership: two random partners a second
// up to 32 processes, one of 16 beyond, and questions out of turn.
type fleet struct {
	fleetOptions
	random    *rand.Rand
	now       time.Time
	processes []*process
	flying    []message
	cut       func(a, b int) bool
	lists     [][]core.VMID // all versions of the platform's list
	highest   int           // largest sum of usable units over all processes
	exchanges int           // heartbeats out of turn
	carried   int           // news of the limit in all messages
}

const (
	fleetTick  = 50 * time.Millisecond
	beatTicks  = 10 // a heartbeat every 500 ms, of all to all
	roundTicks = 20 // a round of gossip
	askTicks   = 2  // looks for questions out of turn
	fleetLimit = 100
)

var (
	fleetTiming   = ShareTiming{Borrowed: 3 * time.Second, Gone: 5 * time.Second, Settle: 2 * time.Second}
	productTiming = ShareTiming{Borrowed: 30 * time.Second, Gone: 35 * time.Second, Settle: 2 * time.Second}
)

func vmName(i int) core.VMID { return core.VMID(fmt.Sprintf("vm-%03d", i)) }

func newFleet(seed uint64, options fleetOptions) *fleet {
	f := &fleet{
		fleetOptions: options, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e6, 0),
		cut: func(int, int) bool { return false },
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
	p.seen, p.partners = len(f.lists)-1, nil
	p.roster.ApplyListed(f.lists[p.seen], f.now)
	p.share = NewShare(ShareOptions{
		Deployment: "d", Self: p.vm, Limit: f.limit, Rollouts: f.rollouts, Timing: f.timing,
		Roster: p.roster, Epoch: &core.AccountEpoch{Incarnation: incarnation},
	}, f.now)
}

func (f *fleet) kill(i int) { f.processes[i].share = nil }

// list changes the platform's list; each process sees it after its own lag.
func (f *fleet) list(vms []core.VMID) {
	f.lists = append(f.lists, vms)
	for _, p := range f.processes {
		p.seesAt = f.now
		if f.listLag > 0 {
			p.seesAt = f.now.Add(time.Duration(f.random.Int64N(int64(f.listLag))))
		}
	}
}

func without(vms []core.VMID, vm core.VMID) []core.VMID {
	return slices.DeleteFunc(slices.Clone(vms), func(other core.VMID) bool { return other == vm })
}

func (f *fleet) send(from, to int, answer bool, sent time.Time) {
	p := f.processes[from]
	news, found := p.share.News(vmName(to), p.need(), answer, f.now)
	if found {
		f.carried++
	}
	if f.random.Float64() < f.loss || f.cut(from, to) {
		return
	}
	delay := time.Duration(f.random.Int64N(int64(f.delay)))
	f.flying = append(f.flying, message{from, to, news, found, sent, answer, f.now.Add(delay)})
}

func (f *fleet) deliver() {
	kept := f.flying[:0]
	var due []message
	for _, m := range f.flying {
		if m.due.After(f.now) {
			kept = append(kept, m)
		} else {
			due = append(due, m)
		}
	}
	f.flying = kept
	for _, m := range due {
		p := f.processes[m.to]
		if p.share == nil {
			continue
		}
		p.roster.Heard(vmName(m.from), f.now)
		p.share.Tick(f.now)
		if m.found {
			sent := m.sent
			if !m.answer {
				sent = time.Time{}
			}
			p.share.Heard(vmName(m.from), m.news, sent, f.now)
		}
		if !m.answer {
			f.send(m.to, m.from, true, m.sent)
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
		if p.seen < len(f.lists)-1 && !f.now.Before(p.seesAt) {
			p.seen = len(f.lists) - 1
			p.roster.ApplyListed(f.lists[p.seen], f.now)
		}
		p.roster.Tick(f.now)
		p.share.Tick(f.now)
		f.beat(i, number)
	}
	f.highest = max(f.highest, f.sum())
}

func (f *fleet) beat(i, number int) {
	switch {
	case f.everyone && number%beatTicks == i%beatTicks:
		for j := range f.processes {
			if j != i {
				f.send(i, j, false, f.now)
			}
		}
	case !f.everyone && number%roundTicks == i%roundTicks:
		f.round(i)
	}
	if f.everyone || number%askTicks != i%askTicks {
		return
	}
	p := f.processes[i]
	for _, vm := range p.share.Asks(p.need(), f.now) {
		f.exchanges++
		f.send(i, f.number(vm), false, f.now)
	}
}

func (f *fleet) round(i int) {
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

func (f *fleet) number(vm core.VMID) int {
	return slices.IndexFunc(f.processes, func(p *process) bool { return p.vm == vm })
}

// sum returns the usable units of all live processes.
func (f *fleet) sum() (sum int) {
	for _, p := range f.processes {
		if p.share != nil {
			sum += p.share.Usable(f.now)
		}
	}
	return sum
}

// served is how much of the demand the shares allow.
// Equal is what a fixed equal split would allow.
func (f *fleet) served() (served, equal, possible int) {
	for _, p := range f.processes {
		if p.share != nil {
			served += min(p.demand, p.share.Usable(f.now))
			equal += min(p.demand, f.limit/len(f.processes))
			possible += p.demand
		}
	}
	return served, equal, min(possible, f.limit)
}

// shift gives a few processes most of the demand.
func (f *fleet) shift() {
	for _, p := range f.processes {
		p.demand = f.random.IntN(6)
	}
	for range 2 {
		f.processes[f.random.IntN(len(f.processes))].demand = 30 + f.random.IntN(40)
	}
}

// smallFleet is a site of ten whose heartbeats go to all.
func smallFleet(timing ShareTiming) fleetOptions {
	return fleetOptions{
		processes: 10, limit: fleetLimit, timing: timing, loss: 0.1, delay: 400 * time.Millisecond, everyone: true,
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
				f.list(without(f.lists[0], vmName(3)))
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
		{"half is cut off and comes back", func(f *fleet, number int) {
			f.cut = func(a, b int) bool { return number > 200 && number < 600 && a/5 != b/5 }
		}},
		{"one way is cut", func(f *fleet, number int) {
			f.cut = func(a, b int) bool { return number > 200 && number < 600 && a == 0 && b > 4 }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			served, equal, possible := 0, 0, 0
			for seed := uint64(1); seed <= 10; seed++ {
				f := newFleet(seed, smallFleet(fleetTiming))
				for number := range 1200 {
					if number%120 == 0 {
						f.shift()
					}
					c.event(f, number)
					f.tick(number)
					s, e, p := f.served()
					served += s
					equal += e
					possible += p
				}
				if f.highest > fleetLimit {
					t.Errorf("seed %d: %d units usable at once, want at most %d", seed, f.highest, fleetLimit)
				}
			}
			t.Logf("served %.3f of the possible demand, a fixed equal split %.3f",
				float64(served)/float64(possible), float64(equal)/float64(possible))
		})
	}
}

func TestShareGrowsAfterAProcessIsGone(t *testing.T) {
	f := newFleet(1, smallFleet(fleetTiming))
	for number := range 1200 {
		if number == 300 {
			f.kill(3)
			f.list(without(f.lists[0], vmName(3)))
		}
		f.tick(number)
	}
	sum := 0
	for _, p := range f.processes {
		if p.share != nil {
			sum += p.share.part(f.now)
		}
	}
	if sum != fleetLimit {
		t.Errorf("own parts sum to %d, want %d", sum, fleetLimit)
	}
}
