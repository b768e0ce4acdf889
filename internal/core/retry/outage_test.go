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

// The model: ten servers with eight slots each serve requests of one second on
// average, 80 a second in all. Over ten entry processes 55 requests a second
// arrive, or 65, which is too much for seven servers. Three servers are dead for
// 30 seconds: their runs are cut, and attempts to reach them fail after one
// second. An entry process abandons an attempt that times out; the server still
// completes it.
const (
	serverCount      = 10
	deadServers      = 3
	slotsPerServer   = 8
	entryCount       = 10
	outageStart      = 30 * time.Second
	outageEnd        = 60 * time.Second
	simulationEnd    = 180 * time.Second
	connectTimeout   = time.Second
	ejectionTime     = 5 * time.Second // for which an entry process avoids a server that failed
	attemptTimeout   = 4 * time.Second
	requestTimeout   = 12 * time.Second
	maxAmplification = 1.1 // target: attempts per first attempt during the outage
)

type outageRequest struct {
	arrivedAt   time.Duration
	startedAt   time.Duration
	attempts    int
	budgetWaits int
	entry       int
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
	clock             virtualtime.Clock
	random            *rand.Rand
	baseline          bool // without gates, overload detection and budgets
	eject             bool
	requestsPerSecond float64
	ejectedUntil      [entryCount][serverCount]time.Duration
	policy            Policy
	servers           [serverCount]outageServer
	gates             [entryCount]*admission.Gate[*outageRequest]
	budgets           [entryCount]*Budget
	firstAttempts     int // while the servers are dead
	attempts          int // while the servers are dead
	arrived           [simulationEnd / time.Second]int
	answered          [simulationEnd / time.Second]int
}

func newOutage(seed uint64, baseline, eject bool, rate float64) *outage {
	o := &outage{random: rand.New(rand.NewPCG(seed, 3)), baseline: baseline, eject: eject, requestsPerSecond: rate,
		policy: Policy{MaxAttempts: 3, BaseDelay: 50 * time.Millisecond, MaxDelay: 2 * time.Second}}
	for i := range entryCount {
		o.budgets[i] = NewBudget(o.clock.Time())
		o.gates[i] = admission.NewGate[*outageRequest](admission.Bounds{
			Concurrent: serverCount * slotsPerServer / entryCount, QueueLength: 16, QueueTimeout: attemptTimeout})
	}
	o.clock.After(0, o.addArrival)
	o.clock.After(outageStart, o.killServers)
	return o
}

func (o *outage) isDead(server int) bool {
	return server < deadServers && o.clock.Now() >= outageStart && o.clock.Now() < outageEnd
}

func (o *outage) addArrival() {
	gap := time.Duration(o.random.ExpFloat64() / o.requestsPerSecond * float64(time.Second))
	o.clock.After(gap, o.addArrival)
	request := &outageRequest{arrivedAt: o.clock.Now(), entry: o.random.IntN(entryCount)}
	if second := request.arrivedAt / time.Second; int(second) < len(o.arrived) {
		o.arrived[second]++
	}
	if o.baseline {
		o.startFirstAttempt(request)
		return
	}
	started, err := o.gates[request.entry].Admit(&admission.Request[*outageRequest]{
		Caller: "c", Class: core.ClassInteractive, Cost: 1, Payload: request,
		Deadline: o.clock.Time().Add(requestTimeout)}, o.clock.Time())
	if err == nil && started {
		o.startFirstAttempt(request)
	}
}

func (o *outage) startFirstAttempt(request *outageRequest) {
	request.startedAt = o.clock.Now()
	if o.isDead(0) {
		o.firstAttempts++
	}
	o.budgets[request.entry].Deposit()
	o.startAttempt(request)
}

func (o *outage) startAttempt(request *outageRequest) {
	request.attempts++
	if o.isDead(0) {
		o.attempts++
	}
	server := o.pickServer(request.entry)
	run := &attemptRun{request: request, server: server}
	if o.isDead(server) {
		o.clock.After(connectTimeout, func() { o.failRun(run) })
		return
	}
	o.clock.After(attemptTimeout, func() { o.failRun(run) })
	o.servers[server].waiting = append(o.servers[server].waiting, run)
	o.startWaitingRuns(server)
}

// pickServer returns a random server, if possible one that has not failed
// lately.
func (o *outage) pickServer(entry int) int {
	for range serverCount {
		server := o.random.IntN(serverCount)
		if !o.eject || o.ejectedUntil[entry][server] <= o.clock.Now() {
			return server
		}
	}
	return o.random.IntN(serverCount)
}

