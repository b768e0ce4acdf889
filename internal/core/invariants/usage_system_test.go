package invariants

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/duty"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/truetime"
	"fescuespar/internal/core/usage"
	"fescuespar/internal/errkind"
	"fescuespar/internal/virtualtime"
)

// Parameters of the simulation. The settings are those of the platform's examples.
const (
	usageWindow   = 5 * time.Second
	usageDue      = 10 * time.Second
	leaseTime     = 3 * time.Second             // within which holders must not alternate
	usageEpoch    = 1_767_225_600 * time.Second // true time at the start
	storeTrip     = 4 * time.Millisecond
	replyTimeout  = 700 * time.Millisecond
	platformTrip  = 20 * time.Millisecond
	serverTrip    = time.Millisecond
	borderSlack   = 10 * time.Millisecond // begins so near to a window's border may count on either side
	usageAccounts = 5
	requestsEvery = 60 * time.Millisecond // mean, over all processes
)

var usageTiming = lease.Timing{
	Term: 1500 * time.Millisecond, RenewEvery: 400 * time.Millisecond, Margin: 150 * time.Millisecond, LongestOrder: leaseTime + 200*time.Millisecond,
}

// usageSystem is a deployment that reports usage, on a virtual clock of true time.
type usageSystem struct {
	random    *rand.Rand
	clock     virtualtime.Clock
	store     *store
	processes []*usageProcess

	storeAway    bool
	storeSlow    float64 // factor of its round trips
	storeLoss    float64 // share of its replies that are lost
	callLoss     float64 // share of the calls to the platform that are lost
	answerLoss   float64 // share of the platform's answers that are lost
	platformSlow float64
	platformDown bool

	begun    tally // what servers began to run
	slack    tally // by which a report may differ
	reports  map[core.UsageWindow]map[core.AccountName]uint64
	arrived  map[core.UsageWindow]time.Duration // first report, as time after the start
	calls    []platformCall
	violated []string
	forced   int // reports that were fixed without the counts of some process
}

// tally is a number of requests by window and account.
type tally map[core.UsageWindow]map[core.AccountName]uint64

func (t tally) add(window core.UsageWindow, account core.AccountName) {
	if t[window] == nil {
		t[window] = make(map[core.AccountName]uint64)
	}
	t[window][account]++
}

type platformCall struct {
	at     time.Duration
	holder core.VMID
	fence  core.Fence
}

func newUsageSystem(seed uint64, processes int) *usageSystem {
	s := &usageSystem{
		random: rand.New(rand.NewPCG(seed, 3)), store: newStore(), storeSlow: 1, platformSlow: 1,
		begun: make(tally), slack: make(tally), reports: make(map[core.UsageWindow]map[core.AccountName]uint64), arrived: make(map[core.UsageWindow]time.Duration),
	}
	for i := range processes {
		p := &usageProcess{system: s, vm: core.VMID(fmt.Sprint("vm-", i)), booted: time.Duration(s.random.IntN(1e6)) * time.Second}
		s.processes = append(s.processes, p)
		p.start()
	}
	s.clock.After(0, s.sendRequests)
	return s
}

func (s *usageSystem) trueTime() time.Time { return time.Unix(0, 0).Add(usageEpoch + s.clock.Now()) }

func (s *usageSystem) window(at time.Duration) core.UsageWindow {
	return usage.WindowAt(time.Unix(0, 0).Add(usageEpoch+at), usageWindow)
}

func (s *usageSystem) violate(format string, args ...any) {
	s.violated = append(s.violated, fmt.Sprintf("%v: ", s.clock.Now())+fmt.Sprintf(format, args...))
}

// spread returns a random time from half of the mean to one and a half.
func (s *usageSystem) spread(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)+1))
}

// sendRequests lets callers send requests to processes that run.
func (s *usageSystem) sendRequests() {
	s.clock.After(time.Duration(s.random.ExpFloat64()*float64(requestsEvery)), s.sendRequests)
	p := s.processes[s.random.IntN(len(s.processes))]
	if p.isDead || p.isPaused() {
		return
	}
	// One account has most of the requests.
	account := core.AccountName(fmt.Sprint("account-", max(0, s.random.IntN(2*usageAccounts)-usageAccounts)))
	switch kind := s.random.IntN(20); {
	case kind < 6:
		p.stream(account)
	case kind == 6:
		p.request(account, false, true)
	case kind == 7:
		p.request(account, true, false)
	default:
		p.request(account, true, true)
	}
}

// recordBegin records that a server begins to run a request of a process now.
func (s *usageSystem) recordBegin(p *usageProcess, account core.AccountName) {
	now := s.clock.Now()
	window := s.window(now)
	s.begun.add(window, account)
	p.begins = append(p.begins, begin{now, account})
	for _, near := range []core.UsageWindow{s.window(now - borderSlack), s.window(now + borderSlack)} {
		if near != window {
			s.slack.add(window, account)
			s.slack.add(near, account)
		}
	}
}

