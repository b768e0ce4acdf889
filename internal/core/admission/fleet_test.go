package admission

import (
	"fmt"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// siteOf is a fleet whose processes meet by gossip, with the product's times.
func siteOf(processes, limit int) fleetOptions {
	return fleetOptions{
		processes: processes, limit: limit, timing: productTiming,
		loss: 0.1, delay: 100 * time.Millisecond, listLag: 2 * time.Second,
	}
}

// faults of one run; numbers are ticks of 50 ms.
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
			f.list(without(f.lists[0], vmName(victim)))
		case 760:
			f.list(f.lists[0])
			f.start(victim, startedAt(number))
		}
	}},
	{"one restarts every 3 s", func(f *fleet, number int) {
		if number%60 == 0 {
			f.kill(number / 60 % len(f.processes))
		}
		if number%60 == 20 {
			f.start(number/60%len(f.processes), startedAt(number))
		}
	}},
	{"half is cut off for 40 s", func(f *fleet, number int) {
		half := len(f.processes) / 2
		f.cut = func(a, b int) bool { return number%2400 > 1000 && number%2400 < 1800 && (a < half) != (b < half) }
	}},
	{"a third sends but does not hear for 40 s", func(f *fleet, number int) {
		f.cut = func(_, b int) bool { return number%2400 > 1000 && number%2400 < 1800 && b%3 == 0 }
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
	{"most join few, of which one has all the demand", func(f *fleet, number int) {
		const few = 3
		for i := few; number == 0 && i < len(f.processes); i++ {
			f.kill(i)
		}
		if number == 0 {
			f.list(f.lists[0][:few])
		}
		if number < 1300 {
			f.processes[0].demand, f.processes[1].demand, f.processes[2].demand = f.limit, 0, 0
		}
		if number == 1300 {
			f.list(f.lists[0])
			for i := few; i < len(f.processes); i++ {
				f.processes[i].demand = f.limit
				f.start(i, 2)
			}
		}
	}},
	{"every part grows and shrinks", func(f *fleet, number int) {
		if number%800 == 400 {
			f.list(f.lists[0][:len(f.processes)/2])
		}
		if number%800 == 0 {
			f.list(f.lists[0])
		}
	}},
}

// TestFleetStaysWithinTheLimit holds the bound with the product's times.
func TestFleetStaysWithinTheLimit(t *testing.T) {
	sizes := []struct {
		options fleetOptions
		ticks   int
		seeds   uint64
	}{{siteOf(10, 100), 4800, 3}, {siteOf(10, 7), 4800, 1}, {siteOf(60, 96), 2400, 1}}
	for _, size := range sizes {
		for _, fault := range fleetFaults {
			t.Run(fmt.Sprintf("%d processes, limit %d/%s", size.options.processes, size.options.limit, fault.name), func(t *testing.T) {
				for seed := range size.seeds {
					result := runFleet(newFleet(seed, size.options), size.ticks, fault.event)
					if result.highest > size.options.limit {
						t.Errorf("seed %d: %d units usable at once, want at most %d", seed, result.highest, size.options.limit)
					}
					t.Log(result)
				}
			})
		}
	}
}

// TestStartedFleetUsesItsLimit tells how soon a fleet that starts at once uses
// its whole limit: without waiting when all that are listed say that they use
// nothing of each other's, and after Gone when one of them is dead.
func TestStartedFleetUsesItsLimit(t *testing.T) {
	const quick, patience = time.Second, 36 * time.Second
	cases := []struct {
		processes, dead int
		within          time.Duration
	}{{1, 0, 0}, {2, 0, quick}, {3, 0, quick}, {10, 0, quick}, {32, 0, quick}, {10, 1, patience}}
	for _, c := range cases {
		options := siteOf(c.processes, 100)
		options.loss, options.listLag = 0, 0
		f := newFleet(1, options)
		for i := range c.dead {
			f.kill(i)
		}
		number, whole := 0, 100-100/c.processes*c.dead
		for ; f.sum() < whole && number < 1000; number++ {
			f.tick(number)
		}
		after := f.now.Sub(time.Unix(1e6, 0))
		t.Logf("%d processes, %d dead: %d units after %v", c.processes, c.dead, f.sum(), after)
		if after > c.within {
			t.Errorf("%d processes, %d dead: the limit is usable after %v, want within %v", c.processes, c.dead, after, c.within)
		}
	}
}

// warmTicks is the time after a start that the served part leaves out: a fleet
// of more than maxAskedStarting waits for Gone.
const warmTicks = 800

// TestLentPlacesComeBack tells when lenders have their whole parts again.
func TestLentPlacesComeBack(t *testing.T) {
	cases := []struct {
		name   string
		event  func(f *fleet)
		within time.Duration
		wanted bool // the borrower goes on borrowing
	}{
		{"the borrower needs them no more", func(f *fleet) { f.processes[0].demand = 0 }, 15 * time.Second, false},
		{"the borrower dies", func(f *fleet) { f.kill(0) }, productTiming.Gone + time.Second, false},
		{"the borrower dies and starts again", func(f *fleet) {
			f.processes[0].demand = 0
			f.kill(0)
			f.start(0, 2)
		}, 5 * time.Second, false},
		{"the borrower is cut off", func(f *fleet) { f.cut = func(a, b int) bool { return a == 0 || b == 0 } }, productTiming.Gone + time.Second, false},
		{"the limit falls", func(f *fleet) {
			for _, p := range f.processes {
				p.share.SetLimit(50, false, f.now)
			}
		}, 5 * time.Second, true},
	}
	for _, c := range cases {
		longest := time.Duration(0)
		for seed := range uint64(5) {
			f := newFleet(seed, siteOf(10, 100))
			f.processes[0].demand = 100
			number := 0
			for ; number < 1200; number++ {
				f.tick(number)
			}
			borrowed := f.processes[0].share.Usable(f.now)
			c.event(f)
			start := f.now
			for ; f.outstanding(c.wanted) && number < 3000; number++ {
				f.tick(number)
			}
			longest = max(longest, f.now.Sub(start))
			if borrowed < 60 || f.highest > 100 {
				t.Errorf("%s, seed %d: %d units usable by one, %d by all", c.name, seed, borrowed, f.highest)
			}
		}
		t.Logf("%s: whole after %v at most", c.name, longest)
		if longest > c.within {
			t.Errorf("%s: whole after %v, want within %v", c.name, longest, c.within)
		}
	}
}

// outstanding reports whether a process misses units of its part that it lent
// before the last recall or, when no one wants any, at all.
func (f *fleet) outstanding(wanted bool) bool {
	for _, p := range f.processes[1:] {
		for _, a := range p.share.accounts {
			if a.owed > 0 || (!wanted && a.net() < 0) {
				return true
			}
		}
	}
	return false
}

// fleetResult are the figures of one run.
type fleetResult struct {
	highest       int
	served, equal float64 // of the possible demand
	asked         float64 // heartbeats out of turn, for each process and second
	news          float64 // news of the limit that a process sends each second
}

func runFleet(f *fleet, ticks int, event func(*fleet, int)) fleetResult {
	served, equal, possible := 0, 0, 0
	for number := range ticks {
		if number%600 == 0 {
			f.shift()
		}
		event(f, number)
		f.tick(number)
		if number < warmTicks {
			continue
		}
		s, e, p := f.served()
		served, equal, possible = served+s, equal+e, possible+p
	}
	seconds := float64(ticks) * fleetTick.Seconds() * float64(len(f.processes))
	return fleetResult{
		f.highest, float64(served) / float64(possible), float64(equal) / float64(possible),
		float64(f.exchanges) / seconds, float64(f.carried) / seconds,
	}
}

// startedAt is the incarnation of a process that starts at a tick.
func startedAt(number int) core.Incarnation { return core.Incarnation(number + 2) }

// BenchmarkFleet reports what a limit costs and serves when a few processes
// have all the demand, twice as many as hold it. A new few have it each minute.
func BenchmarkFleet(b *testing.B) {
	const ticks, shiftTicks = 6000, 1200
	for _, c := range []struct{ processes, limit, busy, demand int }{
		{10, 96, 3, 30}, {100, 96, 24, 4}, {610, 96, 24, 4}, {610, 1000, 250, 4}, {610, 20000, 300, 60},
	} {
		b.Run(fmt.Sprintf("processes=%d/limit=%d", c.processes, c.limit), func(b *testing.B) {
			f := newFleet(1, siteOf(c.processes, c.limit))
			served, possible, slowest := 0, 0, 0
			for number := range ticks {
				if number%shiftTicks == 0 {
					f.shiftTo(c.busy, c.demand)
				}
				f.tick(number)
				if number < shiftTicks {
					f.exchanges, f.carried = 0, 0
					continue
				}
				s, _, p := f.served()
				served, possible = served+s, possible+p
				if 10*s < 9*p {
					slowest = max(slowest, number%shiftTicks)
				}
			}
			seconds := (ticks - shiftTicks) * fleetTick.Seconds()
			b.ReportMetric(float64(f.highest)/float64(c.limit), "highest/limit")
			b.ReportMetric(float64(served)/float64(possible), "served")
			b.ReportMetric(float64(slowest)*fleetTick.Seconds(), "s-to-nine-tenths")
			b.ReportMetric(float64(f.exchanges)/seconds/float64(c.processes), "asks/s/process")
			b.ReportMetric(float64(f.carried)/seconds/float64(c.processes), "news/s/process")
		})
	}
}

func (f *fleet) shiftTo(busy, demand int) {
	for _, p := range f.processes {
		p.demand = 0
	}
	for _, i := range f.random.Perm(len(f.processes))[:busy] {
		f.processes[i].demand = demand
	}
}
