package tables

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// maxHeldRequests is the largest number of requests that wait for a verdict.
const maxHeldRequests = 4096

// HeldRequest is a request that waits until its fingerprint is cleared or
// refused, or its trial may begin.
type HeldRequest struct {
	Fingerprint uint64
	Service     string // service whose servers may run the trial
	trial       core.ServerID
	resume      func(trial core.ServerID)
}

// Crashes holds the fingerprints of requests that may crash backend servers.
type Crashes struct {
	// mu guards all fields below.
	mu      lockrank.Mutex
	tracker *crash.Tracker
	held    []*HeldRequest
}

// NewCrashes returns a table without suspected fingerprints.
func NewCrashes(self core.VMID) *Crashes {
	return &Crashes{mu: lockrank.New(lockrank.RankCrashes), tracker: crash.New(self)}
}

// Begin checks a fingerprint and, if the request may be dispatched, counts the
// run. On Hold the request waits until resume is called, once and outside the
// lock: with the server of the trial to begin, or with an empty id when Begin
// must be called again. Errors: Overloaded when too many requests are held.
func (t *Crashes) Begin(fingerprint uint64, service string, resume func(trial core.ServerID), now time.Time) (crash.Verdict, *HeldRequest, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := t.tracker.Check(fingerprint, now)
	switch {
	case verdict == crash.Run:
		t.tracker.BeginRun(fingerprint)
		return verdict, nil, nil
	case verdict == crash.Refuse:
		return verdict, nil, nil
	case len(t.held) >= maxHeldRequests:
		return verdict, nil, errkind.New(errkind.Overloaded, "%d requests already wait for the trial of a suspected request, limit %d", len(t.held), maxHeldRequests)
	}
	held := &HeldRequest{Fingerprint: fingerprint, Service: service, resume: resume}
	t.held = append(t.held, held)
	return verdict, held, nil
}

// End records the outcome of a run that Begin counted.
func (t *Crashes) End(fingerprint uint64, server core.ServerID, outcome crash.Outcome, now time.Time) {
	t.applyAndResume(func() { t.tracker.EndRun(fingerprint, server, outcome, now) })
}

// EndTrial records the outcome of a trial.
func (t *Crashes) EndTrial(fingerprint uint64, server core.ServerID, outcome crash.Outcome, now time.Time) {
	t.applyAndResume(func() { t.tracker.EndTrial(fingerprint, server, outcome, now) })
}

// PassTrial ends a trial whose run has outlasted the trial time. End must still be
// called when the run ends.
func (t *Crashes) PassTrial(fingerprint uint64, now time.Time) {
	t.applyAndResume(func() { t.tracker.PassTrial(fingerprint, now) })
}

// RemoveHeld removes a held request whose deadline has passed. It returns false if
// the request has already been resumed.
func (t *Crashes) RemoveHeld(held *HeldRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, other := range t.held {
		if other == held {
			t.held = append(t.held[:i], t.held[i+1:]...)
			t.tracker.WithdrawTrial(held.Fingerprint)
			return true
		}
	}
	return false
}

// HasHeld reports whether any request waits for a verdict.
func (t *Crashes) HasHeld() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held) > 0
}

// ProposeTrials proposes a trial of each held request on the server that pick
// returns. pick must not take any lock. It reports whether a heartbeat must be
// sent at once to announce the proposals.
func (t *Crashes) ProposeTrials(pick func(*HeldRequest) core.ServerID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	proposed := false
	for _, held := range t.held {
		server := pick(held)
		if server != "" && t.tracker.ProposeTrial(held.Fingerprint, server, now) {
			proposed = true
		}
	}
	return proposed
}

// StartTrials resumes the held requests whose trials every live process has allowed.
func (t *Crashes) StartTrials(live []core.VMID) {
	for _, held := range t.removeStartable(live) {
		held.resume(held.trial)
	}
}

// removeStartable removes and returns the held requests whose trials every live
// process has allowed.
func (t *Crashes) removeStartable(live []core.VMID) []*HeldRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var started []*HeldRequest
	remaining := t.held[:0]
	for _, held := range t.held {
		server, ok := t.tracker.StartTrial(held.Fingerprint, live)
		if !ok {
			remaining = append(remaining, held)
			continue
		}
		held.trial = server
		started = append(started, held)
	}
	clear(t.held[len(remaining):])
	t.held = remaining
	return started
}

// ApplyUpdates applies the crash updates of a peer's heartbeat and returns the
// updates for the answer.
func (t *Crashes) ApplyUpdates(sender core.VMID, updates []core.CrashUpdate, now time.Time) (answer []core.CrashUpdate) {
	t.applyAndResume(func() {
		t.tracker.ApplyUpdates(sender, updates, now)
		answer = t.tracker.AnswerUpdates(updates, now)
	})
	return answer
}

// Tick settles overdue verdicts, drops expired fingerprints and revokes the
// trial permissions of entry processes that have failed.
func (t *Crashes) Tick(failed []core.VMID, now time.Time) {
	t.applyAndResume(func() {
		t.tracker.Tick(now)
		for _, vm := range failed {
			t.tracker.RemovePeer(vm, now)
		}
	})
}

// HeartbeatUpdates returns the crash updates for a heartbeat, at most
// core.HeartbeatCrashes.
func (t *Crashes) HeartbeatUpdates(now time.Time) []core.CrashUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Updates(core.HeartbeatCrashes, now)
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

// applyAndResume runs apply under the lock and then, outside the lock, resumes
// the held requests whose verdict changed.
func (t *Crashes) applyAndResume(apply func()) {
	for _, held := range t.applyAndRemove(apply) {
		held.resume("")
	}
}

// applyAndRemove runs apply. It removes and returns the held requests whose
// verdict changed.
func (t *Crashes) applyAndRemove(apply func()) []*HeldRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	apply()
	fingerprints := t.tracker.TakeChanged()
	if len(fingerprints) == 0 {
		return nil
	}
	var resumed []*HeldRequest
	remaining := t.held[:0]
	for _, held := range t.held {
		if _, found := slices.BinarySearch(fingerprints, held.Fingerprint); found {
			resumed = append(resumed, held)
		} else {
			remaining = append(remaining, held)
		}
	}
	clear(t.held[len(remaining):])
	t.held = remaining
	return resumed
}
