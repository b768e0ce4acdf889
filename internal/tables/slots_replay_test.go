package tables

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/errkind"
	"fescuespar/internal/virtualtime"
)

// The replays are of one process at which requests arrive at steady rates. A request that
// its servers have not answered by its timeout is cut and answered then.
const (
	replayLength   = 40 * time.Second
	answerSlack    = 500 * time.Millisecond // after its timeout, within which a request must be answered
	replayCapacity = 512                    // requests held by one process of 324 MB
)

// load is requests of one kind and account that arrive at a steady rate.
type load struct {
	kind      SlotKind
	account   core.CallerName
	priority  int
	slots     int // of the service's servers
	perSecond float64
	runs      time.Duration // at a server; longer than the timeout for servers that answer late
	timeout   time.Duration
	until     time.Duration // last arrival
	random    *rand.Rand    // of the times between arrivals; nil for equal ones
}

// results are the outcomes of the requests of one load.
type results struct {
	sent, served, refused, cut, unanswered int             // unanswered: answerSlack after the timeout
	waits                                  []time.Duration // from arrival to a server's answer
}

func (r *results) String() string {
	row := fmt.Sprintf("%d served, %d refused, %d cut, %d unanswered at the timeout", r.served, r.refused, r.cut, r.unanswered)
	if len(r.waits) > 0 {
		slices.Sort(r.waits)
		row += fmt.Sprintf(", p50 %v, p99 %v", r.waits[len(r.waits)/2], r.waits[len(r.waits)*99/100])
	}
	return row
}

// starter decides when requests start. It calls resume once for each request, and end when
// one that started has ended.
type starter interface {
	submit(l *load, now time.Time, resume func(error))
	end(l *load, held time.Duration, now time.Time)
}

// sharedLane is the previous behaviour: one lane for all, in the order of arrival.
type sharedLane struct {
	inFlight int
	waiting  []func(error)
}

func (s *sharedLane) submit(_ *load, _ time.Time, resume func(error)) {
	const limit, backlog = 256, 256
	switch {
	case s.inFlight < limit:
		s.inFlight++
		resume(nil)
	case len(s.waiting) < backlog:
		s.waiting = append(s.waiting, resume)
	default:
		resume(errkind.New(errkind.Overloaded, "full"))
	}
}

