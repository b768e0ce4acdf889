package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/errkind"
	"fescuespar/internal/virtualtime"
)

// The model: ten servers of eight places each serve requests of one second on
// average, which makes 80 a second; 55 a second arrive over ten entry
// processes, or 65, which is too much for seven servers. Three servers are dead for half a minute: what runs there is cut,
// and attempts to reach them fail after a second. An attempt that is not
// answered in time is given up by the entry process, but not by the server.
const (
	outageServers  = 10
	outageDead     = 3
	outagePlaces   = 8
	outageEntries  = 10
	outageFrom     = 30 * time.Second
	outageTo       = 60 * time.Second
	outageEnd      = 180 * time.Second
	connectTimeout = time.Second
	ejectFor       = 5 * time.Second // an entry process avoids a server that failed
	attemptTimeout = 4 * time.Second
	outageDeadline = 12 * time.Second
	amplification  = 1.1 // the stated target
)

type outageRequest struct {
	arrived  time.Duration
	begun    time.Duration
	attempts int
	waits    int
	entry    int
}

type attemptRun struct {
	request *outageRequest
	server  int
	ended   bool
}

type outageServer struct {
	running []*attemptRun
	waiting []*attemptRun
}

type outage struct {
	clock    virtualtime.Clock
	random   *rand.Rand
	plain    bool
	eject    bool
	rate     float64 // requests a second
	avoid    [outageEntries][outageServers]time.Duration
	policy   Policy
	servers  [outageServers]outageServer
	gates    [outageEntries]*admission.Gate[*outageRequest]
	budgets  [outageEntries]*Budget
	firsts   int // while the servers are dead
	attempts int // while the servers are dead
	arrived  [outageEnd / time.Second]int
	answered [outageEnd / time.Second]int
}

func newOutage(seed uint64, plain, eject bool, rate float64) *outage {
	o := &outage{random: rand.New(rand.NewPCG(seed, 3)), plain: plain, eject: eject, rate: rate,
		policy: Policy{Attempts: 3, Base: 50 * time.Millisecond, Max: 2 * time.Second}}
	for i := range outageEntries {
		o.budgets[i] = NewBudget(o.clock.Time())
		o.gates[i] = admission.NewGate[*outageRequest](admission.Bounds{
			Concurrent: outageServers * outagePlaces / outageEntries, QueueLength: 16, QueueTimeout: attemptTimeout})
	}
	o.clock.After(0, o.arrive)
	o.clock.After(outageFrom, o.die)
	return o
}

func (o *outage) isDead(server int) bool {
	return server < outageDead && o.clock.Now() >= outageFrom && o.clock.Now() < outageTo
}

func (o *outage) arrive() {
	gap := time.Duration(o.random.ExpFloat64() / o.rate * float64(time.Second))
	o.clock.After(gap, o.arrive)
	request := &outageRequest{arrived: o.clock.Now(), entry: o.random.IntN(outageEntries)}
	if second := request.arrived / time.Second; int(second) < len(o.arrived) {
		o.arrived[second]++
	}
	if o.plain {
		o.first(request)
		return
	}
	started, err := o.gates[request.entry].Admit(&admission.Request[*outageRequest]{
		Caller: "c", Class: core.ClassPeople, Cost: 1, Payload: request,
		Deadline: o.clock.Time().Add(outageDeadline)}, o.clock.Time())
	if err == nil && started {
		o.first(request)
	}
}

func (o *outage) first(request *outageRequest) {
	request.begun = o.clock.Now()
	if o.isDead(0) {
		o.firsts++
	}
	o.budgets[request.entry].Deposit()
	o.attempt(request)
}

func (o *outage) attempt(request *outageRequest) {
	request.attempts++
	if o.isDead(0) {
		o.attempts++
	}
	server := o.pick(request.entry)
	run := &attemptRun{request: request, server: server}
	if o.isDead(server) {
		o.clock.After(connectTimeout, func() { o.failed(run) })
		return
	}
	o.clock.After(attemptTimeout, func() { o.failed(run) })
	o.servers[server].waiting = append(o.servers[server].waiting, run)
	o.serve(server)
}

// pick draws a server, among those that did not fail lately if there is one.
func (o *outage) pick(entry int) int {
	for range outageServers {
		server := o.random.IntN(outageServers)
		if !o.eject || o.avoid[entry][server] <= o.clock.Now() {
			return server
		}
	}
	return o.random.IntN(outageServers)
}

