package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// message is one heartbeat or answer on its way between two processes.
type message struct {
	from, to int
	news     core.LimitNews
	sent     time.Time // of the heartbeat that an answer answers
	answer   bool
	due      time.Time
}

// fleet runs Shares against each other on a virtual clock with lost and late
// messages.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	shares  []*Share // nil while the process is down
	demand  []int
	flying  []message
	loss    float64
	cut     func(a, b int) bool
	listed  []core.VMID
	highest int // largest sum of usable units over all processes
}

const (
	fleetTick  = 50 * time.Millisecond
	beatTicks  = 10 // a heartbeat every 500 ms
	fleetLimit = 100
)

var fleetTiming = ShareTiming{Borrowed: 3 * time.Second, Gone: 5 * time.Second, Settle: 2 * time.Second}

func vmName(i int) core.VMID { return core.VMID(fmt.Sprintf("vm-%02d", i)) }

func newFleet(seed uint64, processes int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0),
		demand: make([]int, processes), loss: 0.1, cut: func(int, int) bool { return false },
	}
	for i := range processes {
		f.listed = append(f.listed, vmName(i))
		f.shares = append(f.shares, nil)
	}
	for i := range processes {
		f.start(i, 1)
	}
	return f
}

func (f *fleet) start(i int, incarnation core.Incarnation) {
	f.shares[i] = NewShare(vmName(i), incarnation, fleetLimit, fleetTiming, f.now)
	f.shares[i].ApplyListed(f.listed, f.now)
}

func (f *fleet) send(from, to int, answer bool, sent time.Time) {
	news := f.shares[from].News("d", vmName(to), Demand{All: f.demand[from]}, f.now)
	if f.random.Float64() < f.loss || f.cut(from, to) {
		return
	}
	delay := time.Duration(f.random.IntN(400)) * time.Millisecond
	f.flying = append(f.flying, message{from, to, news, sent, answer, f.now.Add(delay)})
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
		if f.shares[m.to] == nil {
			continue
		}
		f.shares[m.to].Heard(vmName(m.from), m.news, f.now)
		if m.answer {
			f.shares[m.to].Answered(vmName(m.from), m.sent)
		} else {
			f.send(m.to, m.from, true, m.sent)
		}
	}
}

func (f *fleet) tick(number int) {
	f.now = f.now.Add(fleetTick)
	f.deliver()
	for i, share := range f.shares {
		if share == nil || number%beatTicks != i%beatTicks {
			continue
		}
		share.ApplyListed(f.listed, f.now)
		for j := range f.shares {
			if j != i {
				f.send(i, j, false, f.now)
			}
		}
	}
	sum := 0
	for _, share := range f.shares {
		if share != nil {
			sum += share.Usable(f.now)
		}
	}
	f.highest = max(f.highest, sum)
}

// served is how much of the demand the shares allow.
// Equal is what a fixed equal split would allow.
func (f *fleet) served() (served, equal, possible int) {
	for i, share := range f.shares {
		if share != nil {
			served += min(f.demand[i], share.Usable(f.now))
			equal += min(f.demand[i], fleetLimit/len(f.shares))
			possible += f.demand[i]
		}
	}
	return served, equal, min(possible, fleetLimit)
}

// shift gives a few processes most of the demand.
func (f *fleet) shift() {
	for i := range f.demand {
		f.demand[i] = f.random.IntN(6)
	}
	for range 2 {
		f.demand[f.random.IntN(len(f.demand))] = 30 + f.random.IntN(40)
	}
}

func TestShareSumStaysWithinTheLimit(t *testing.T) {
	cases := []struct {
		name  string
		event func(f *fleet, number int)
		bound int // units that all processes together may use at any time
	}{
		{"demand shifts", func(*fleet, int) {}, fleetLimit},
		{"one dies and leaves the list", func(f *fleet, number int) {
			if number == 300 {
				f.shares[3] = nil
			}
			if number == 400 {
				f.listed = append(append([]core.VMID(nil), f.listed[:3]...), f.listed[4:]...)
			}
		}, fleetLimit},
		{"one restarts", func(f *fleet, number int) {
			if number == 300 {
				f.shares[3] = nil
			}
			if number == 340 {
				f.start(3, 2)
			}
		}, fleetLimit + fleetLimit/unsettledDivisor},
		{"half is cut off and comes back", func(f *fleet, number int) {
			f.cut = func(a, b int) bool { return number > 200 && number < 600 && a/5 != b/5 }
		}, fleetLimit},
		{"one way is cut", func(f *fleet, number int) {
			f.cut = func(a, b int) bool { return number > 200 && number < 600 && a == 0 && b > 4 }
		}, fleetLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			served, equal, possible := 0, 0, 0
			for seed := uint64(1); seed <= 10; seed++ {
				f := newFleet(seed, 10)
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
				if f.highest > c.bound {
					t.Errorf("seed %d: %d units usable at once, want at most %d", seed, f.highest, c.bound)
				}
			}
			t.Logf("served %.3f of the possible demand, a fixed equal split %.3f",
				float64(served)/float64(possible), float64(equal)/float64(possible))
		})
	}
}

func TestShareGrowsAfterAProcessIsGone(t *testing.T) {
	f := newFleet(1, 10)
	for number := range 1200 {
		if number == 300 {
			f.shares[3] = nil
			f.listed = append(append([]core.VMID(nil), f.listed[:3]...), f.listed[4:]...)
		}
		f.tick(number)
	}
	sum := 0
	for _, share := range f.shares {
		if share != nil {
			sum += share.part
		}
	}
	if sum != fleetLimit {
		t.Errorf("own parts sum to %d, want %d", sum, fleetLimit)
	}
}

// A lender in a deployment for people keeps most of its part from rollouts.
func TestShareLendsLessToRollouts(t *testing.T) {
	cases := []struct {
		name   string
		class  core.Class
		demand Demand
		want   int // usable by the borrower of two parts of 20
	}{
		{"people", core.ClassPeople, Demand{All: 200}, 35},
		{"people and rollouts", core.ClassPeople, Demand{All: 200, Rollouts: 100}, 35},
		{"rollouts", core.ClassPeople, Demand{All: 200, Rollouts: 190}, 28},
		{"rollouts where nobody else asks", core.ClassRollout, Demand{All: 200, Rollouts: 200}, 35},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lender, borrower := NewShare("a", 1, 40, fleetTiming, start), NewShare("b", 1, 40, fleetTiming, start)
			now := start
			for range 20 {
				now = now.Add(500 * time.Millisecond)
				for _, share := range []*Share{lender, borrower} {
					share.SetClass(c.class)
					share.ApplyListed([]core.VMID{"a", "b"}, now)
				}
				lender.Heard("b", borrower.News("d", "a", c.demand, now), now)
				borrower.Heard("a", lender.News("d", "b", Demand{}, now), now)
				borrower.Answered("a", now)
			}
			if got := borrower.Usable(now); got != c.want {
				t.Errorf("%d usable, want %d", got, c.want)
			}
		})
	}
}
