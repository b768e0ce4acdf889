package crash

import (
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// ProposeTrial proposes a trial of a suspect on a server. It returns false while
// no trial may be proposed: another process owns a trial, a copy runs here, the
// server has the trial of another suspect, or a death is too recent. After it
// returned true the update must be sent to every live entry process.
func (t *Tracker) ProposeTrial(fingerprint uint64, server core.ServerID, now time.Time) bool {
	r := t.fingerprints[fingerprint]
	if r == nil || r.state != core.CrashSuspect || r.trialRunning || r.secondServer != "" {
		return false
	}
	if r.trialOwner == t.self && r.trialServer == server {
		return true
	}
	if r.trialOwner != "" && r.trialOwner != t.self {
		return false
	}
	if now.Sub(r.diedAt) < quietPeriod || t.deathsWithin(quietPeriod, now) > 0 || t.inOutage(now) {
		return false
	}
	if t.inFlight[fingerprint] > 0 || t.serverHasOtherTrial(fingerprint, server) {
		return false
	}
	r.trialOwner, r.trialServer = t.self, server
	r.allowedBy = make(map[core.VMID]bool)
	return true
}

// StartTrial begins a proposed trial if every live entry process has allowed it. The
// caller then sends the request to the returned server and calls EndTrial once.
func (t *Tracker) StartTrial(fingerprint uint64, live []core.VMID) (core.ServerID, bool) {
	r := t.fingerprints[fingerprint]
	if r == nil || r.state != core.CrashSuspect || r.trialOwner != t.self || r.trialRunning || r.secondServer != "" {
		return "", false
	}
	for _, vm := range live {
		if vm != t.self && !r.allowedBy[vm] {
			return "", false
		}
	}
	r.trialRunning = true
	return r.trialServer, true
}

// WithdrawTrial cancels a proposed trial that has not begun.
func (t *Tracker) WithdrawTrial(fingerprint uint64) {
	if r := t.fingerprints[fingerprint]; r != nil && r.trialOwner == t.self && !r.trialRunning {
		r.endTrial()
	}
}

// RemovePeer revokes the trials allowed to an entry process that has left. If the
// server of such a trial has died, the fingerprint is convicted.
func (t *Tracker) RemovePeer(vm core.VMID, now time.Time) {
	for fingerprint, r := range t.fingerprints {
		switch {
		case r.trialOwner != vm:
		case r.trialServerDied:
			t.convict(fingerprint, r, r.trialServer, now)
		default:
			r.endTrial()
		}
	}
}

// serverHasOtherTrial reports whether a trial of another suspect is proposed or
// runs on the server.
func (t *Tracker) serverHasOtherTrial(fingerprint uint64, server core.ServerID) bool {
	for other, r := range t.fingerprints {
		if other != fingerprint && r.state == core.CrashSuspect && r.trialServer == server {
			return true
		}
	}
	return false
}

// ApplyUpdates applies updates of a peer.
func (t *Tracker) ApplyUpdates(sender core.VMID, updates []core.CrashUpdate, now time.Time) {
	for i := range updates {
		t.applyUpdate(sender, &updates[i], now)
	}
	t.clearOutageSuspects(now)
}

func (t *Tracker) applyUpdate(sender core.VMID, update *core.CrashUpdate, now time.Time) {
	r := t.fingerprints[update.Fingerprint]
	if r == nil {
		if len(t.fingerprints) >= maxFingerprints {
			return
		}
		r = &fingerprintState{}
		t.fingerprints[update.Fingerprint] = r
	}
	if update.Round > r.round || (update.Round == r.round && update.State > r.state) {
		t.adoptPeerState(r, update, now)
	}
	if r.state != core.CrashSuspect || update.Round != r.round || update.State != core.CrashSuspect {
		return
	}
	t.applySecondDeath(r, update, now)
	t.updateTrialPermission(sender, r, update)
}

// applySecondDeath records that the fingerprint was in flight at two deaths.
func (t *Tracker) applySecondDeath(r *fingerprintState, update *core.CrashUpdate, now time.Time) {
	second := update.Second
	if update.First != r.firstServer {
		second = update.First
	}
	if second == "" || second == r.firstServer || r.secondServer != "" || r.trialRunning || r.inconclusive {
		return
	}
	r.firstServer, r.secondServer = min(r.firstServer, second), max(r.firstServer, second)
	r.diedAt = now.Add(-deathAge(update))
	t.recordServerDeath(second, r.diedAt)
}

func deathAge(update *core.CrashUpdate) time.Duration {
	return time.Duration(update.Age) * time.Millisecond
}

// adoptPeerState replaces the fingerprint's state by a peer's newer one.
func (t *Tracker) adoptPeerState(r *fingerprintState, update *core.CrashUpdate, now time.Time) {
	r.round = update.Round
	died := now.Add(-deathAge(update))
	r.diedAt = died
	switch update.State {
	case core.CrashConvicted:
		r.firstServer = update.First
		t.convict(update.Fingerprint, r, update.Second, now)
	case core.CrashCleared:
		r.state, r.lastUsed = core.CrashCleared, now
		r.endTrial()
		t.changedVerdicts = append(t.changedVerdicts, update.Fingerprint)
	default:
		r.endTrial()
		t.recordServerDeath(update.First, died)
		t.markSuspect(update.Fingerprint, r, update.First, now)
		r.diedAt = died
	}
}

// updateTrialPermission decides which process may run the trial. Of two
// processes that propose one at the same time, the one with the smaller VM name
// may.
func (t *Tracker) updateTrialPermission(sender core.VMID, r *fingerprintState, update *core.CrashUpdate) {
	proposes := update.Trial == sender
	switch {
	case r.trialRunning:
	case r.trialOwner == t.self && update.Trial == t.self && update.TrialServer == r.trialServer && !update.InFlight:
		r.allowedBy[sender] = true
	case r.trialOwner == t.self && proposes && sender < t.self:
		r.endTrial()
		t.allowTrial(sender, r, update)
	case r.trialOwner == sender && !proposes:
		r.endTrial()
	case proposes && (r.trialOwner == "" || r.trialOwner == sender):
		t.allowTrial(sender, r, update)
	}
}

func (t *Tracker) allowTrial(sender core.VMID, r *fingerprintState, update *core.CrashUpdate) {
	r.endTrial()
	if t.inFlight[update.Fingerprint] > 0 || t.serverHasOtherTrial(update.Fingerprint, update.TrialServer) {
		return
	}
	r.trialOwner, r.trialServer = sender, update.TrialServer
}

// Updates returns the updates for a heartbeat, at most limit: suspects and cleared
// fingerprints first, then convicted ones in rotation.
func (t *Tracker) Updates(limit int, now time.Time) []core.CrashUpdate {
	var notConvicted, convicted []uint64
	for fingerprint, r := range t.fingerprints {
		if r.state == core.CrashConvicted {
			convicted = append(convicted, fingerprint)
		} else {
			notConvicted = append(notConvicted, fingerprint)
		}
	}
	slices.Sort(notConvicted)
	slices.Sort(convicted)
	var updates []core.CrashUpdate
	for _, fingerprint := range notConvicted[:min(limit, len(notConvicted))] {
		updates = append(updates, t.updateFor(fingerprint, now))
	}
	start, _ := slices.BinarySearch(convicted, t.lastReported+1)
	for i := range min(limit-len(updates), len(convicted)) {
		t.lastReported = convicted[(start+i)%len(convicted)]
		updates = append(updates, t.updateFor(t.lastReported, now))
	}
	return updates
}

// AnswerUpdates returns the updates for an answer to a peer: this process's state of
// the fingerprints in the peer's updates.
func (t *Tracker) AnswerUpdates(received []core.CrashUpdate, now time.Time) []core.CrashUpdate {
	var updates []core.CrashUpdate
	for i := range received {
		if t.fingerprints[received[i].Fingerprint] != nil {
			updates = append(updates, t.updateFor(received[i].Fingerprint, now))
		}
	}
	return updates
}

func (t *Tracker) updateFor(fingerprint uint64, now time.Time) core.CrashUpdate {
	r := t.fingerprints[fingerprint]
	return core.CrashUpdate{
		Fingerprint: fingerprint, Round: r.round, State: r.state, First: r.firstServer, Second: r.secondServer,
		Age:   uint32(min(now.Sub(r.diedAt).Milliseconds(), math.MaxUint32)),
		Trial: r.trialOwner, TrialServer: r.trialServer, InFlight: t.inFlight[fingerprint] > 0,
	}
}
