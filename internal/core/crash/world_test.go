package crash

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/virtualtime"
)

// job is one request at one entry process.
type job struct {
	fingerprint uint64
	kills       bool
	length      time.Duration
	attempts    int
	arrived     time.Duration // when it was cut last
	began       time.Duration
	ran         time.Duration // until it was cut last
	done        func(refused bool)
}

type run struct {
	job    *job
	entry  int
	trial  bool
	passed bool
}

const (
	worldEntries  = 10
	worldServers  = 11
	serverRestart = 60 * time.Second
	killAfter     = 300 * time.Millisecond
	pushEvery     = 500 * time.Millisecond
	plainTries    = 3
	killer        = uint64(1)
)

// world runs trackers of several entry processes against servers that die.
type world struct {
	random   *rand.Rand
	clock    virtualtime.Clock
	plain    bool // no fingerprints: three tries
	loss     float64
	lag      time.Duration
	trackers []*Tracker // nil when the process has died
	held     [][]*job
	up       []bool
	runs     [][]*run
	dead     int // servers lost to the killer
	refused  map[uint64]bool
	delays   []time.Duration // from death to a further run, of innocent requests
	finished int
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 2)), lag: 40 * time.Millisecond, refused: make(map[uint64]bool),
		held: make([][]*job, worldEntries), up: make([]bool, worldServers), runs: make([][]*run, worldServers),
	}
	for i := range worldEntries {
		w.trackers = append(w.trackers, New(w.vm(i)))
		w.after(time.Duration(w.random.Int64N(int64(pushEvery))), func() { w.beat(i) })
	}
	for i := range w.up {
		w.up[i] = true
	}
	return w
}

func (w *world) vm(i int) core.VMID { return core.VMID(fmt.Sprintf("vm-%02d", i)) }
func (w *world) server(i int) core.ServerID {
	return core.ServerID(fmt.Sprintf("server-%02d", i))
}
func (w *world) time() time.Time                      { return w.clock.Time() }
func (w *world) after(delay time.Duration, do func()) { w.clock.After(delay, do) }

func (w *world) live() []core.VMID {
	var live []core.VMID
	for i, t := range w.trackers {
		if t != nil {
			live = append(live, w.vm(i))
		}
	}
	return live
}

