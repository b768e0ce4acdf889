package main

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/core/outlier"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// submit passes a request to the admission control of its entry VM.
func (sim *simulation) submit(r *request) {
	r.arrivedAt = sim.clock.Now()
	if !r.crashesServer {
		sim.requestCount++
		r.fingerprint = crashingFingerprint + sim.requestCount
	}
	ready := func(err error) {
		if err != nil {
			sim.endRequest(r, false)
			return
		}
		sim.startRequest(r)
	}
	switch d := r.deployment; {
	case sim.scenario.noAdmission:
		sim.startRequest(r)
	case sim.scenario.useSharedQueue:
		sim.sharedQueueFor(d).acquire(d, func() { sim.startRequest(r) })
	default:
		started, err := sim.entries[r.entry].limits[d.Name].Admit(d, &admission.Request[tables.AdmissionCallback]{
			Caller: core.CallerName(r.class.String()), Class: r.class, Cost: r.promptTokens + r.maxTokens,
			Deadline: sim.clock.Time().Add(d.Limits.RequestTimeout), Payload: ready,
		}, sim.clock.Time())
		if started || err != nil {
			ready(err)
		}
	}
}

func (sim *simulation) startRequest(r *request) {
	r.isAdmitted, r.admittedAt = true, sim.clock.Now()
	sim.countFirstAttempt()
	sim.startAttempt(r)
}

// endRequest ends a request and releases its place in the limits.
func (sim *simulation) endRequest(r *request, ok bool) {
	if r.isEnded {
		return
	}
	r.isEnded = true
	sim.releaseAdmission(r)
	sim.countEnded(r, ok)
	if r.onEnd != nil {
		r.onEnd(ok)
	}
}

func (sim *simulation) releaseAdmission(r *request) {
	if !r.isAdmitted || sim.scenario.noAdmission {
		return
	}
	if sim.scenario.useSharedQueue {
		sim.sharedQueueFor(r.deployment).release()
		return
	}
	now := sim.clock.Now()
	sim.entries[r.entry].limits[r.deployment.Name].Release(r.deployment.Name, r.class, now-r.admittedAt, sim.clock.Time())
}

// startAttempt starts an attempt unless the crash table refuses or delays the
// request because it may crash servers.
func (sim *simulation) startAttempt(r *request) {
	if r.isEnded {
		sim.releaseAdmission(r)
		return
	}
	if sim.scenario.noCrashDetection || r.deployment.Kind == core.KindPlain {
		sim.dispatch(r, "")
		return
	}
	verdict, _, err := sim.entries[r.entry].crashes.Begin(r.fingerprint, r.deployment.Service, func(trial core.ServerID) {
		if trial == "" {
			sim.startAttempt(r)
			return
		}
		sim.dispatch(r, trial)
	}, sim.clock.Time())
	switch {
	case err != nil || verdict == crash.Refuse:
		sim.endRequest(r, false)
	case verdict == crash.Run:
		sim.dispatch(r, "")
	}
}

// dispatch sends a request to the trial server, or to one chosen by the router if
// trial is empty.
func (sim *simulation) dispatch(r *request, trial core.ServerID) {
	e := sim.entries[r.entry]
	if r.keptTokens > r.keptAtLastAttempt {
		r.attempts, r.exclude = 0, nil
	}
	r.keptAtLastAttempt = r.keptTokens
	query, now := r.query(e), sim.clock.Time()
	a := &attempt{isTrial: trial != ""}
	if a.isTrial {
		a.dispatch = e.router.beginOn(trial, query, now)
	} else {
		begun, ok := e.router.pickAndBegin(query, r.routingKey, now)
		if !ok {
			sim.recordCrashOutcome(r, a, crash.Inconclusive)
			sim.endRequest(r, false)
			return
		}
		a.dispatch = begun
	}
	r.attempts++
	sim.countAttempt()
	r.currentAttempt = a
	a.server = sim.serverByID(a.dispatch.VM.ID)
	a.stream = &stream{request: r, speed: 1, onComplete: func() { sim.completeAttempt(r, a) }, onFailure: func() { sim.failAttempt(r, a, errkind.ServerFailed, crash.ServerDied) }}
	if r.class == core.ClassRollout && sim.policyRandom.Float64() < sim.scenario.stragglerShare {
		a.stream.speed = stragglerSpeed
	}
	sim.clock.After(sim.latencyTo(e, a.server, r), func() { sim.arriveAtServer(r, a) })
}

