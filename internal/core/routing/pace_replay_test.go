package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/virtualtime"
)

// paceModel is a service and its load. Callers of plain services stop waiting at the
// timeout. Items of jobs wait for free slots at one process, which alone sends them, and
// begin anew elsewhere when their engine is gone.
type paceModel struct {
	kind     core.ServerKind
	servers  int
	slots    int // of a server
	queue    int // requests that wait at a server
	duration time.Duration
	target   time.Duration // a longer answer is late
	timeout  time.Duration
	load     float64       // of the capacity of warm servers
	cold     time.Duration // after a start
}

const (
	paceColdFactor = 4               // time of a request at a cold server, as a multiple of that at a warm one
	paceWarmUp     = 5 * time.Second // before the scenario begins
	paceLength     = 40 * time.Second
	paceFullUse    = 0.8 // of the mean rate of a server, over paceWindow
	paceWindow     = time.Second
)

var (
	plainModel = paceModel{
		kind: core.KindPlain, servers: 16, slots: 6, queue: 36, duration: 100 * time.Millisecond,
		target: 300 * time.Millisecond, timeout: 1200 * time.Millisecond, load: 0.5, cold: 5 * time.Second,
	}
	engineModel = paceModel{
		kind: core.KindEngine, servers: 44, slots: 8, duration: 2500 * time.Millisecond,
		target: 5 * time.Second, timeout: time.Minute, load: 0.7, cold: 5 * time.Second,
	}
)

// waits reports whether requests wait for free slots.
func (m *paceModel) waits() bool { return m.kind == core.KindEngine }

// paceServer is a server of the replay.
type paceServer struct {
	vm         core.VM
	up         bool
	failing    bool  // answers each request with a failure at once
	started    int64 // Unix milliseconds
	coldUntil  time.Duration
	running    []*paceAttempt
	waiting    []*paceAttempt
	arrivals   []time.Duration // of attempts
	fullUseAt  time.Duration   // after fullUseDue; zero until then
	fullUseDue time.Duration   // when it came up; zero if it did not
}

// paceAttempt is one attempt of a request on a server.
type paceAttempt struct {
	request  *paceRequest
	dispatch Dispatch
	server   *paceServer
	over     bool
}

type paceRequest struct {
	arrived    time.Duration
	waitsSince time.Duration // for its next attempt
	process    int
	attempts   int
	exclude    []core.ServerID
}

// paceReplay replays one scenario under one control law.
type paceReplay struct {
	paceModel
	clock     virtualtime.Clock
	random    *rand.Rand
	law       string
	processes []*State
	limits    []map[core.ServerID]*admission.ServerLimit // of the law "server limit"
	all       []*paceServer

	sent, late, failed, refusals int
}