func (w *world) pickServer() (int, bool) {
	var up []int
	for i, ok := range w.up {
		if ok {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return 0, false
	}
	return up[w.random.IntN(len(up))], true
}

// submit brings a request to an entry process.
func (w *world) submit(entry int, j *job) {
	if w.trackers[entry] == nil {
		entry = slices.IndexFunc(w.trackers, func(t *Tracker) bool { return t != nil })
	}
	server, ok := w.pickServer()
	if !ok {
		w.after(time.Second, func() { w.submit(entry, j) })
		return
	}
	if w.plain {
		w.start(server, &run{job: j, entry: entry})
		return
	}
	switch w.trackers[entry].Check(j.fingerprint, w.time()) {
	case Run:
		w.trackers[entry].Begin(j.fingerprint)
		w.start(server, &run{job: j, entry: entry})
	case Hold:
		w.held[entry] = append(w.held[entry], j)
	default:
		w.refused[j.fingerprint] = true
		j.done(true)
	}
}

func (w *world) start(server int, r *run) {
	r.job.attempts++
	r.job.began = w.clock.Now()
	if r.job.attempts > 1 && !r.job.kills {
		w.delays = append(w.delays, w.clock.Now()-r.job.arrived)
	}
	w.runs[server] = append(w.runs[server], r)
	if r.trial {
		w.after(TrialTime(r.job.ran, false), func() { w.pass(server, r) })
	}
	if r.job.kills {
		w.after(killAfter, func() {
			if slices.Contains(w.runs[server], r) {
				w.dead++
				w.kill(server)
			}
		})
		return
	}
	w.after(r.job.length, func() { w.end(server, r) })
}

func (w *world) pass(server int, r *run) {
	if t := w.trackers[r.entry]; t != nil && slices.Contains(w.runs[server], r) {
		t.Passed(r.job.fingerprint, w.time())
		r.passed = true
		w.changed(r.entry)
	}
}

func (w *world) end(server int, r *run) {
	at := slices.Index(w.runs[server], r)
	if at < 0 {
		return
	}
	w.runs[server] = slices.Delete(w.runs[server], at, at+1)
	w.report(server, r, Clean)
	w.finished++
	r.job.done(false)
}

func (w *world) report(server int, r *run, outcome Outcome) {
	t := w.trackers[r.entry]
	if w.plain || t == nil {
		return
	}
	if r.trial && !r.passed {
		t.EndTrial(r.job.fingerprint, w.server(server), outcome, w.time())
	} else {
		t.End(r.job.fingerprint, w.server(server), outcome, w.time())
	}
	w.changed(r.entry)
}

// kill ends a server and all that runs on it.
func (w *world) kill(server int) {
	w.up[server] = false
	w.after(serverRestart, func() { w.up[server] = true })
	lost := w.runs[server]
	w.runs[server] = nil
	for _, r := range lost {
		r.job.arrived = w.clock.Now()
		r.job.ran = w.clock.Now() - r.job.began
		w.report(server, r, Died)
	}
	for _, r := range lost {
		switch {
		case w.plain && r.job.attempts%plainTries == 0:
			r.job.done(true)
		default:
			w.submit(r.entry, r.job)
		}
	}
	for i := range w.trackers {
		w.push(i)
	}
}

// push sends a process's news to every other and takes the answers.
func (w *world) push(from int) {
	if w.plain || w.trackers[from] == nil {
		return
	}
	news := w.trackers[from].News(core.HeartbeatCrashes, w.time())
	if len(news) == 0 {
		return
	}
	for to := range w.trackers {
		if to == from {
			continue
		}
		w.send(func() {
			if w.trackers[to] == nil {
				return
			}
			w.trackers[to].Heard(w.vm(from), news, w.time())
			answer := w.trackers[to].Answer(news, w.time())
			w.changed(to)
			w.send(func() {
				if w.trackers[from] != nil {
					w.trackers[from].Heard(w.vm(to), answer, w.time())
					w.changed(from)
					w.startTrials(from)
				}
			})
		})
	}
}

func (w *world) send(arrive func()) {
	if w.random.Float64() >= w.loss {
		w.after(time.Duration(w.random.Int64N(int64(w.lag))), arrive)
	}
}

func (w *world) beat(i int) {
	t := w.trackers[i]
	if t == nil {
		return
	}
	t.Tick(w.time())
	for other := range w.trackers {
		if w.trackers[other] == nil {
			t.Gone(w.vm(other), w.time())
		}
	}
	w.changed(i)
	for _, j := range w.held[i] {
		if server, ok := w.pickServer(); ok {
			t.Propose(j.fingerprint, w.server(server), w.time())
		}
	}
	w.push(i)
	w.after(pushEvery, func() { w.beat(i) })
}

// changed asks again for the requests that a process holds.
func (w *world) changed(i int) {
	if w.trackers[i] == nil || len(w.trackers[i].Changed()) == 0 {
		return
	}
	held := w.held[i]
	w.held[i] = nil
	for _, j := range held {
		w.submit(i, j)
	}
}

func (w *world) startTrials(i int) {
	for _, j := range slices.Clone(w.held[i]) {
		t := w.trackers[i]
		id, ok := t.Start(j.fingerprint, w.live())
		if !ok {
			continue
		}
		var server int
		_, _ = fmt.Sscanf(string(id), "server-%d", &server)
		w.held[i] = slices.DeleteFunc(w.held[i], func(other *job) bool { return other == j })
		if !w.up[server] {
			t.EndTrial(j.fingerprint, w.server(server), Other, w.time())
			w.submit(i, j)
			continue
		}
		w.start(server, &run{job: j, entry: i, trial: true})
	}
}

// innocents keeps so many ordinary requests in flight.
func (w *world) innocents(count int) {
	fingerprint := uint64(1000)
	var next func()
	next = func() {
		fingerprint++
		j := &job{fingerprint: fingerprint, length: 500*time.Millisecond + time.Duration(w.random.ExpFloat64()*float64(4*time.Second))}
		j.done = func(bool) { next() }
		w.submit(w.random.IntN(worldEntries), j)
	}
	for range count {
		next()
	}
}

// resendKiller sends the killing request and sends it again after each failure.
func (w *world) resendKiller(times int) {
	j := &job{fingerprint: killer, kills: true}
	j.done = func(bool) {
		if times--; times > 0 {
			w.after(10*time.Millisecond, func() { w.submit(w.random.IntN(worldEntries), j) })
		}
	}
	w.submit(w.random.IntN(worldEntries), j)
}