// callOutcome is the outcome of a call as its sender sees it.
type callOutcome int

const (
	callAnswered callOutcome = iota
	callRefused
	callUnknown
)

// callStore carries out a call of a process at the store. Its reply, or the lack of one,
// is passed on later.
func (s *usageSystem) callStore(p *usageProcess, isCommit bool, effect func(), reply func(callOutcome)) {
	sent := p.now()
	trip := time.Duration(s.storeSlow * float64(s.spread(storeTrip)))
	s.clock.After(trip/2, func() {
		isLost, isDelayed := s.random.Float64() < s.storeLoss, s.random.Float64() < s.storeLoss/4
		switch {
		case s.storeAway:
			s.after(p, trip/2, func() { reply(callRefused) })
		case isCommit && isDelayed:
			s.clock.After(s.spread(2*time.Second), effect)
			s.after(p, replyTimeout, func() { reply(callUnknown) })
		case isLost:
			effect()
			s.after(p, replyTimeout, func() { reply(callUnknown) })
		default:
			effect()
			read := (usageEpoch/3 + s.clock.Now()).Truncate(time.Millisecond)
			s.after(p, trip/2, func() {
				p.clock.ObserveStore(core.StoreTime{Sent: sent, Received: p.now(), Now: read})
				reply(callAnswered)
			})
		}
	})
}

// after runs a step of a process after a time, and not while it is paused or if it has
// died meanwhile.
func (s *usageSystem) after(p *usageProcess, delay time.Duration, step func()) {
	incarnation := p.incarnation
	s.clock.After(delay, func() {
		switch {
		case p.isDead || p.incarnation != incarnation:
		case p.isPaused():
			s.after(p, p.pausedUntil-s.clock.Now(), step)
		default:
			step()
		}
	})
}

// callPlatform sends a report. The platform carries it out in the middle of the call.
func (s *usageSystem) callPlatform(p *usageProcess, fence core.Fence, report core.UsageReport, timeout time.Duration, reply func(errkind.Kind)) {
	trip := time.Duration(s.platformSlow * float64(s.spread(platformTrip)))
	isDown, losesCall, losesReply := s.platformDown, s.random.Float64() < s.callLoss, s.random.Float64() < s.answerLoss
	if isDown {
		s.after(p, trip, func() { reply(errkind.StoreUnavailable) })
		return
	}
	if !losesCall {
		s.clock.After(trip/2, func() { s.acceptReport(platformCall{s.clock.Now(), p.vm, fence}, report) })
	}
	if losesCall || losesReply || trip > timeout {
		s.after(p, timeout, func() { reply(errkind.OutcomeUnknown) })
		return
	}
	s.after(p, trip, func() { reply("") })
}

// acceptReport checks the platform's rules on a call.
func (s *usageSystem) acceptReport(call platformCall, report core.UsageReport) {
	between := false // another holder acted since an earlier call of this one
	for _, earlier := range slices.Backward(s.calls) {
		if earlier.fence > call.fence || earlier.fence == call.fence && earlier.holder != call.holder {
			s.violate("%+v after %+v", call, earlier)
		}
		if call.at-earlier.at > leaseTime {
			break
		}
		if between && earlier.holder == call.holder {
			s.violate("%s acted, then another, then %s again", call.holder, call.holder)
		}
		between = between || earlier.holder != call.holder
	}
	s.calls = append(s.calls, call)
	known, found := s.reports[report.Window]
	if found && !maps.Equal(known, report.Counts) {
		s.violate("window %d reported as %v and as %v", report.Window, known, report.Counts)
	}
	if !found {
		s.reports[report.Window] = maps.Clone(report.Counts)
		s.arrived[report.Window] = s.clock.Now()
	}
}

// check returns what is wrong with the reports of the windows from the first one that
// began after the start until those that are due now, and how many of them were late.
func (s *usageSystem) check() (wrong []string, windows, late int) {
	wrong = s.violated
	for window := s.window(0) + 1; window <= s.window(s.clock.Now()-usageDue)-1; window++ {
		windows++
		counts, found := s.reports[window]
		if !found {
			wrong = append(wrong, fmt.Sprintf("window %d is not reported", window))
			continue
		}
		if end := usage.EndOf(window, usageWindow); time.Unix(0, 0).Add(usageEpoch + s.arrived[window]).After(end.Add(usageDue)) {
			late++
		}
		for account := range usageAccounts {
			name := core.AccountName(fmt.Sprint("account-", account))
			want, slack, got := s.begun[window][name], s.slack[window][name], counts[name]
			if got > want+slack || got+slack < want {
				wrong = append(wrong, fmt.Sprintf("window %d, %s: %d reported, %d begun, %d may differ", window, name, got, want, slack))
			}
		}
	}
	return wrong, windows, late
}

