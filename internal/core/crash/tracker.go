package crash

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// maxFingerprints limits how many fingerprints are tracked.
	maxFingerprints = 8192
	// quietPeriod is the time without deaths before a trial, or before a
	// verdict without a trial, so that an outage is recognized first.
	quietPeriod = time.Second
	// outageWindow is the time within which outageDeaths servers must die to
	// count as an outage.
	outageWindow = 5 * time.Second
	outageDeaths = 3
	// maxDeaths limits how many deaths within the window are recorded.
	maxDeaths = 64
	// convictedRetention is how long a conviction is kept after its last use.
	convictedRetention = 24 * time.Hour
	// clearedRetention is how long a cleared fingerprint is kept, so that late
	// updates about the ended suspicion are recognized.
	clearedRetention = time.Minute
	// suspectRetention is how long a suspect is kept after the last request
	// with its fingerprint.
	suspectRetention = 10 * time.Minute
)

// trialMargin is how long a trial runs past the point at which the earlier run
// was cut.
const trialMargin = 5 * time.Second

// TrialDuration returns how long a trial must run to pass. Before is how long the
// run had lasted when its server died; a run that resumes continues from that
// point.
func TrialDuration(before time.Duration, resumes bool) time.Duration {
	if resumes {
		return trialMargin
	}
	return before + trialMargin
}

// Verdict says what may be done with a request.
type Verdict int

// Verdicts on a request.
const (
	Run    Verdict = iota // dispatch as usual
	Hold                  // do not dispatch; propose a trial or wait until the verdict changes
	Refuse                // refuse with errkind.CrashesServers
)

// Outcome says how a run ended.
type Outcome int

// Outcomes of a run.
const (
	Clean        Outcome = iota // the stream had an explicit end mark
	ServerDied                  // the server cut the stream
	Inconclusive                // refused, canceled or timed out; says nothing about a crash
)

// fingerprintState is what is known of one fingerprint.
type fingerprintState struct {
	round           uint32
	state           core.CrashState
	firstServer     core.ServerID
	secondServer    core.ServerID
	diedAt          time.Time // time of the newest death
	lastUsed        time.Time
	trialOwner      core.VMID
	trialServer     core.ServerID
	trialRunning    bool // this process owns the trial and has started it
	inconclusive    bool // several suspects were in flight at both deaths
	trialServerDied bool // the server of another process's trial has died
	allowedBy       map[core.VMID]bool
}

type death struct {
	server core.ServerID
	at     time.Time
}

// Tracker records the fingerprints known to one entry process.
type Tracker struct {
	self            core.VMID
	fingerprints    map[uint64]*fingerprintState
	inFlight        map[uint64]int // runs in flight that are not trials
	deaths          []death        // within the outage window, at most one per server
	changedVerdicts []uint64       // fingerprints whose verdict changed since the last call of TakeChanged
	lastReported    uint64         // last convicted fingerprint that Updates returned
}

// New returns a tracker without suspects.
func New(self core.VMID) *Tracker {
	return &Tracker{self: self, fingerprints: make(map[uint64]*fingerprintState), inFlight: make(map[uint64]int)}
}

// Check returns the verdict on a request with the fingerprint.
func (t *Tracker) Check(fingerprint uint64, now time.Time) Verdict {
	r := t.fingerprints[fingerprint]
	if r == nil {
		return Run
	}
	switch r.state {
	case core.CrashConvicted:
		r.lastUsed = now
		return Refuse
	case core.CrashSuspect:
		r.lastUsed = now
		return Hold
	default:
		return Run
	}
}

// BeginRun records the start of a run that Check allowed.
func (t *Tracker) BeginRun(fingerprint uint64) { t.inFlight[fingerprint]++ }

// EndRun records the outcome of a run that BeginRun recorded.
func (t *Tracker) EndRun(fingerprint uint64, server core.ServerID, outcome Outcome, now time.Time) {
	t.inFlight[fingerprint]--
	if t.inFlight[fingerprint] <= 0 {
		delete(t.inFlight, fingerprint)
	}
	switch outcome {
	case ServerDied:
		t.recordDeath(fingerprint, server, now)
	case Clean:
		t.clearSuspicion(fingerprint, now)
	}
}

