package admission

import (
	"fmt"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// gossipFleetOptions returns the options of a fleet that spreads updates by
// gossip, with the production timing.
func gossipFleetOptions(processes, limit int) fleetOptions {
	return fleetOptions{
		processes: processes, limit: limit, timing: productionTiming,
		lossRate: 0.1, maxDelay: 100 * time.Millisecond, maxListLag: 2 * time.Second,
	}
}

// fleetFaults are the fault scenarios; event is called with the number of each
// 50 ms tick.
var fleetFaults = []struct {
	name  string
	event func(f *fleet, number int)
}{
	{"none", func(*fleet, int) {}},
	{"one a minute dies, leaves the list 5 s later and is replaced", func(f *fleet, number int) {
		victim := number / 1200 % len(f.processes)
		switch number % 1200 {
		case 600:
			f.kill(victim)
		case 700:
			f.setList(without(f.lists[0], vmName(victim)))
		case 760:
			f.setList(f.lists[0])
			f.start(victim, incarnationAt(number))
		}
	}},
	{"one restarts every 3 s", func(f *fleet, number int) {
		if number%60 == 0 {
			f.kill(number / 60 % len(f.processes))
		}
		if number%60 == 20 {
			f.start(number/60%len(f.processes), incarnationAt(number))
		}
	}},
	{"half is partitioned off for 40 s", func(f *fleet, number int) {
		half := len(f.processes) / 2
		f.isCut = func(a, b int) bool { return number%2400 > 1000 && number%2400 < 1800 && (a < half) != (b < half) }
	}},
	{"a third sends but does not receive for 40 s", func(f *fleet, number int) {
		f.isCut = func(_, b int) bool { return number%2400 > 1000 && number%2400 < 1800 && b%3 == 0 }
	}},
	{"all start at once with one dead", func(f *fleet, number int) {
		if number == 1200 {
			for i := range f.processes {
				f.kill(i)
			}
		}
		if number > 1240 && number < 1241+len(f.processes) && number != 1245 {
			f.start(number-1241, 2)
		}
	}},
	{"most join a few, one of which has all the demand", func(f *fleet, number int) {
		const initial = 3
		for i := initial; number == 0 && i < len(f.processes); i++ {
			f.kill(i)
		}
		if number == 0 {
			f.setList(f.lists[0][:initial])
		}
		if number < 1300 {
			f.processes[0].demand, f.processes[1].demand, f.processes[2].demand = f.limit, 0, 0
		}
		if number == 1300 {
			f.setList(f.lists[0])
			for i := initial; i < len(f.processes); i++ {
				f.processes[i].demand = f.limit
				f.start(i, 2)
			}
		}
	}},
	{"every part grows and shrinks", func(f *fleet, number int) {
		if number%800 == 400 {
			f.setList(f.lists[0][:len(f.processes)/2])
		}
		if number%800 == 0 {
			f.setList(f.lists[0])
		}
	}},
}

// TestFleetStaysWithinTheLimit checks, with the production timing, that the
// usable units of all processes never exceed the limit.
func TestFleetStaysWithinTheLimit(t *testing.T) {
	sizes := []struct {
		options fleetOptions
		ticks   int
		seeds   uint64
	}{{gossipFleetOptions(10, 100), 4800, 3}, {gossipFleetOptions(10, 7), 4800, 1}, {gossipFleetOptions(60, 96), 2400, 1}}
	for _, size := range sizes {
		for _, fault := range fleetFaults {
			t.Run(fmt.Sprintf("%d processes, limit %d/%s", size.options.processes, size.options.limit, fault.name), func(t *testing.T) {
				for seed := range size.seeds {
					result := runFleet(newFleet(seed, size.options), size.ticks, fault.event)
					if result.maxUsable > size.options.limit {
						t.Errorf("seed %d: %d units usable at once, want at most %d", seed, result.maxUsable, size.options.limit)
					}
					t.Log(result)
				}
			})
		}
	}
}

// TestStartedFleetUsesItsLimit measures how soon a fleet that starts at once
// uses its limit: at once when all listed processes confirm that they use no
// units of another, and after PeerTimeout when one of them is dead.
func TestStartedFleetUsesItsLimit(t *testing.T) {
	const quick, afterPeerTimeout = time.Second, 36 * time.Second
	cases := []struct {
		processes, dead int
		within          time.Duration
	}{{1, 0, 0}, {2, 0, quick}, {3, 0, quick}, {10, 0, quick}, {32, 0, quick}, {10, 1, afterPeerTimeout}}
	for _, c := range cases {
		options := gossipFleetOptions(c.processes, 100)
		options.lossRate, options.maxListLag = 0, 0
		f := newFleet(1, options)
		for i := range c.dead {
			f.kill(i)
		}
		number, expected := 0, 100-100/c.processes*c.dead
		for ; f.usableSum() < expected && number < 1000; number++ {
			f.tick(number)
		}
		elapsed := f.now.Sub(time.Unix(1e6, 0))
		t.Logf("%d processes, %d dead: %d units after %v", c.processes, c.dead, f.usableSum(), elapsed)
		if elapsed > c.within {
			t.Errorf("%d processes, %d dead: the limit is usable after %v, want within %v", c.processes, c.dead, elapsed, c.within)
		}
	}
}

// warmupTicks is the time after the start that is left out of the served share:
// a fleet of more than maxMembersAskedAtStart processes waits for PeerTimeout.
const warmupTicks = 800

// TestLentUnitsAreReturned measures how soon lenders have all their units
// again.
func TestLentUnitsAreReturned(t *testing.T) {
	cases := []struct {
		name   string
		event  func(f *fleet)
		within time.Duration
		wanted bool // the borrower still wants to borrow
	}{
		{"the borrower no longer needs them", func(f *fleet) { f.processes[0].demand = 0 }, 15 * time.Second, false},
		{"the borrower dies", func(f *fleet) { f.kill(0) }, productionTiming.PeerTimeout + time.Second, false},
		{"the borrower dies and starts again", func(f *fleet) {
			f.processes[0].demand = 0
			f.kill(0)
			f.start(0, 2)
		}, 5 * time.Second, false},
		{"the borrower is partitioned off", func(f *fleet) { f.isCut = func(a, b int) bool { return a == 0 || b == 0 } }, productionTiming.PeerTimeout + time.Second, false},
		{"the limit falls", func(f *fleet) {
			for _, p := range f.processes {
				p.share.SetLimit(50, false, f.now)
			}
		}, 5 * time.Second, true},
	}
	for _, c := range cases {
		longest := time.Duration(0)
		for seed := range uint64(5) {
			f := newFleet(seed, gossipFleetOptions(10, 100))
			f.processes[0].demand = 100
			number := 0
			for ; number < 1200; number++ {
				f.tick(number)
			}
			borrowed := f.processes[0].share.UsableUnits(f.now)
			c.event(f)
			start := f.now
			for ; f.hasOutstandingLoans(c.wanted) && number < 3000; number++ {
				f.tick(number)
			}
			longest = max(longest, f.now.Sub(start))
			if borrowed < 60 || f.maxUsable > 100 {
				t.Errorf("%s, seed %d: %d units usable by one, %d by all", c.name, seed, borrowed, f.maxUsable)
			}
		}
		t.Logf("%s: all units returned after at most %v", c.name, longest)
		if longest > c.within {
			t.Errorf("%s: all units returned after %v, want within %v", c.name, longest, c.within)
		}
	}
}

// hasOutstandingLoans reports whether a process still misses units that it
// lent: those recalled or, unless they are still wanted, any.
func (f *fleet) hasOutstandingLoans(wanted bool) bool {
	for _, p := range f.processes[1:] {
		for _, a := range p.share.accounts {
			if a.revoked > 0 || (!wanted && a.netBorrowed() < 0) {
				return true
			}
		}
	}
	return false
}

// fleetResult holds the figures of one run.
type fleetResult struct {
	maxUsable         int
	served, equal     float64 // shares of the demand that the limit could serve
	requestsPerSecond float64 // heartbeats outside the regular schedule, per process
	updatesPerSecond  float64 // updates sent, per process
}

func runFleet(f *fleet, ticks int, event func(*fleet, int)) fleetResult {
	served, equal, possible := 0, 0, 0
	for number := range ticks {
		if number%600 == 0 {
			f.shiftDemand()
		}
		event(f, number)
		f.tick(number)
		if number < warmupTicks {
			continue
		}
		s, e, p := f.servedDemand()
		served, equal, possible = served+s, equal+e, possible+p
	}
	seconds := float64(ticks) * fleetTick.Seconds() * float64(len(f.processes))
	return fleetResult{
		f.maxUsable, float64(served) / float64(possible), float64(equal) / float64(possible),
		float64(f.outOfTurnCount) / seconds, float64(f.updateCount) / seconds,
	}
}

// incarnationAt returns the incarnation of a process that starts at a tick.
func incarnationAt(number int) core.Incarnation { return core.Incarnation(number + 2) }

// BenchmarkFleet reports the messages and the served share of demand when a few
// processes have all the demand, twice as many as own the limit. The busy
// processes change each minute.
func BenchmarkFleet(b *testing.B) {
	const ticks, shiftTicks = 6000, 1200
	for _, c := range []struct{ processes, limit, busy, demand int }{
		{10, 96, 3, 30}, {100, 96, 24, 4}, {610, 96, 24, 4}, {610, 1000, 250, 4}, {610, 20000, 300, 60},
	} {
		b.Run(fmt.Sprintf("processes=%d/limit=%d", c.processes, c.limit), func(b *testing.B) {
			f := newFleet(1, gossipFleetOptions(c.processes, c.limit))
			served, possible, slowest := 0, 0, 0
			for number := range ticks {
				if number%shiftTicks == 0 {
					f.assignDemand(c.busy, c.demand)
				}
				f.tick(number)
				if number < shiftTicks {
					f.outOfTurnCount, f.updateCount = 0, 0
					continue
				}
				s, _, p := f.servedDemand()
				served, possible = served+s, possible+p
				if 10*s < 9*p {
					slowest = max(slowest, number%shiftTicks)
				}
			}
			seconds := (ticks - shiftTicks) * fleetTick.Seconds()
			b.ReportMetric(float64(f.maxUsable)/float64(c.limit), "highest/limit")
			b.ReportMetric(float64(served)/float64(possible), "served")
			b.ReportMetric(float64(slowest)*fleetTick.Seconds(), "s-to-nine-tenths")
			b.ReportMetric(float64(f.outOfTurnCount)/seconds/float64(c.processes), "asks/s/process")
			b.ReportMetric(float64(f.updateCount)/seconds/float64(c.processes), "news/s/process")
		})
	}
}

// assignDemand gives the demand to the given number of random processes and
// none to the others.
func (f *fleet) assignDemand(busy, demand int) {
	for _, p := range f.processes {
		p.demand = 0
	}
	for _, i := range f.random.Perm(len(f.processes))[:busy] {
		f.processes[i].demand = demand
	}
}
