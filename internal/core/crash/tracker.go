package crash

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

const (
	// maxFingerprints bounds the fingerprints that are suspected or convicted.
	maxFingerprints = 8192
	// calmWait is the time from a death to the first trial and to a verdict
	// that no trial gave, so that an outage is seen as one.
	calmWait = time.Second
	// outageWindow and outageDeaths: so many servers that die within the window
	// are an outage.
	outageWindow = 5 * time.Second
	outageDeaths = 3
	// maxDeaths bounds the deaths remembered within the window.
	maxDeaths = 64
	// keepConvicted is for how long a conviction is remembered after its last use.
	keepConvicted = 24 * time.Hour
	// keepCleared is for how long late news of an ended suspicion are recognised.
	keepCleared = time.Minute
	// keepSuspect ends a suspicion that no request has asked about.
	keepSuspect = 10 * time.Minute
)

// trialMargin is how long a trial runs past the point of the earlier death.
const trialMargin = 5 * time.Second

// TrialTime is how long a trial must run to pass. Before is how long the run
// at the death had lasted; a run that resumes where it was cut starts there.
func TrialTime(before time.Duration, resumes bool) time.Duration {
	if resumes {
		return trialMargin
	}
	return before + trialMargin
}

// Verdict says what may be done with a request.
type Verdict int

// The verdicts.
const (
	Run    Verdict = iota // dispatch as usual
	Hold                  // do not dispatch; ask for a trial or wait for news
	Refuse                // refuse with errkind.CrashesServers
)

// Outcome says how a run ended.
type Outcome int

// The outcomes of a run.
const (
	Clean Outcome = iota // explicit end mark
	Died                 // the server cut the stream
	Other                // refused, cancelled or timed out; tells nothing of a crash
)

// row is what is known of one fingerprint.
type row struct {
	round       uint32
	state       core.CrashState
	first       core.ServerID
	second      core.ServerID
	died        time.Time // newest death
	touched     time.Time
	trial       core.VMID
	trialServer core.ServerID
	running     bool // the trial is this process's and has begun
	judged      bool // the two deaths had other fingerprints in common
	trialDied   bool // the server of another process's trial was seen to die
	allowed     map[core.VMID]bool
}

type death struct {
	server core.ServerID
	at     time.Time
}

// Tracker holds one entry process's knowledge.
type Tracker struct {
	self     core.VMID
	rows     map[uint64]*row
	inFlight map[uint64]int // runs that are no trials
	deaths   []death        // within the outage window, one for each server
	changed  []uint64       // fingerprints whose verdict changed
	cursor   uint64         // last conviction that News returned
}

// New returns a tracker that suspects nothing.
func New(self core.VMID) *Tracker {
	return &Tracker{self: self, rows: make(map[uint64]*row), inFlight: make(map[uint64]int)}
}

// Check says what may be done with a request of the fingerprint.
func (t *Tracker) Check(fingerprint uint64, now time.Time) Verdict {
	r := t.rows[fingerprint]
	if r == nil {
		return Run
	}
	switch r.state {
	case core.CrashConvicted:
		r.touched = now
		return Refuse
	case core.CrashSuspect:
		r.touched = now
		return Hold
	default:
		return Run
	}
}

// Begin counts a run that Check allowed.
func (t *Tracker) Begin(fingerprint uint64) { t.inFlight[fingerprint]++ }

// End takes the outcome of a run that Begin counted.
func (t *Tracker) End(fingerprint uint64, server core.ServerID, outcome Outcome, now time.Time) {
	t.inFlight[fingerprint]--
	if t.inFlight[fingerprint] <= 0 {
		delete(t.inFlight, fingerprint)
	}
	switch outcome {
	case Died:
		t.died(fingerprint, server, now)
	case Clean:
		t.clear(fingerprint, now)
	}
}

// EndTrial takes the outcome of a trial that Start began. One that has passed
// ends as a run that Begin counted.
func (t *Tracker) EndTrial(fingerprint uint64, server core.ServerID, outcome Outcome, now time.Time) {
	r := t.rows[fingerprint]
	if r == nil || !r.running {
		t.End(fingerprint, server, outcome, now)
		return
	}
	r.endTrial()
	switch outcome {
	case Died:
		t.noteDeath(server, now)
		r.died = now
		t.convict(fingerprint, r, server, now)
	case Clean:
		t.clear(fingerprint, now)
	}
}

// Passed ends a trial that has outlived its trial time: the fingerprint is
// cleared and the run goes on as one that Begin counted.
func (t *Tracker) Passed(fingerprint uint64, now time.Time) {
	r := t.rows[fingerprint]
	if r == nil || !r.running {
		return
	}
	t.clear(fingerprint, now)
	t.Begin(fingerprint)
}

func (r *row) endTrial() {
	r.trial, r.trialServer, r.running, r.trialDied, r.allowed = "", "", false, false, nil
}