// latencyTo returns the one-way latency from an entry VM to a server.
func (sim *simulation) latencyTo(e *entry, s *server, r *request) time.Duration {
	if s.vm.Region != e.region {
		sim.countCrossRegion(r)
		return regionLatency
	}
	return zoneLatency
}

func (sim *simulation) arriveAtServer(r *request, a *attempt) {
	switch {
	case a.isEnded:
		return
	case !a.server.isUp:
		sim.clock.After(connectTimeout, func() { sim.failAttempt(r, a, errkind.ServerRefused, crash.Inconclusive) })
		return
	}
	a.server.enqueue(sim, a.stream)
	if r.class == core.ClassInteractive {
		left := r.deployment.Limits.RequestTimeout - (sim.clock.Now() - r.arrivedAt)
		sim.clock.After(left, func() { sim.failAttempt(r, a, errkind.Timeout, crash.Inconclusive) })
	}
	if r.crashesServer {
		sim.clock.After(crashDelay, func() {
			if !a.isEnded {
				sim.lostServers++
				a.server.crash(sim, restartTime)
			}
		})
	}
	if a.isTrial {
		sim.clock.After(crash.TrialDuration(r.lastRunTime, false), func() { sim.passTrial(r, a) })
	}
}

func (sim *simulation) passTrial(r *request, a *attempt) {
	if !a.isEnded && a.isTrial {
		a.isTrial = false
		sim.entries[r.entry].crashes.PassTrial(r.fingerprint, sim.clock.Time())
	}
}

// endAttempt records the end of an attempt. It returns false if the attempt had
// already ended.
func (sim *simulation) endAttempt(r *request, a *attempt, result routing.Result, outcome crash.Outcome) bool {
	if a.isEnded {
		return false
	}
	a.isEnded = true
	r.lastRunTime = sim.clock.Now() - time.Duration(a.dispatch.Started.Sub(time.Unix(0, 0)))
	generated := a.stream.generatedTokens()
	if generated > 0 && (r.oldestProduced == 0 || a.stream.version < r.oldestProduced) {
		r.oldestProduced = a.stream.version
	}
	r.keptTokens += generated
	sim.entries[r.entry].router.endRequest(a.dispatch, result, sim.clock.Time())
	sim.recordCrashOutcome(r, a, outcome)
	return true
}

// recordCrashOutcome reports the outcome of an attempt to the crash table.
func (sim *simulation) recordCrashOutcome(r *request, a *attempt, outcome crash.Outcome) {
	crashes, server, now := sim.entries[r.entry].crashes, a.dispatch.VM.ID, sim.clock.Time()
	switch {
	case sim.scenario.noCrashDetection || r.deployment.Kind == core.KindPlain:
	case a.isTrial:
		crashes.EndTrial(r.fingerprint, server, outcome, now)
	default:
		crashes.End(r.fingerprint, server, outcome, now)
	}
}

func (sim *simulation) completeAttempt(r *request, a *attempt) {
	result := routing.Result{Outcome: outlier.Succeeded, Tokens: r.answerTokens, Bytes: r.bytes}
	if sim.endAttempt(r, a, result, crash.Clean) {
		sim.endRequest(r, true)
	}
}