// rowsOf returns the rows of a table with a prefix, in order.
func (s *store) rowsOf(table core.TableName, prefix string) []core.Row {
	var rows []core.Row
	for key, row := range s.rows {
		if key.Table == table && strings.HasPrefix(key.ID, prefix) {
			row.Key = key
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b core.Row) int { return strings.Compare(a.Key.ID, b.Key.ID) })
	return rows
}

// begin is the begin of a request at a server.
type begin struct {
	at      time.Duration
	account core.AccountName
}

// usageProcess is one entry process of the system. It does what internal/app/relay does.
type usageProcess struct {
	system      *usageSystem
	vm          core.VMID
	booted      time.Duration // before the start of its clock
	jump        time.Duration // of its time of day
	incarnation core.Incarnation
	isDead      bool
	pausedUntil time.Duration

	tracker *lease.Tracker
	view    *announce.View
	clock   *truetime.Clock
	counter *usage.Counter
	ledger  *usage.Ledger
	pace    *duty.Pace
	beat    uint64
	fence   core.Fence // under which the ledger was loaded

	leaseBusy, writing, ledgerBusy, calling bool

	begins    []begin       // of its requests
	writtenAt time.Duration // begins up to then are written
}

func (p *usageProcess) now() time.Time {
	return time.Unix(0, 0).Add(p.booted + p.system.clock.Now())
}

func (p *usageProcess) isPaused() bool { return p.system.clock.Now() < p.pausedUntil }

// start starts a process on the VM.
func (p *usageProcess) start() {
	p.incarnation++
	p.isDead, p.begins, p.writtenAt = false, nil, p.system.clock.Now()
	p.leaseBusy, p.writing, p.ledgerBusy, p.calling, p.fence, p.pausedUntil = false, false, false, false, 0, 0
	p.tracker = lease.New(duty.LeaseName, lease.Self{VM: p.vm, Incarnation: p.incarnation}, usageTiming)
	p.view, p.clock = announce.NewView(), truetime.New()
	p.counter = usage.NewCounter(usageWindow, usageDue, p.vm, p.incarnation)
	p.ledger, p.pace = usage.NewLedger(usageWindow, usageDue), duty.NewPace(50)
	p.every(100*time.Millisecond, p.advanceLease)
	p.every(300*time.Millisecond, p.readMembers)
	p.every(500*time.Millisecond, p.announce)
	p.every(usage.WriteInterval(len(p.system.processes)), p.writeCounts)
	p.every(200*time.Millisecond, p.perform)
}

func (p *usageProcess) every(interval time.Duration, step func()) {
	var run func()
	run = func() {
		step()
		p.system.after(p, interval, run)
	}
	p.system.after(p, time.Duration(p.system.random.Int64N(int64(interval))), run)
}

// die kills the process. What it had not written may be missing in reports.
func (p *usageProcess) die() {
	p.allowLoss()
	p.isDead = true
}

// allowLoss lets reports differ by the requests whose counts are not written.
func (p *usageProcess) allowLoss() {
	for _, request := range p.begins {
		if request.at >= p.writtenAt-borderSlack {
			p.system.slack.add(p.system.window(request.at), request.account)
		}
	}
}

func (p *usageProcess) pause(length time.Duration) {
	p.allowLoss()
	p.pausedUntil = p.system.clock.Now() + length
}

// request sends a request that is answered or not. A server that has not begun refuses it.
func (p *usageProcess) request(account core.AccountName, hasBegun, isAnswered bool) {
	s := p.system
	attempt, incarnation := p.counter.Send(account, p.now()), p.incarnation
	s.clock.After(serverTrip, func() {
		if hasBegun {
			s.recordBegin(p, account)
		}
		// The process may have died since, or die before it knows of a refusal.
		if p.isDead || p.incarnation != incarnation || !hasBegun {
			s.slack.add(s.window(s.clock.Now()), account)
		}
	})
	var err error
	takes := s.spread(time.Second)
	switch {
	case !hasBegun:
		err, takes = errkind.New(errkind.ServerRefused, "not run"), 2*serverTrip
	case !isAnswered:
		err = errkind.New(errkind.ServerFailed, "reset")
	}
	s.after(p, takes, func() { p.counter.End(attempt, usage.HasBegun(err, true), serverTrip) })
}

// stream sends a request that begins with its first event.
func (p *usageProcess) stream(account core.AccountName) {
	s, incarnation := p.system, p.incarnation
	s.clock.After(s.spread(500*time.Millisecond), func() {
		if p.isDead || p.incarnation != incarnation {
			return // its connection is closed
		}
		s.recordBegin(p, account)
		began := s.clock.Now()
		s.after(p, serverTrip, func() {
			p.counter.Begin(account, p.now())
			if s.clock.Now()-began > borderSlack { // read after a pause
				s.slack.add(s.window(began), account)
				s.slack.add(s.window(s.clock.Now()), account)
			}
		})
	})
}