func (o *outage) startWaitingRuns(server int) {
	s := &o.servers[server]
	for len(s.running) < slotsPerServer && len(s.waiting) > 0 {
		run := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running = append(s.running, run)
		service := 200*time.Millisecond + time.Duration(o.random.ExpFloat64()*float64(800*time.Millisecond))
		o.clock.After(service, func() { o.completeRun(server, run) })
	}
}

func (o *outage) completeRun(server int, run *attemptRun) {
	s := &o.servers[server]
	for i, other := range s.running {
		if other == run {
			s.running = append(s.running[:i], s.running[i+1:]...)
			o.startWaitingRuns(server)
			break
		}
	}
	if !run.ended {
		run.ended = true
		o.finishRequest(run.request, true)
	}
}

func (o *outage) killServers() {
	for i := range deadServers {
		cut := append(o.servers[i].running, o.servers[i].waiting...)
		o.servers[i] = outageServer{}
		for _, run := range cut {
			o.failRun(run)
		}
	}
}

func (o *outage) failRun(run *attemptRun) {
	if run.ended {
		return
	}
	run.ended = true
	run.request.budgetWaits = 0
	if o.isDead(run.server) {
		o.ejectedUntil[run.request.entry][run.server] = o.clock.Now() + ejectionTime
	}
	o.decideRetry(run.request)
}

func (o *outage) decideRetry(request *outageRequest) {
	decision := o.policy.Decide(FailedAttempt{
		Number: request.attempts, EmptyBudgetWaits: request.budgetWaits, Kind: errkind.ServerFailed, Idempotent: true,
		Overloaded: !o.baseline && o.gates[request.entry].Overloaded(core.ClassInteractive),
		TimeLeft:   request.arrivedAt + requestTimeout - o.clock.Now(),
	}, o.random)
	if !decision.Retry {
		o.finishRequest(request, false)
		return
	}
	o.clock.After(decision.Delay, func() {
		if o.canRetry(request.entry) {
			o.startAttempt(request)
			return
		}
		request.budgetWaits++
		o.decideRetry(request)
	})
}

func (o *outage) canRetry(entry int) bool {
	return o.baseline || HasSpareCapacity(o.gates[entry].InFlight(), serverCount*slotsPerServer/entryCount) ||
		o.budgets[entry].Withdraw(1, o.clock.Time())
}

func (o *outage) finishRequest(request *outageRequest, answered bool) {
	if second := request.arrivedAt / time.Second; answered && int(second) < len(o.answered) {
		o.answered[second]++
	}
	if o.baseline {
		return
	}
	gate := o.gates[request.entry]
	gate.Release(core.ClassInteractive, o.clock.Now()-request.startedAt)
	for next, _, ok := gate.Dequeue(o.clock.Time()); ok; next, _, ok = gate.Dequeue(o.clock.Time()) {
		o.startFirstAttempt(next)
	}
}

// answeredShare returns the answered share of the requests that arrived in
// [from, to).
func (o *outage) answeredShare(from, to time.Duration) float64 {
	answered, arrived := 0, 0
	for second := from / time.Second; second < to/time.Second; second++ {
		answered += o.answered[second]
		arrived += o.arrived[second]
	}
	return float64(answered) / float64(arrived)
}

// recoveryTime returns the time from the outage's end until the share answered
// in ten seconds is at most 0.02 below its value before the outage.
func (o *outage) recoveryTime() time.Duration {
	const window = 10 * time.Second
	before := o.answeredShare(0, outageStart-requestTimeout)
	for from := outageEnd; from < simulationEnd-window-requestTimeout; from += time.Second {
		if o.answeredShare(from, from+window) >= before-0.02 {
			return from - outageEnd
		}
	}
	return simulationEnd - outageEnd
}

func TestRetryAmplificationInOutage(t *testing.T) {
	const seeds = 10
	for _, rate := range []float64{55, 65} {
		for _, eject := range []bool{false, true} {
			for _, baseline := range []bool{true, false} {
				worst, slowest, share := 0.0, time.Duration(0), 0.0
				for seed := uint64(1); seed <= seeds; seed++ {
					o := newOutage(seed, baseline, eject, rate)
					o.clock.RunUntil(simulationEnd)
					worst = max(worst, float64(o.attempts)/float64(o.firstAttempts))
					slowest = max(slowest, o.recoveryTime())
					share += o.answeredShare(outageStart, outageEnd) / seeds
				}
				t.Logf("%v requests per second, ejection %v, baseline %v: amplification at most %.3f, recovered after at most %v, share answered in the outage %.3f",
					rate, eject, baseline, worst, slowest, share)
				if !baseline && worst > maxAmplification {
					t.Errorf("amplification %.3f, want at most %.1f", worst, maxAmplification)
				}
			}
		}
	}
}
