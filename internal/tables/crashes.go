package tables

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// maxHeld bounds the requests that wait for a verdict.
const maxHeld = 4096

// Held is a request that waits until its fingerprint is no longer suspected or
// its trial may begin.
type Held struct {
	Fingerprint uint64
	Service     string // whose servers may run the trial
	trial       core.ServerID
	resume      func(trial core.ServerID)
}

// Crashes holds the fingerprints of requests that may crash backend servers.
type Crashes struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	tracker *crash.Tracker
	held    []*Held
}

// NewCrashes returns a table that suspects nothing.
func NewCrashes(self core.VMID) *Crashes {
	return &Crashes{mu: lockrank.New(lockrank.RankCrashes), tracker: crash.New(self)}
}

// Begin checks a fingerprint and counts a run that may be dispatched. On Hold
// the request is kept until resume is called, once and outside the lock, with
// the server of the trial to begin, or with an empty one when Begin is to be
// asked again. Errors: Overloaded when too many requests are held.
func (t *Crashes) Begin(fingerprint uint64, service string, resume func(trial core.ServerID), now time.Time) (crash.Verdict, *Held, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := t.tracker.Check(fingerprint, now)
	switch {
	case verdict == crash.Run:
		t.tracker.Begin(fingerprint)
		return verdict, nil, nil
	case verdict == crash.Refuse:
		return verdict, nil, nil
	case len(t.held) >= maxHeld:
		return verdict, nil, errkind.New(errkind.Overloaded, "%d requests wait for the trial of a suspect", len(t.held))
	}
	held := &Held{Fingerprint: fingerprint, Service: service, resume: resume}
	t.held = append(t.held, held)
	return verdict, held, nil
}

// End takes the outcome of a run that Begin counted.
func (t *Crashes) End(fingerprint uint64, server core.ServerID, outcome crash.Outcome, now time.Time) {
	t.change(func() { t.tracker.End(fingerprint, server, outcome, now) })
}

// EndTrial takes the outcome of a trial.
func (t *Crashes) EndTrial(fingerprint uint64, server core.ServerID, outcome crash.Outcome, now time.Time) {
	t.change(func() { t.tracker.EndTrial(fingerprint, server, outcome, now) })
}

// Passed ends a trial whose trial time is over; End follows the run's end.
func (t *Crashes) Passed(fingerprint uint64, now time.Time) {
	t.change(func() { t.tracker.Passed(fingerprint, now) })
}

// Drop forgets a held request whose deadline has passed. It returns false when
// the request was resumed before.
func (t *Crashes) Drop(held *Held) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, other := range t.held {
		if other == held {
			t.held = append(t.held[:i], t.held[i+1:]...)
			t.tracker.Withdraw(held.Fingerprint)
			return true
		}
	}
	return false
}

// Holds reports whether a request waits for a verdict.
func (t *Crashes) Holds() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held) > 0
}

// Propose asks for a trial of each held request on a server that pick returns;
// pick must take no lock. It returns whether the news must be sent at once.
func (t *Crashes) Propose(pick func(*Held) core.ServerID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	asked := false
	for _, held := range t.held {
		server := pick(held)
		if server != "" && t.tracker.Propose(held.Fingerprint, server, now) {
			asked = true
		}
	}
	return asked
}

// Start resumes the held requests whose trials every live process allows.
func (t *Crashes) Start(live []core.VMID) {
	for _, held := range t.start(live) {
		held.resume(held.trial)
	}
}

func (t *Crashes) start(live []core.VMID) []*Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	var started []*Held
	kept := t.held[:0]
	for _, held := range t.held {
		server, ok := t.tracker.Start(held.Fingerprint, live)
		if !ok {
			kept = append(kept, held)
			continue
		}
		held.trial = server
		started = append(started, held)
	}
	clear(t.held[len(kept):])
	t.held = kept
	return started
}

// Heard takes a peer's news and returns the answer to it.
func (t *Crashes) Heard(sender core.VMID, news []core.CrashNews, now time.Time) (answer []core.CrashNews) {
	t.change(func() {
		t.tracker.Heard(sender, news, now)
		answer = t.tracker.Answer(news, now)
	})
	return answer
}

// Tick gives overdue verdicts, forgets what is old and takes back what was
// allowed to entry processes that are gone.
func (t *Crashes) Tick(gone []core.VMID, now time.Time) {
	t.change(func() {
		t.tracker.Tick(now)
		for _, vm := range gone {
			t.tracker.Gone(vm, now)
		}
	})
}

// News returns what a heartbeat carries.
func (t *Crashes) News(now time.Time) []core.CrashNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.News(core.HeartbeatCrashes, now)
}

// CrashesState is the table's part of the state dump.
type CrashesState struct {
	Tracker crash.State `json:"tracker"`
	Held    int         `json:"held"`
}

// State returns the table's counts.
func (t *Crashes) State() CrashesState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return CrashesState{Tracker: t.tracker.State(), Held: len(t.held)}
}

// change applies a change under the lock and then resumes the held requests
// whose verdict it changed.
func (t *Crashes) change(apply func()) {
	for _, held := range t.changed(apply) {
		held.resume("")
	}
}

func (t *Crashes) changed(apply func()) []*Held {
	t.mu.Lock()
	defer t.mu.Unlock()
	apply()
	fingerprints := t.tracker.Changed()
	if len(fingerprints) == 0 {
		return nil
	}
	var resumed []*Held
	kept := t.held[:0]
	for _, held := range t.held {
		if _, found := slices.BinarySearch(fingerprints, held.Fingerprint); found {
			resumed = append(resumed, held)
		} else {
			kept = append(kept, held)
		}
	}
	clear(t.held[len(kept):])
	t.held = kept
	return resumed
}