func newPaceReplay(model paceModel, law string, processes int) *paceReplay {
	r := &paceReplay{paceModel: model, law: law, random: rand.New(rand.NewPCG(7, 7))}
	arrivals := rand.New(rand.NewPCG(8, 8)) // the same under every law
	for i := range model.servers {
		r.all = append(r.all, &paceServer{up: true, vm: core.VM{
			ID: core.ServerID(fmt.Sprint("s", i)), Kind: model.kind, Service: "desk", Region: "r", State: core.VMLive, Slots: model.slots,
		}})
	}
	policy := DefaultPolicy()
	policy.PrefixEntries, policy.Pace = 1<<4, law == "pace"
	for range processes {
		state := NewState(policy)
		limits := make(map[core.ServerID]*admission.ServerLimit)
		if law == "server limit" {
			state.filters = append(state.filters, limitFilter(limits))
		}
		r.processes, r.limits = append(r.processes, state), append(r.limits, limits)
	}
	r.register()
	r.every(time.Second, func() {
		for _, state := range r.processes {
			state.Sweep(r.clock.Time(), r.random)
		}
	})
	perSecond := model.load * float64(model.servers*model.slots) / model.duration.Seconds()
	var arrive func()
	arrive = func() {
		r.clock.After(time.Duration(arrivals.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		r.sent++
		r.attempt(&paceRequest{arrived: r.clock.Now(), waitsSince: r.clock.Now(), process: arrivals.IntN(processes)})
	}
	arrive()
	return r
}

// limitFilter keeps requests from servers whose adaptive limit is used up.
type limitFilter map[core.ServerID]*admission.ServerLimit

func (f limitFilter) Accepts(candidate *Candidate, _ *Query) bool {
	limit := f[candidate.VM.ID]
	return limit == nil || candidate.OwnStreams < limit.Limit()
}

func (r *paceReplay) every(interval time.Duration, run func()) {
	r.clock.After(interval, func() { run(); r.every(interval, run) })
}

// register lets all processes know the servers that are up, and which are cold.
func (r *paceReplay) register() {
	var vms []core.VM
	var starts []ColdStart
	for _, server := range r.all {
		if !server.up {
			continue
		}
		vms = append(vms, server.vm)
		if r.clock.Now() < server.coldUntil {
			starts = append(starts, ColdStart{Server: server.vm.ID, StartedUnixMs: server.started, Until: time.Unix(0, 0).Add(server.coldUntil)})
		}
	}
	for i, state := range r.processes {
		state.ApplyVMs(vms)
		state.ApplyColdStarts(starts, r.clock.Time())
		for _, start := range starts {
			if r.law == "server limit" && r.limits[i][start.Server] == nil {
				r.limits[i][start.Server] = admission.NewServerLimit(r.clock.Time())
			}
		}
	}
}

// start brings a server up, cold for some time; its registration is read half a second
// later at most.
func (r *paceReplay) start(index int, cold time.Duration) {
	server := r.all[index]
	server.up, server.started, server.coldUntil = true, r.clock.Time().UnixMilli()+1, r.clock.Now()+cold
	server.fullUseDue, server.fullUseAt, server.arrivals = r.clock.Now(), 0, nil
	r.clock.After(500*time.Millisecond, r.register)
}

// stop takes a server down. Its registration lapses after a time.
func (r *paceReplay) stop(index int, lapse time.Duration) {
	server := r.all[index]
	server.up = false
	for _, attempt := range append(server.running, server.waiting...) {
		r.end(attempt, Result{Outcome: outlier.Failed})
	}
	r.clock.After(lapse, r.register)
}

func (r *paceReplay) attempt(request *paceRequest) {
	left := request.arrived + r.timeout - r.clock.Now()
	if request.attempts == 2 && !r.waits() || left <= 0 {
		r.failed++
		return
	}
	state := r.processes[request.process]
	query := Query{Kind: r.kind, Service: "desk", Class: core.ClassInteractive, ExpectedTokens: 1, Region: "r", Exclude: request.exclude}
	if r.waits() {
		query.RequiresFreeSlot, query.KeepsPace = true, r.clock.Now()-request.waitsSince < time.Second
	}
	vm, err := state.Pick(query, r.clock.Time(), r.random)
	switch {
	case err != nil && r.waits():
		r.clock.After(30*time.Millisecond, func() { r.attempt(request) })
		return
	case err != nil:
		r.failed++
		return
	}
	request.attempts++
	server := r.serverOf(vm.ID)
	attempt := &paceAttempt{request: request, dispatch: state.Begin(vm.ID, query, r.clock.Time()), server: server}
	server.arrivals = append(server.arrivals, r.clock.Now())
	r.checkFullUse(server)
	switch {
	case server.failing:
		r.clock.After(time.Millisecond, func() { r.end(attempt, Result{Outcome: outlier.Failed}) })
		return
	case !server.up:
		r.clock.After(time.Millisecond, func() { r.end(attempt, Result{Outcome: outlier.Abandoned, Refused: true}) })
		return
	case len(server.running) < r.slots:
		r.run(attempt)
	case len(server.waiting) < r.queue:
		server.waiting = append(server.waiting, attempt)
	default:
		r.refusals++
		r.clock.After(time.Millisecond, func() { r.end(attempt, Result{Outcome: outlier.Abandoned, Refused: true}) })
		return
	}
	if request.attempts == 1 && !r.waits() {
		left = min(left, 2*r.target)
	}
	r.clock.After(left, func() { r.end(attempt, Result{Outcome: outlier.Failed}) })
}

func (r *paceReplay) serverOf(id core.ServerID) *paceServer {
	for _, server := range r.all {
		if server.vm.ID == id {
			return server
		}
	}
	return nil
}

func (r *paceReplay) run(attempt *paceAttempt) {
	attempt.server.running = append(attempt.server.running, attempt)
	duration := time.Duration((0.8 + 0.4*r.random.Float64()) * float64(r.duration))
	if r.clock.Now() < attempt.server.coldUntil {
		duration *= paceColdFactor
	}
	r.clock.After(duration, func() { r.end(attempt, Result{Outcome: outlier.Succeeded}) })
}

// end ends an attempt, frees its slot and sends the request again if it got no answer.
func (r *paceReplay) end(attempt *paceAttempt, result Result) {
	if attempt.over {
		return
	}
	attempt.over = true
	now, request, server := r.clock.Time(), attempt.request, attempt.server
	server.running = remove(server.running, attempt)
	server.waiting = remove(server.waiting, attempt)
	for server.up && len(server.running) < r.slots && len(server.waiting) > 0 {
		next := server.waiting[0]
		server.waiting = server.waiting[1:]
		r.run(next)
	}
	r.processes[request.process].End(attempt.dispatch, result, now, r.random)
	if limit := r.limits[request.process][server.vm.ID]; limit != nil {
		if result.Outcome == outlier.Succeeded {
			limit.Observe(now.Sub(attempt.dispatch.Started), now)
		} else {
			limit.RecordFailure()
		}
	}
	if result.Outcome == outlier.Succeeded {
		if r.clock.Now()-request.arrived > r.target {
			r.late++
		}
		return
	}
	request.exclude, request.waitsSince = append(request.exclude, server.vm.ID), r.clock.Now()
	if r.waits() {
		request.exclude = request.exclude[len(request.exclude)-1:]
	}
	r.attempt(request)
}

func remove(attempts []*paceAttempt, gone *paceAttempt) []*paceAttempt {
	for i, attempt := range attempts {
		if attempt == gone {
			return append(attempts[:i:i], attempts[i+1:]...)
		}
	}
	return attempts
}

// checkFullUse records when a server that came up gets its usual share of the requests.
func (r *paceReplay) checkFullUse(server *paceServer) {
	now, count := r.clock.Now(), 0
	if server.fullUseDue == 0 || server.fullUseAt > 0 || now < server.fullUseDue+paceWindow {
		return
	}
	for i := len(server.arrivals) - 1; i >= 0 && now-server.arrivals[i] < paceWindow; i-- {
		count++
	}
	if float64(count) >= paceFullUse*r.load*float64(r.slots)/r.duration.Seconds()*paceWindow.Seconds() {
		server.fullUseAt = now - server.fullUseDue
	}
}

// paceScenarios are what happens to the servers after paceWarmUp.
var paceScenarios = []struct {
	name string
	run  func(*paceReplay)
}{
	{"a cold server", func(r *paceReplay) { r.stop(0, 0); r.clock.After(time.Second, func() { r.start(0, r.cold) }) }},
	{"a server that flaps", func(r *paceReplay) {
		var flap func()
		flap = func() {
			r.stop(0, 3600*time.Millisecond)
			r.clock.After(4*time.Second, func() { r.start(0, r.cold); r.clock.After(2*time.Second, flap) })
		}
		flap()
	}},
	{"a rolling release", func(r *paceReplay) {
		for i := range r.all {
			r.clock.After(time.Duration(i)*1500*time.Millisecond, func() { r.stop(i, 0); r.clock.After(500*time.Millisecond, func() { r.start(i, r.cold) }) })
		}
	}},
	{"half of the service at once", func(r *paceReplay) {
		for i := 0; i < len(r.all); i += 2 {
			r.stop(i, 0)
			r.start(i, r.cold)
		}
	}},
	{"the whole service at once", func(r *paceReplay) {
		for i := range r.all {
			r.stop(i, 0)
			r.start(i, r.cold)
		}
	}},
	{"a server that returns", func(r *paceReplay) {
		server := r.all[0]
		server.failing = true
		r.clock.After(12*time.Second, func() { server.failing, server.arrivals, server.fullUseDue = false, nil, r.clock.Now() })
	}},
}

// TestReplayOfPace compares the pace with servers that get all their work at once, or over
// the outlier policy's RampUp, and with a ServerLimit in each process. It guards against a
// pace that makes more requests late or failed than none, refuses what servers could take,
// or leaves a warm server idle.
func TestReplayOfPace(t *testing.T) {
	for _, scenario := range paceScenarios {
		for _, processes := range []int{10, 75, 610} {
			replayLaws(t, scenario.name, scenario.run, plainModel, processes)
		}
		replayLaws(t, scenario.name+", engines", scenario.run, engineModel, 1)
	}
}

func replayLaws(t *testing.T, name string, run func(*paceReplay), model paceModel, processes int) {
	const maxIdle = 5 * time.Second // from the end of the cold time to full use, a quarter of RampUp
	replays := make(map[string]*paceReplay)
	for _, law := range []string{"present", "server limit", "pace"} {
		r := newPaceReplay(model, law, processes)
		replays[law] = r
		r.clock.After(paceWarmUp, func() { run(r) })
		r.clock.RunUntil(paceLength)
		var longest time.Duration
		full := 0
		for _, server := range r.all {
			if server.fullUseAt > 0 {
				full++
				longest = max(longest, server.fullUseAt)
			}
		}
		t.Logf("%-35s %3d processes, %-12s: %5d sent, %4d late, %3d failed, %3d refused by servers, full use of %2d after %v",
			name, processes, law, r.sent, r.late, r.failed, r.refusals, full, longest.Round(100*time.Millisecond))
		if law == "pace" && name == "a cold server" && (full != 1 || longest > model.cold+maxIdle) {
			t.Errorf("%s, %d processes: in full use after %v, want at most %v after the cold time", name, processes, longest, maxIdle)
		}
	}
	const chance = 1.1 // the laws draw different servers
	paced, present := replays["pace"], replays["present"]
	if got, want := paced.late+paced.failed, present.late+present.failed; float64(got) > chance*float64(want) {
		t.Errorf("%s, %d processes: %d requests late or failed with a pace, %d without", name, processes, got, want)
	}
}
