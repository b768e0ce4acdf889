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

// submit brings a request to its entry VM's limits.
func (w *world) submit(r *request) {
	r.arrived = w.clock.Now()
	if !r.kills {
		w.requests++
		r.fingerprint = killer + w.requests
	}
	ready := func(err error) {
		if err != nil {
			w.end(r, false)
			return
		}
		w.enter(r)
	}
	switch d := r.deployment; {
	case w.plan.noAdmission:
		w.enter(r)
	case w.plan.sharedQueue:
		w.queue(d).enter(d, func() { w.enter(r) })
	default:
		started, err := w.entries[r.entry].limits[d.Name].Admit(d, &admission.Request[tables.Ready]{
			Caller: core.CallerName(r.class.String()), Class: r.class, Cost: r.prompt + r.most,
			Deadline: w.clock.Time().Add(d.Limits.RequestTimeout), Payload: ready,
		}, w.clock.Time())
		if started || err != nil {
			ready(err)
		}
	}
}

func (w *world) enter(r *request) {
	r.admitted, r.began = true, w.clock.Now()
	w.firstAttempt()
	w.try(r)
}

// end ends a request and lets others start in its place.
func (w *world) end(r *request, ok bool) {
	if r.over {
		return
	}
	r.over = true
	w.leave(r)
	w.personEnded(r, ok)
	if r.ended != nil {
		r.ended(ok)
	}
}

func (w *world) leave(r *request) {
	if !r.admitted || w.plan.noAdmission {
		return
	}
	if w.plan.sharedQueue {
		w.queue(r.deployment).leave()
		return
	}
	now := w.clock.Now()
	w.entries[r.entry].limits[r.deployment.Name].Release(r.deployment.Name, r.class, now-r.began, w.clock.Time())
}

// try starts an attempt unless the request is suspected to crash servers.
func (w *world) try(r *request) {
	if r.over {
		w.leave(r)
		return
	}
	if w.plan.noFingerprint || r.deployment.Kind == core.KindPlain {
		w.dispatch(r, "")
		return
	}
	verdict, _, err := w.entries[r.entry].crashes.Begin(r.fingerprint, r.deployment.Service, func(trial core.ServerID) {
		if trial == "" {
			w.try(r)
			return
		}
		w.dispatch(r, trial)
	}, w.clock.Time())
	switch {
	case err != nil || verdict == crash.Refuse:
		w.end(r, false)
	case verdict == crash.Run:
		w.dispatch(r, "")
	}
}

// dispatch sends a request to a server that the router chooses, or to that of
// its trial.
func (w *world) dispatch(r *request, trial core.ServerID) {
	e := w.entries[r.entry]
	if r.done > r.held {
		r.attempts, r.exclude = 0, nil
	}
	r.held = r.done
	query, now := r.query(e), w.clock.Time()
	a := &attempt{trial: trial != ""}
	if a.trial {
		a.begun = e.router.beginOn(trial, query, now)
	} else {
		begun, ok := e.router.begin(query, r.key, now)
		if !ok {
			w.judge(r, a, crash.Other)
			w.end(r, false)
			return
		}
		a.begun = begun
	}
	r.attempts++
	w.countAttempt()
	r.attempt = a
	a.server = w.server(a.begun.VM.ID)
	a.stream = &stream{request: r, rate: 1, whole: func() { w.whole(r, a) }, failed: func() { w.failed(r, a, errkind.ServerFailed, crash.Died) }}
	if r.class == core.ClassRollout && w.random.Float64() < w.plan.stragglers {
		a.stream.rate = stragglerRate
	}
	w.clock.After(w.trip(e, a.server, r), func() { w.arrive(r, a) })
}

// trip is the time from an entry VM to a server.
func (w *world) trip(e *entry, s *server, r *request) time.Duration {
	if s.vm.Region != e.region {
		w.crossed(r)
		return regionTrip
	}
	return zoneTrip
}

func (w *world) arrive(r *request, a *attempt) {
	switch {
	case a.ended:
		return
	case !a.server.up:
		w.clock.After(connectTimeout, func() { w.failed(r, a, errkind.ServerRefused, crash.Other) })
		return
	}
	a.server.enqueue(w, a.stream)
	if r.class == core.ClassPeople {
		left := r.deployment.Limits.RequestTimeout - (w.clock.Now() - r.arrived)
		w.clock.After(left, func() { w.failed(r, a, errkind.Timeout, crash.Other) })
	}
	if r.kills {
		w.clock.After(killAfter, func() {
			if !a.ended {
				w.lost++
				a.server.crash(w, restartTime)
			}
		})
	}
	if a.trial {
		w.clock.After(crash.TrialTime(r.ran, false), func() { w.passed(r, a) })
	}
}