// EndTrial records the outcome of a trial that StartTrial began. If the trial has
// passed already, it ends like a run that BeginRun recorded.
func (t *Tracker) EndTrial(fingerprint uint64, server core.ServerID, outcome Outcome, now time.Time) {
	r := t.fingerprints[fingerprint]
	if r == nil || !r.trialRunning {
		t.EndRun(fingerprint, server, outcome, now)
		return
	}
	r.endTrial()
	switch outcome {
	case ServerDied:
		t.recordServerDeath(server, now)
		r.diedAt = now
		t.convict(fingerprint, r, server, now)
	case Clean:
		t.clearSuspicion(fingerprint, now)
	}
}

// PassTrial ends a trial that has run for its TrialDuration: the fingerprint is
// cleared, and the run goes on like one that BeginRun recorded.
func (t *Tracker) PassTrial(fingerprint uint64, now time.Time) {
	r := t.fingerprints[fingerprint]
	if r == nil || !r.trialRunning {
		return
	}
	t.clearSuspicion(fingerprint, now)
	t.BeginRun(fingerprint)
}

func (r *fingerprintState) endTrial() {
	r.trialOwner, r.trialServer, r.trialRunning, r.trialServerDied, r.allowedBy = "", "", false, false, nil
}

// recordDeath records a server's death with the fingerprint in flight outside a
// trial.
func (t *Tracker) recordDeath(fingerprint uint64, server core.ServerID, now time.Time) {
	t.recordServerDeath(server, now)
	r := t.fingerprints[fingerprint]
	switch {
	case r == nil && len(t.fingerprints) >= maxFingerprints:
		return
	case r == nil:
		r = &fingerprintState{round: 1}
		t.fingerprints[fingerprint] = r
		t.markSuspect(fingerprint, r, server, now)
	case r.state == core.CrashCleared:
		r.round++
		t.markSuspect(fingerprint, r, server, now)
	case r.state == core.CrashSuspect && r.firstServer != server:
		r.secondServer = server
		r.diedAt = now
	}
	t.clearOutageSuspects(now)
}

func (t *Tracker) markSuspect(fingerprint uint64, r *fingerprintState, server core.ServerID, now time.Time) {
	r.state = core.CrashSuspect
	r.firstServer, r.secondServer, r.inconclusive = server, "", false
	r.diedAt, r.lastUsed = now, now
	t.changedVerdicts = append(t.changedVerdicts, fingerprint)
}

func (t *Tracker) clearSuspicion(fingerprint uint64, now time.Time) {
	r := t.fingerprints[fingerprint]
	if r == nil || r.state != core.CrashSuspect {
		return
	}
	r.state = core.CrashCleared
	r.lastUsed = now
	r.endTrial()
	t.changedVerdicts = append(t.changedVerdicts, fingerprint)
}

// convict marks the fingerprint as convicted and clears the other suspects of
// the same deaths.
func (t *Tracker) convict(fingerprint uint64, r *fingerprintState, second core.ServerID, now time.Time) {
	r.state = core.CrashConvicted
	r.secondServer = second
	r.lastUsed = now
	r.endTrial()
	t.changedVerdicts = append(t.changedVerdicts, fingerprint)
	t.clearOtherSuspects(fingerprint, r, now)
}

// clearOtherSuspects clears the suspects whose only death is explained by the
// convicted fingerprint.
func (t *Tracker) clearOtherSuspects(convicted uint64, convictedState *fingerprintState, now time.Time) {
	for fingerprint, r := range t.fingerprints {
		explained := r.firstServer == convictedState.firstServer || r.firstServer == convictedState.secondServer
		if fingerprint != convicted && r.state == core.CrashSuspect && !r.trialRunning && explained && r.secondServer == "" {
			t.clearSuspicion(fingerprint, now)
		}
	}
}

