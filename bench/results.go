package main

import (
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Times of the outage and how its end is recognised.
const (
	outageFrom      = 6 * time.Minute
	outageTo        = 7 * time.Minute
	outageShare     = 0.3 // of the engines, rounded up
	recoveryWindow  = 10 * time.Second
	peopleEnd       = time.Minute // before the run's end, when some people still wait
	recoveredWithin = 0.02        // of the answered share before the outage
)

// results is what a run measured, after the warm-up.
type results struct {
	latencies                 []float64 // of people's requests for tokens, in seconds; an unanswered one counts as its timeout
	sent, answered            [runTime / time.Second]int
	idle, busy                time.Duration
	staleness                 []float64 // versions, of each delivered group
	intervals                 []float64 // seconds between the batches of a trainer
	hits, prompts             float64   // tokens
	crossedBytes              float64
	firsts, repeats, attempts int // while servers are dead; attempts count moved samples too
	lost                      int // servers lost to the killing request
	overStale                 int // delivered groups over the bound
}

func (w *world) measured() bool { return w.clock.Now() >= warmUp }

func (w *world) peopleSent(r *request) {
	if r.deployment.Kind == core.KindEngine && w.clock.Now() < runTime {
		w.sent[w.clock.Now()/time.Second]++
	}
}

func (w *world) personEnded(r *request, ok bool) {
	if r.class != core.ClassPeople || r.deployment.Kind != core.KindEngine || r.kills || r.arrived >= runTime {
		return
	}
	latency := w.clock.Now() - r.arrived
	if ok {
		w.answered[r.arrived/time.Second]++
	} else {
		latency = r.deployment.Limits.RequestTimeout
	}
	if w.measured() {
		w.latencies = append(w.latencies, latency.Seconds())
	}
}

func (w *world) seePrompt(r *request, _ *server, hit int) {
	if w.measured() {
		w.hits += float64(hit)
		w.prompts += float64(len(r.prefix) * tokensPerBlock)
	}
}

func (w *world) crossed(r *request) {
	if w.measured() {
		w.crossedBytes += float64(r.bytes)
	}
}

func (w *world) inOutage() bool { return w.clock.Now() >= outageFrom && w.clock.Now() < outageTo }

func (w *world) firstAttempt() {
	if w.inOutage() {
		w.firsts++
	}
}

func (w *world) countAttempt() {
	if w.inOutage() {
		w.attempts++
	}
}

func (w *world) repeatAttempt() {
	if w.inOutage() {
		w.repeats++
	}
}

func (w *world) groupDelivered(t *trainer, age uint64) {
	t.counts.delivered += t.deployment.Rollout.GroupSize
	if age > t.deployment.Rollout.StalenessBound {
		w.overStale++
	}
	if w.measured() {
		w.staleness = append(w.staleness, float64(age))
	}
}

func (w *world) stepFixed(t *trainer) {
	now := w.clock.Now()
	if w.measured() && t.fixedAt > 0 {
		w.intervals = append(w.intervals, (now - t.fixedAt).Seconds())
		w.idle += now - t.askedAt
		t.idle += now - t.askedAt
		w.busy += t.askedAt - t.fixedAt
	}
}

func (r *results) idleShare() float64 { return r.idle.Seconds() / max(1, (r.idle+r.busy).Seconds()) }
func (r *results) hitRate() float64   { return r.hits / max(1, r.prompts) }

// answeredShare is that of people's requests sent in [from, to).
func (r *results) answeredShare(from, to time.Duration) float64 {
	sent, answered := 0, 0
	for second := from / time.Second; second < to/time.Second; second++ {
		sent += r.sent[second]
		answered += r.answered[second]
	}
	return float64(answered) / float64(max(1, sent))
}

// recovery is the time from the outage's end until the share of people's
// requests that are answered is what it was before.
func (r *results) recovery() time.Duration {
	before := r.answeredShare(warmUp, outageFrom-30*time.Second)
	for from := outageTo; from < runTime-time.Minute; from += time.Second {
		if r.answeredShare(from, from+recoveryWindow) >= before-recoveredWithin {
			return from - outageTo
		}
	}
	return runTime - outageTo
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// quantile returns NaN without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