func (w *world) passed(r *request, a *attempt) {
	if !a.ended && a.trial {
		a.trial = false
		w.entries[r.entry].crashes.Passed(r.fingerprint, w.clock.Time())
	}
}

// close takes an attempt's end; false when it had ended before.
func (w *world) close(r *request, a *attempt, result routing.Result, outcome crash.Outcome) bool {
	if a.ended {
		return false
	}
	a.ended = true
	r.ran = w.clock.Now() - time.Duration(a.begun.Started.Sub(time.Unix(0, 0)))
	made := a.stream.made()
	if made > 0 && (r.produced == 0 || a.stream.version < r.produced) {
		r.produced = a.stream.version
	}
	r.done += made
	w.entries[r.entry].router.end(a.begun, result, w.clock.Time())
	w.judge(r, a, outcome)
	return true
}

// judge tells the outcome of a run that the crash table counted.
func (w *world) judge(r *request, a *attempt, outcome crash.Outcome) {
	crashes, server, now := w.entries[r.entry].crashes, a.begun.VM.ID, w.clock.Time()
	switch {
	case w.plan.noFingerprint || r.deployment.Kind == core.KindPlain:
	case a.trial:
		crashes.EndTrial(r.fingerprint, server, outcome, now)
	default:
		crashes.End(r.fingerprint, server, outcome, now)
	}
}

func (w *world) whole(r *request, a *attempt) {
	result := routing.Result{Outcome: outlier.Succeeded, Tokens: r.answer, Bytes: r.bytes}
	if w.close(r, a, result, crash.Clean) {
		w.end(r, true)
	}
}

// failed decides what follows an attempt that failed.
func (w *world) failed(r *request, a *attempt, kind errkind.Kind, outcome crash.Outcome) {
	if !w.close(r, a, routing.Result{Outcome: outlier.Failed}, outcome) || r.over {
		return
	}
	if w.plan.noResume {
		r.done, r.produced = 0, 0
	}
	r.exclude = append(r.exclude, a.begun.VM.ID)
	r.waits = 0
	w.repeat(r, kind)
}

// repeat asks the retry decision; while the budget is empty it asks again.
func (w *world) repeat(r *request, kind errkind.Kind) {
	name := r.deployment.Name
	limits := w.entries[r.entry].limits[name]
	failed := retry.Attempt{
		Number: r.attempts, Waits: r.waits, Kind: kind, Idempotent: true,
		Left: r.deployment.Limits.RequestTimeout - (w.clock.Now() - r.arrived),
	}
	if w.plan.plainRetries {
		failed.Kind = errkind.ServerRefused
	} else {
		failed.Overloaded = limits.Overloaded(name, r.class)
	}
	decision := retryPolicy.Decide(failed, w.random)
	if !decision.Again {
		w.end(r, false)
		return
	}
	w.clock.After(decision.Delay, func() {
		cost := retry.Cost(r.done, r.most)
		if w.plan.plainRetries || limits.Withdraw(name, r.class, cost, w.clock.Time()) {
			w.repeatAttempt()
			w.try(r)
			return
		}
		r.waits++
		w.repeat(r, kind)
	})
}

// take ends a running attempt without a verdict on its server.
func (w *world) take(r *request) bool {
	a := r.attempt
	if a == nil || !w.close(r, a, routing.Result{Outcome: outlier.Abandoned}, crash.Other) {
		return false
	}
	a.server.cancel(w, a.stream)
	return true
}

// move runs the rest of a request elsewhere, while many servers are out only
// if the budget for repeats allows it.
func (w *world) move(r *request) {
	e, d := w.entries[r.entry], r.deployment
	done, _ := w.progress(r)
	if !w.plan.plainRetries && e.router.short(d.Kind, d.Service) &&
		!e.limits[d.Name].Withdraw(d.Name, r.class, retry.Cost(done, r.most), w.clock.Time()) {
		return
	}
	if w.take(r) {
		r.exclude = append(r.exclude, r.attempt.begun.VM.ID)
		w.try(r)
	}
}

// abandon ends a request that is no longer wanted.
func (w *world) abandon(r *request) {
	r.ended = nil
	if w.take(r) {
		w.end(r, false)
		return
	}
	r.over = true
}

// progress returns a running request's tokens and the oldest weights in them.
func (w *world) progress(r *request) (int, core.WeightVersion) {
	a := r.attempt
	if a == nil || a.ended {
		return r.done, r.produced
	}
	a.server.advance(w.clock.Now())
	made := a.stream.made()
	if made == 0 || (r.produced != 0 && r.produced < a.stream.version) {
		return r.done + made, r.produced
	}
	return r.done + made, a.stream.version
}

func (w *world) server(id core.ServerID) *server {
	return w.servers[slices.IndexFunc(w.servers, func(s *server) bool { return s.vm.ID == id })]
}