// failAttempt ends a failed attempt and retries the request if allowed.
func (sim *simulation) failAttempt(r *request, a *attempt, kind errkind.Kind, outcome crash.Outcome) {
	if !sim.endAttempt(r, a, routing.Result{Outcome: outlier.Failed}, outcome) || r.isEnded {
		return
	}
	if sim.scenario.noResume {
		r.keptTokens, r.oldestProduced = 0, 0
	}
	r.exclude = append(r.exclude, a.dispatch.VM.ID)
	r.budgetWaits = 0
	sim.retryRequest(r, kind)
}

// retryRequest starts another attempt if the retry policy allows it. While the
// retry budget is empty it asks the policy again.
func (sim *simulation) retryRequest(r *request, kind errkind.Kind) {
	name := r.deployment.Name
	limits := sim.entries[r.entry].limits[name]
	failed := retry.FailedAttempt{
		Number: r.attempts, EmptyBudgetWaits: r.budgetWaits, Kind: kind, Idempotent: true,
		TimeLeft: r.deployment.Limits.RequestTimeout - (sim.clock.Now() - r.arrivedAt),
	}
	if sim.scenario.fixedRetries {
		failed.Kind = errkind.ServerRefused
	} else {
		failed.Overloaded = limits.Overloaded(name, r.class)
	}
	decision := retryPolicy.Decide(failed, sim.policyRandom)
	if !decision.Retry {
		sim.endRequest(r, false)
		return
	}
	sim.clock.After(decision.Delay, func() {
		cost := retry.Cost(r.keptTokens, r.maxTokens)
		if sim.scenario.fixedRetries || limits.ChargeRetry(name, r.class, cost, sim.clock.Time()) {
			sim.countRetry()
			sim.startAttempt(r)
			return
		}
		r.budgetWaits++
		sim.retryRequest(r, kind)
	})
}

// stopAttempt ends a running attempt without counting it for or against its
// server. It returns false if no attempt is running.
func (sim *simulation) stopAttempt(r *request) bool {
	a := r.currentAttempt
	if a == nil || !sim.endAttempt(r, a, routing.Result{Outcome: outlier.Abandoned}, crash.Inconclusive) {
		return false
	}
	a.server.cancel(sim, a.stream)
	return true
}

// moveRequest continues a request on another server. While the service lacks
// capacity it does so only if the retry budget allows it.
func (sim *simulation) moveRequest(r *request) {
	e, d := sim.entries[r.entry], r.deployment
	done, _ := sim.requestProgress(r)
	if !sim.scenario.fixedRetries && e.router.lacksCapacity(d.Kind, d.Service) &&
		!e.limits[d.Name].ChargeRetry(d.Name, r.class, retry.Cost(done, r.maxTokens), sim.clock.Time()) {
		return
	}
	if sim.stopAttempt(r) {
		r.exclude = append(r.exclude, r.currentAttempt.dispatch.VM.ID)
		sim.startAttempt(r)
	}
}

// abandonRequest ends a request whose result is no longer needed.
func (sim *simulation) abandonRequest(r *request) {
	r.onEnd = nil
	if sim.stopAttempt(r) {
		sim.endRequest(r, false)
		return
	}
	r.isEnded = true
}

// requestProgress returns the number of tokens that a request has so far and the
// oldest weight version that generated any of them.
func (sim *simulation) requestProgress(r *request) (int, core.WeightVersion) {
	a := r.currentAttempt
	if a == nil || a.isEnded {
		return r.keptTokens, r.oldestProduced
	}
	a.server.advance(sim.clock.Now())
	generated := a.stream.generatedTokens()
	if generated == 0 || (r.oldestProduced != 0 && r.oldestProduced < a.stream.version) {
		return r.keptTokens + generated, r.oldestProduced
	}
	return r.keptTokens + generated, a.stream.version
}

func (sim *simulation) serverByID(id core.ServerID) *server {
	return sim.servers[slices.IndexFunc(sim.servers, func(s *server) bool { return s.vm.ID == id })]
}