// recordServerDeath records a server's death, once within the outage window.
func (t *Tracker) recordServerDeath(server core.ServerID, now time.Time) {
	recent := t.deaths[:0]
	known := false
	for _, d := range t.deaths {
		if now.Sub(d.at) < outageWindow {
			recent = append(recent, d)
			known = known || d.server == server
		}
	}
	t.deaths = recent
	if !known && len(t.deaths) < maxDeaths {
		t.deaths = append(t.deaths, death{server, now})
	}
	for _, r := range t.fingerprints {
		if r.trialServer == server && r.trialOwner != t.self {
			r.trialServerDied = true
		}
	}
}

// clearOutageSuspects clears the recent suspects during an outage. A
// fingerprint that was in flight on two of the dead servers stays a suspect.
func (t *Tracker) clearOutageSuspects(now time.Time) {
	if !t.inOutage(now) {
		return
	}
	for fingerprint, r := range t.fingerprints {
		recent := now.Sub(r.diedAt) < outageWindow
		if recent && r.state == core.CrashSuspect && r.secondServer == "" && !r.trialRunning {
			t.clearSuspicion(fingerprint, now)
		}
	}
}

// Tick gives the verdicts that need no trial and deletes expired fingerprints.
func (t *Tracker) Tick(now time.Time) {
	t.judgeRepeatedDeaths(now)
	for fingerprint, r := range t.fingerprints {
		idle := now.Sub(r.lastUsed)
		switch {
		case r.state == core.CrashCleared && idle >= clearedRetention,
			r.state == core.CrashSuspect && idle >= suspectRetention && !r.trialRunning,
			r.state == core.CrashConvicted && idle >= convictedRetention:
			delete(t.fingerprints, fingerprint)
		}
	}
}

// judgeRepeatedDeaths convicts, without a trial, a suspect that was in flight
// at two deaths, if no other suspect was in flight at both.
func (t *Tracker) judgeRepeatedDeaths(now time.Time) {
	type pair struct{ first, second core.ServerID }
	common := make(map[pair][]uint64)
	for fingerprint, r := range t.fingerprints {
		if r.state == core.CrashSuspect && r.secondServer != "" && now.Sub(r.diedAt) >= quietPeriod {
			both := pair{r.firstServer, r.secondServer}
			common[both] = append(common[both], fingerprint)
		}
	}
	for both, fingerprints := range common {
		for _, fingerprint := range fingerprints {
			r := t.fingerprints[fingerprint]
			if len(fingerprints) == 1 && !t.inOutage(now) {
				t.convict(fingerprint, r, both.second, now)
			} else {
				r.secondServer, r.inconclusive = "", true
			}
		}
	}
}

func (t *Tracker) inOutage(now time.Time) bool {
	return t.deathsWithin(outageWindow, now) >= outageDeaths
}

func (t *Tracker) deathsWithin(window time.Duration, now time.Time) int {
	count := 0
	for _, d := range t.deaths {
		if now.Sub(d.at) < window {
			count++
		}
	}
	return count
}

// TakeChanged returns the fingerprints whose verdict changed since the last call.
// Held requests with these fingerprints must be passed to Check again.
func (t *Tracker) TakeChanged() []uint64 {
	changed := t.changedVerdicts
	t.changedVerdicts = nil
	slices.Sort(changed)
	return slices.Compact(changed)
}

// State holds the tracker's counts for the state dump.
type State struct {
	Suspects  int `json:"suspects"`
	Trials    int `json:"trials"`
	Convicted int `json:"convicted"`
	Cleared   int `json:"cleared"`
	InFlight  int `json:"in_flight"`
}

// State returns the tracker's counts.
func (t *Tracker) State() State {
	state := State{InFlight: len(t.inFlight)}
	for _, r := range t.fingerprints {
		switch r.state {
		case core.CrashSuspect:
			state.Suspects++
		case core.CrashConvicted:
			state.Convicted++
		default:
			state.Cleared++
		}
		if r.trialRunning {
			state.Trials++
		}
	}
	return state
}
