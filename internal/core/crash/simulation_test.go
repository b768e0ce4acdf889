package crash

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/virtualtime"
)

// job is one request at an entry process.
type job struct {
	fingerprint  uint64
	isKiller     bool
	duration     time.Duration
	attempts     int
	cutAt        time.Duration // when its last run was cut
	startedAt    time.Duration
	ranBeforeCut time.Duration // how long its last run lasted until it was cut
	done         func(refused bool)
}

type run struct {
	job    *job
	entry  int
	trial  bool
	passed bool
}

const (
	entryCount        = 10
	serverCount       = 11
	serverRestartTime = 60 * time.Second
	killDelay         = 300 * time.Millisecond
	updateInterval    = 500 * time.Millisecond
	baselineAttempts  = 3
	killer            = uint64(1) // fingerprint of the request that crashes servers
)

// simulation runs the trackers of several entry processes against servers that
// die.
type simulation struct {
	random      *rand.Rand
	clock       virtualtime.Clock
	baseline    bool // three attempts without fingerprints
	lossRate    float64
	maxDelay    time.Duration
	trackers    []*Tracker // nil when the process has died
	held        [][]*job
	up          []bool
	runs        [][]*run
	serversLost int // servers lost to the killer
	refused     map[uint64]bool
	rerunDelays []time.Duration // from death to the next run, of harmless requests
	finished    int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 2)), maxDelay: 40 * time.Millisecond, refused: make(map[uint64]bool),
		held: make([][]*job, entryCount), up: make([]bool, serverCount), runs: make([][]*run, serverCount),
	}
	for i := range entryCount {
		s.trackers = append(s.trackers, New(s.vmName(i)))
		s.after(time.Duration(s.random.Int64N(int64(updateInterval))), func() { s.tick(i) })
	}
	for i := range s.up {
		s.up[i] = true
	}
	return s
}

func (s *simulation) vmName(i int) core.VMID { return core.VMID(fmt.Sprintf("vm-%02d", i)) }
func (s *simulation) serverName(i int) core.ServerID {
	return core.ServerID(fmt.Sprintf("server-%02d", i))
}
func (s *simulation) time() time.Time                      { return s.clock.Time() }
func (s *simulation) after(delay time.Duration, do func()) { s.clock.After(delay, do) }

func (s *simulation) liveVMs() []core.VMID {
	var live []core.VMID
	for i, t := range s.trackers {
		if t != nil {
			live = append(live, s.vmName(i))
		}
	}
	return live
}