func (o *outage) serve(server int) {
	s := &o.servers[server]
	for len(s.running) < outagePlaces && len(s.waiting) > 0 {
		run := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running = append(s.running, run)
		service := 200*time.Millisecond + time.Duration(o.random.ExpFloat64()*float64(800*time.Millisecond))
		o.clock.After(service, func() { o.served(server, run) })
	}
}

func (o *outage) served(server int, run *attemptRun) {
	s := &o.servers[server]
	for i, other := range s.running {
		if other == run {
			s.running = append(s.running[:i], s.running[i+1:]...)
			o.serve(server)
			break
		}
	}
	if !run.ended {
		run.ended = true
		o.end(run.request, true)
	}
}

func (o *outage) die() {
	for i := range outageDead {
		cut := append(o.servers[i].running, o.servers[i].waiting...)
		o.servers[i] = outageServer{}
		for _, run := range cut {
			o.failed(run)
		}
	}
}

func (o *outage) failed(run *attemptRun) {
	if run.ended {
		return
	}
	run.ended = true
	run.request.waits = 0
	if o.isDead(run.server) {
		o.avoid[run.request.entry][run.server] = o.clock.Now() + ejectFor
	}
	o.decide(run.request)
}

func (o *outage) decide(request *outageRequest) {
	decision := o.policy.Decide(Attempt{
		Number: request.attempts, Waits: request.waits, Kind: errkind.ServerFailed, Idempotent: true,
		Overloaded: !o.plain && o.gates[request.entry].Overloaded(core.ClassPeople),
		Left:       request.arrived + outageDeadline - o.clock.Now(),
	}, o.random)
	if !decision.Again {
		o.end(request, false)
		return
	}
	o.clock.After(decision.Delay, func() {
		if o.mayRepeat(request.entry) {
			o.attempt(request)
			return
		}
		request.waits++
		o.decide(request)
	})
}

func (o *outage) mayRepeat(entry int) bool {
	return o.plain || Spare(o.gates[entry].InUse(), outageServers*outagePlaces/outageEntries) ||
		o.budgets[entry].Withdraw(1, o.clock.Time())
}

func (o *outage) end(request *outageRequest, answered bool) {
	if second := request.arrived / time.Second; answered && int(second) < len(o.answered) {
		o.answered[second]++
	}
	if o.plain {
		return
	}
	gate := o.gates[request.entry]
	gate.Release(core.ClassPeople, o.clock.Now()-request.begun)
	for next, _, ok := gate.Dequeue(o.clock.Time()); ok; next, _, ok = gate.Dequeue(o.clock.Time()) {
		o.first(next)
	}
}

// answeredIn is the share of the requests that arrived in [from, to) and were
// answered.
func (o *outage) answeredIn(from, to time.Duration) float64 {
	answered, arrived := 0, 0
	for second := from / time.Second; second < to/time.Second; second++ {
		answered += o.answered[second]
		arrived += o.arrived[second]
	}
	return float64(answered) / float64(arrived)
}

// recovery is the time from the outage's end until the share answered in ten
// seconds is back within two in a hundred of what it was before.
func (o *outage) recovery() time.Duration {
	const window = 10 * time.Second
	before := o.answeredIn(0, outageFrom-outageDeadline)
	for from := outageTo; from < outageEnd-window-outageDeadline; from += time.Second {
		if o.answeredIn(from, from+window) >= before-0.02 {
			return from - outageTo
		}
	}
	return outageEnd - outageTo
}

func TestOutageOfThirtyPercent(t *testing.T) {
	const seeds = 10
	for _, rate := range []float64{55, 65} {
		for _, eject := range []bool{false, true} {
			for _, plain := range []bool{true, false} {
				worst, slowest, share := 0.0, time.Duration(0), 0.0
				for seed := uint64(1); seed <= seeds; seed++ {
					o := newOutage(seed, plain, eject, rate)
					o.clock.RunUntil(outageEnd)
					worst = max(worst, float64(o.attempts)/float64(o.firsts))
					slowest = max(slowest, o.recovery())
					share += o.answeredIn(outageFrom, outageTo) / seeds
				}
				t.Logf("%v a second, ejection %v, plain %v: amplification at most %.3f, recovered after at most %v, answered in the outage %.3f",
					rate, eject, plain, worst, slowest, share)
				if !plain && worst > amplification {
					t.Errorf("amplification %.3f, want at most %.1f", worst, amplification)
				}
			}
		}
	}
}