// died takes a death with the fingerprint in flight outside a trial.
func (t *Tracker) died(fingerprint uint64, server core.ServerID, now time.Time) {
	t.noteDeath(server, now)
	r := t.rows[fingerprint]
	switch {
	case r == nil && len(t.rows) >= maxFingerprints:
		return
	case r == nil:
		r = &row{round: 1}
		t.rows[fingerprint] = r
		t.suspect(fingerprint, r, server, now)
	case r.state == core.CrashCleared:
		r.round++
		t.suspect(fingerprint, r, server, now)
	case r.state == core.CrashSuspect && r.first != server:
		r.second = server
		r.died = now
	}
	t.recogniseOutage(now)
}

func (t *Tracker) suspect(fingerprint uint64, r *row, server core.ServerID, now time.Time) {
	r.state = core.CrashSuspect
	r.first, r.second, r.judged = server, "", false
	r.died, r.touched = now, now
	t.changed = append(t.changed, fingerprint)
}

func (t *Tracker) clear(fingerprint uint64, now time.Time) {
	r := t.rows[fingerprint]
	if r == nil || r.state != core.CrashSuspect {
		return
	}
	r.state = core.CrashCleared
	r.touched = now
	r.endTrial()
	t.changed = append(t.changed, fingerprint)
}

// convict also clears the other suspects of the same deaths.
func (t *Tracker) convict(fingerprint uint64, r *row, second core.ServerID, now time.Time) {
	r.state = core.CrashConvicted
	r.second = second
	r.touched = now
	r.endTrial()
	t.changed = append(t.changed, fingerprint)
	t.clearExplained(fingerprint, r, now)
}

func (t *Tracker) clearExplained(convicted uint64, cause *row, now time.Time) {
	for fingerprint, r := range t.rows {
		explained := r.first == cause.first || r.first == cause.second
		if fingerprint != convicted && r.state == core.CrashSuspect && !r.running && explained && r.second == "" {
			t.clear(fingerprint, now)
		}
	}
}

// noteDeath remembers a server's death once within the window.
func (t *Tracker) noteDeath(server core.ServerID, now time.Time) {
	kept := t.deaths[:0]
	known := false
	for _, d := range t.deaths {
		if now.Sub(d.at) < outageWindow {
			kept = append(kept, d)
			known = known || d.server == server
		}
	}
	t.deaths = kept
	if !known && len(t.deaths) < maxDeaths {
		t.deaths = append(t.deaths, death{server, now})
	}
	for _, r := range t.rows {
		if r.trialServer == server && r.trial != t.self {
			r.trialDied = true
		}
	}
}

// recogniseOutage ends the suspicions of an outage. A fingerprint that was in
// flight at two of the dead servers stays a suspect.
func (t *Tracker) recogniseOutage(now time.Time) {
	if !t.inOutage(now) {
		return
	}
	for fingerprint, r := range t.rows {
		recent := now.Sub(r.died) < outageWindow
		if recent && r.state == core.CrashSuspect && r.second == "" && !r.running {
			t.clear(fingerprint, now)
		}
	}
}

// Tick gives the verdicts that no trial gave and forgets what is old.
func (t *Tracker) Tick(now time.Time) {
	t.judgeRepeated(now)
	for fingerprint, r := range t.rows {
		idle := now.Sub(r.touched)
		switch {
		case r.state == core.CrashCleared && idle >= keepCleared,
			r.state == core.CrashSuspect && idle >= keepSuspect && !r.running,
			r.state == core.CrashConvicted && idle >= keepConvicted:
			delete(t.rows, fingerprint)
		}
	}
}

// judgeRepeated convicts a suspect that was in flight at two deaths without a
// trial, if it is the only one that both deaths have in common.
func (t *Tracker) judgeRepeated(now time.Time) {
	type pair struct{ first, second core.ServerID }
	common := make(map[pair][]uint64)
	for fingerprint, r := range t.rows {
		if r.state == core.CrashSuspect && r.second != "" && now.Sub(r.died) >= calmWait {
			both := pair{r.first, r.second}
			common[both] = append(common[both], fingerprint)
		}
	}
	for both, fingerprints := range common {
		for _, fingerprint := range fingerprints {
			r := t.rows[fingerprint]
			if len(fingerprints) == 1 && !t.inOutage(now) {
				t.convict(fingerprint, r, both.second, now)
			} else {
				r.second, r.judged = "", true
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

// Changed returns the fingerprints whose verdict changed since the last call.
// Requests that were held must ask Check again.
func (t *Tracker) Changed() []uint64 {
	changed := t.changed
	t.changed = nil
	slices.Sort(changed)
	return slices.Compact(changed)
}

// State counts the fingerprints.
type State struct {
	Suspects  int `json:"suspects"`
	Trials    int `json:"trials"`
	Convicted int `json:"convicted"`
	Cleared   int `json:"cleared"`
	InFlight  int `json:"in_flight"`
}

// State returns the tracker's counts for the dump.
func (t *Tracker) State() State {
	state := State{InFlight: len(t.inFlight)}
	for _, r := range t.rows {
		switch r.state {
		case core.CrashSuspect:
			state.Suspects++
		case core.CrashConvicted:
			state.Convicted++
		default:
			state.Cleared++
		}
		if r.running {
			state.Trials++
		}
	}
	return state
}