func (s *simulation) pickServer() (int, bool) {
	var up []int
	for i, ok := range s.up {
		if ok {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return 0, false
	}
	return up[s.random.IntN(len(up))], true
}

// submit sends a request to an entry process.
func (s *simulation) submit(entry int, j *job) {
	if s.trackers[entry] == nil {
		entry = slices.IndexFunc(s.trackers, func(t *Tracker) bool { return t != nil })
	}
	server, ok := s.pickServer()
	if !ok {
		s.after(time.Second, func() { s.submit(entry, j) })
		return
	}
	if s.baseline {
		s.startRun(server, &run{job: j, entry: entry})
		return
	}
	switch s.trackers[entry].Check(j.fingerprint, s.time()) {
	case Run:
		s.trackers[entry].BeginRun(j.fingerprint)
		s.startRun(server, &run{job: j, entry: entry})
	case Hold:
		s.held[entry] = append(s.held[entry], j)
	default:
		s.refused[j.fingerprint] = true
		j.done(true)
	}
}

func (s *simulation) startRun(server int, r *run) {
	r.job.attempts++
	r.job.startedAt = s.clock.Now()
	if r.job.attempts > 1 && !r.job.isKiller {
		s.rerunDelays = append(s.rerunDelays, s.clock.Now()-r.job.cutAt)
	}
	s.runs[server] = append(s.runs[server], r)
	if r.trial {
		s.after(TrialDuration(r.job.ranBeforeCut, false), func() { s.passTrial(server, r) })
	}
	if r.job.isKiller {
		s.after(killDelay, func() {
			if slices.Contains(s.runs[server], r) {
				s.serversLost++
				s.killServer(server)
			}
		})
		return
	}
	s.after(r.job.duration, func() { s.endRun(server, r) })
}

func (s *simulation) passTrial(server int, r *run) {
	if t := s.trackers[r.entry]; t != nil && slices.Contains(s.runs[server], r) {
		t.PassTrial(r.job.fingerprint, s.time())
		r.passed = true
		s.resubmitHeld(r.entry)
	}
}

func (s *simulation) endRun(server int, r *run) {
	at := slices.Index(s.runs[server], r)
	if at < 0 {
		return
	}
	s.runs[server] = slices.Delete(s.runs[server], at, at+1)
	s.reportOutcome(server, r, Clean)
	s.finished++
	r.job.done(false)
}

func (s *simulation) reportOutcome(server int, r *run, outcome Outcome) {
	t := s.trackers[r.entry]
	if s.baseline || t == nil {
		return
	}
	if r.trial && !r.passed {
		t.EndTrial(r.job.fingerprint, s.serverName(server), outcome, s.time())
	} else {
		t.EndRun(r.job.fingerprint, s.serverName(server), outcome, s.time())
	}
	s.resubmitHeld(r.entry)
}

// killServer ends a server and all runs on it.
func (s *simulation) killServer(server int) {
	s.up[server] = false
	s.after(serverRestartTime, func() { s.up[server] = true })
	lost := s.runs[server]
	s.runs[server] = nil
	for _, r := range lost {
		r.job.cutAt = s.clock.Now()
		r.job.ranBeforeCut = s.clock.Now() - r.job.startedAt
		s.reportOutcome(server, r, ServerDied)
	}
	for _, r := range lost {
		switch {
		case s.baseline && r.job.attempts%baselineAttempts == 0:
			r.job.done(true)
		default:
			s.submit(r.entry, r.job)
		}
	}
	for i := range s.trackers {
		s.sendUpdates(i)
	}
}

// sendUpdates sends a process's updates to all others and applies the answers.
func (s *simulation) sendUpdates(from int) {
	if s.baseline || s.trackers[from] == nil {
		return
	}
	updates := s.trackers[from].Updates(core.HeartbeatCrashes, s.time())
	if len(updates) == 0 {
		return
	}
	for to := range s.trackers {
		if to == from {
			continue
		}
		s.sendDelayed(func() {
			if s.trackers[to] == nil {
				return
			}
			s.trackers[to].ApplyUpdates(s.vmName(from), updates, s.time())
			answer := s.trackers[to].AnswerUpdates(updates, s.time())
			s.resubmitHeld(to)
			s.sendDelayed(func() {
				if s.trackers[from] != nil {
					s.trackers[from].ApplyUpdates(s.vmName(to), answer, s.time())
					s.resubmitHeld(from)
					s.startTrials(from)
				}
			})
		})
	}
}

func (s *simulation) sendDelayed(arrive func()) {
	if s.random.Float64() >= s.lossRate {
		s.after(time.Duration(s.random.Int64N(int64(s.maxDelay))), arrive)
	}
}

func (s *simulation) tick(i int) {
	t := s.trackers[i]
	if t == nil {
		return
	}
	t.Tick(s.time())
	for other := range s.trackers {
		if s.trackers[other] == nil {
			t.RemovePeer(s.vmName(other), s.time())
		}
	}
	s.resubmitHeld(i)
	for _, j := range s.held[i] {
		if server, ok := s.pickServer(); ok {
			t.ProposeTrial(j.fingerprint, s.serverName(server), s.time())
		}
	}
	s.sendUpdates(i)
	s.after(updateInterval, func() { s.tick(i) })
}

// resubmitHeld submits the held requests of a process again if a verdict has
// changed.
func (s *simulation) resubmitHeld(i int) {
	if s.trackers[i] == nil || len(s.trackers[i].TakeChanged()) == 0 {
		return
	}
	held := s.held[i]
	s.held[i] = nil
	for _, j := range held {
		s.submit(i, j)
	}
}

func (s *simulation) startTrials(i int) {
	for _, j := range slices.Clone(s.held[i]) {
		t := s.trackers[i]
		id, ok := t.StartTrial(j.fingerprint, s.liveVMs())
		if !ok {
			continue
		}
		var server int
		_, _ = fmt.Sscanf(string(id), "server-%d", &server)
		s.held[i] = slices.DeleteFunc(s.held[i], func(other *job) bool { return other == j })
		if !s.up[server] {
			t.EndTrial(j.fingerprint, s.serverName(server), Inconclusive, s.time())
			s.submit(i, j)
			continue
		}
		s.startRun(server, &run{job: j, entry: i, trial: true})
	}
}

// submitHarmless keeps the given number of harmless requests in flight.
func (s *simulation) submitHarmless(count int) {
	fingerprint := uint64(1000)
	var next func()
	next = func() {
		fingerprint++
		j := &job{fingerprint: fingerprint, duration: 500*time.Millisecond + time.Duration(s.random.ExpFloat64()*float64(4*time.Second))}
		j.done = func(bool) { next() }
		s.submit(s.random.IntN(entryCount), j)
	}
	for range count {
		next()
	}
}

// resendKiller sends the killer request and sends it again after each failure.
func (s *simulation) resendKiller(times int) {
	j := &job{fingerprint: killer, isKiller: true}
	j.done = func(bool) {
		if times--; times > 0 {
			s.after(10*time.Millisecond, func() { s.submit(s.random.IntN(entryCount), j) })
		}
	}
	s.submit(s.random.IntN(entryCount), j)
}