func (s *sharedLane) end(*load, time.Duration, time.Time) {
	if len(s.waiting) == 0 {
		s.inFlight--
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	next(nil)
}

// slotStarter is the present behaviour.
type slotStarter struct {
	clock *virtualtime.Clock
	slots *Slots
}

func newSlotStarter(clock *virtualtime.Clock, loads []*load, capacity int) *slotStarter {
	s := &slotStarter{clock: clock, slots: NewSlots(capacity)}
	services := make(map[string]int)
	for _, l := range loads {
		services[l.kind.Service] = l.slots
	}
	s.slots.SetServices(services, clock.Time())
	return s
}

func (s *slotStarter) submit(l *load, now time.Time, resume func(error)) {
	if s.slots.Acquire(l.kind, core.ClassInteractive, now) {
		resume(nil)
		return
	}
	wait, started, err := s.slots.Wait(l.kind, &admission.Request[AdmissionCallback]{
		Caller: l.account, Priority: l.priority, Class: core.ClassInteractive, Cost: 1, Deadline: now.Add(l.timeout), Payload: resume,
	}, now)
	if err != nil || started {
		resume(err)
		return
	}
	s.clock.After(wait.Until().Sub(now), func() {
		if s.slots.Cancel(wait) {
			resume(errkind.New(errkind.DeadlineTooShort, "waited in vain"))
		}
	})
}

func (s *slotStarter) end(l *load, held time.Duration, now time.Time) {
	s.slots.Release(l.kind, core.ClassInteractive, held, now)
}

// replay runs the loads and returns their results.
func replay(clock *virtualtime.Clock, policy starter, loads []*load) []*results {
	all := make([]*results, len(loads))
	for i, l := range loads {
		all[i] = &results{}
		var arrive func()
		arrive = func() {
			if interval := float64(time.Second) / l.perSecond; clock.Now() < l.until && l.random != nil {
				clock.After(time.Duration(interval*l.random.ExpFloat64()), arrive)
			} else if clock.Now() < l.until {
				clock.After(time.Duration(interval), arrive)
			}
			serve(clock, policy, l, all[i])
		}
		arrive()
	}
	clock.RunUntil(replayLength)
	return all
}

func serve(clock *virtualtime.Clock, policy starter, l *load, r *results) {
	arrived, answered := clock.Now(), false
	r.sent++
	clock.After(l.timeout+answerSlack, func() {
		if !answered {
			r.unanswered++
		}
	})
	policy.submit(l, clock.Time(), func(err error) {
		left := arrived + l.timeout - clock.Now()
		if err != nil || left <= 0 {
			answered = true
			r.refused++
			if err == nil {
				policy.end(l, 0, clock.Time())
			}
			return
		}
		runs := min(l.runs, left)
		clock.After(runs, func() {
			answered = true
			if runs < left {
				r.served++
				r.waits = append(r.waits, clock.Now()-arrived)
			} else {
				r.cut++
			}
			policy.end(l, runs, clock.Time())
		})
	})
}

// TestReplayOfSlots replays the load patterns behind the slots: streams of one service
// beside short requests to another, one service that answers late, and all of them late.
// No request may stay unanswered after its timeout, and services that answer in time
// must serve every request without delay.
func TestReplayOfSlots(t *testing.T) {
	streams := func(runs time.Duration) *load { // 320 at a time
		return &load{kind: SlotKind{"coach", true}, slots: 352, perSecond: 12.8, runs: runs, timeout: time.Minute, until: replayLength}
	}
	short := func(runs time.Duration) *load {
		return &load{kind: SlotKind{"desk", false}, slots: 18, perSecond: 20, runs: runs, timeout: 1200 * time.Millisecond, until: 30 * time.Second}
	}
	busy := func(runs time.Duration) *load {
		return &load{kind: SlotKind{"booking", false}, slots: 96, perSecond: 300, runs: runs, timeout: 2 * time.Second, until: 30 * time.Second}
	}
	const inTime, late = 25 * time.Millisecond, 10 * time.Second
	cases := []struct {
		name   string
		loads  []*load
		inTime []bool // which of them must all be served
	}{
		{"320 streams and 20 short requests a second", []*load{streams(25 * time.Second), short(inTime)}, []bool{false, true}},
		{"one service answers late", []*load{busy(late), short(inTime), streams(10 * time.Second)}, []bool{false, true, true}},
		{"all services answer late", []*load{busy(late), short(late), streams(100 * time.Second)}, []bool{false, false, false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var before virtualtime.Clock
			for i, r := range replay(&before, &sharedLane{}, c.loads) {
				t.Logf("one lane: %s: %v", c.loads[i].kind.Service, r)
			}
			var after virtualtime.Clock
			for i, r := range replay(&after, newSlotStarter(&after, c.loads, replayCapacity), c.loads) {
				l := c.loads[i]
				t.Logf("slots: %s: %v", l.kind.Service, r)
				if r.unanswered > 0 {
					t.Errorf("%s: %d requests unanswered %v after their timeout", l.kind.Service, r.unanswered, answerSlack)
				}
				if c.inTime[i] && (r.refused+r.cut > 0 || slices.Max(r.waits) > l.runs) {
					t.Errorf("%s: %d refused, %d cut, the longest answer after %v, though the service answers in time", l.kind.Service, r.refused, r.cut, slices.Max(r.waits))
				}
			}
		})
	}
}

// TestAccountsShareScarceSlots has 80 accounts at a service of 8 slots, which serves 400
// requests a second. It guards against a large account that starves small ones, and
// against accounts that are starved by their size or priority: each must be served at
// least a quarter as often as all requests are.
func TestAccountsShareScarceSlots(t *testing.T) {
	const minShare, runs, timeout, length = 0.25, 25 * time.Millisecond, 1200 * time.Millisecond, 20 * time.Second
	for _, c := range []struct {
		name     string
		large    []float64 // requests a second of the large accounts
		small    float64   // of each of the others
		priority func(i int) int
	}{
		{"one large account", []float64{1800}, 2, func(int) int { return 0 }},
		{"few large accounts", []float64{700, 500, 300}, 4, func(int) int { return 0 }},
		{"three priorities", []float64{700, 500, 300}, 10, func(i int) int { return i % 3 }},
		{"a large account of the lowest priority", []float64{4000}, 8, func(i int) int { return map[bool]int{true: 5}[i == 0] }},
	} {
		for _, capacity := range []int{100, 2000} {
			t.Run(fmt.Sprintf("%s/capacity=%d", c.name, capacity), func(t *testing.T) {
				var clock virtualtime.Clock
				random := rand.New(rand.NewPCG(3, 4))
				var loads []*load
				for i := range 80 {
					l := &load{kind: SlotKind{Service: "desk"}, account: core.CallerName(fmt.Sprint("a", i)), priority: c.priority(i),
						slots: 8, perSecond: c.small, runs: runs, timeout: timeout, until: length, random: random}
					if i < len(c.large) {
						l.perSecond = c.large[i]
					}
					loads = append(loads, l)
				}
				all := replay(&clock, newSlotStarter(&clock, loads, capacity), loads)
				sent, served, least := 0, 0, 0
				for i, r := range all {
					sent, served = sent+r.sent, served+r.served
					if r.served*all[least].sent < all[least].served*r.sent {
						least = i
					}
				}
				overall, share := float64(served)/float64(sent), float64(all[least].served)/float64(all[least].sent)
				t.Logf("%.3f of all requests served, least of %s (priority %d, %.0f a second): %.3f", overall, loads[least].account, loads[least].priority, loads[least].perSecond, share)
				due := minShare * overall * float64(all[least].sent)
				if float64(all[least].served) < due-3*math.Sqrt(due) { // three standard deviations
					t.Errorf("account %s is served %.3f times as often as all requests, want at least %v", loads[least].account, share/overall, minShare)
				}
			})
		}
	}
}
