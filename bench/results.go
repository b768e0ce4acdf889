package main

import (
	"math"
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Parameters of the outage and of the detection of recovery.
const (
	outageFrom        = 6 * time.Minute
	outageTo          = 7 * time.Minute
	outageShare       = 0.3 // of the engines, rounded up
	recoveryWindow    = 10 * time.Second
	interactiveCutoff = time.Minute // before the end of the run, when some requests are still unanswered
	recoveryTolerance = 0.02        // below the answered share before the outage
)

// results holds the measurements of a run after its warm-up.
type results struct {
	latencies                        []float64 // seconds, of interactive requests for tokens; an unanswered request counts as its timeout
	sent, answered                   [runTime / time.Second]int
	idleTime, busyTime               time.Duration
	staleness                        []float64 // in versions, of each delivered group
	stepIntervals                    []float64 // seconds between consecutive batches of a trainer
	hitTokens, promptTokens          float64
	crossRegionBytes                 float64
	firstAttempts, retries, attempts int // during the outage; attempts include those of moved samples
	lostServers                      int // servers crashed by the crashing request
	groupsOverBound                  int // delivered groups over the staleness bound
}

func (sim *simulation) isMeasuring() bool { return sim.clock.Now() >= warmUp }

func (sim *simulation) countSent(r *request) {
	if r.deployment.Kind == core.KindEngine && sim.clock.Now() < runTime {
		sim.sent[sim.clock.Now()/time.Second]++
	}
}

func (sim *simulation) countEnded(r *request, ok bool) {
	if r.class != core.ClassInteractive || r.deployment.Kind != core.KindEngine || r.crashesServer || r.arrivedAt >= runTime {
		return
	}
	latency := sim.clock.Now() - r.arrivedAt
	if ok {
		sim.answered[r.arrivedAt/time.Second]++
	} else {
		latency = r.deployment.Limits.RequestTimeout
	}
	if sim.isMeasuring() {
		sim.latencies = append(sim.latencies, latency.Seconds())
	}
}

func (sim *simulation) countPrompt(r *request, _ *server, hit int) {
	if sim.isMeasuring() {
		sim.hitTokens += float64(hit)
		sim.promptTokens += float64(len(r.prefix) * tokensPerBlock)
	}
}

func (sim *simulation) countCrossRegion(r *request) {
	if sim.isMeasuring() {
		sim.crossRegionBytes += float64(r.bytes)
	}
}

func (sim *simulation) isInOutage() bool {
	return sim.clock.Now() >= outageFrom && sim.clock.Now() < outageTo
}

func (sim *simulation) countFirstAttempt() {
	if sim.isInOutage() {
		sim.firstAttempts++
	}
}

func (sim *simulation) countAttempt() {
	if sim.isInOutage() {
		sim.attempts++
	}
}

func (sim *simulation) countRetry() {
	if sim.isInOutage() {
		sim.retries++
	}
}

func (sim *simulation) countDeliveredGroup(t *trainer, age uint64) {
	t.counts.delivered += t.deployment.Rollout.GroupSize
	if age > t.deployment.Rollout.StalenessBound {
		sim.groupsOverBound++
	}
	if sim.isMeasuring() {
		sim.staleness = append(sim.staleness, float64(age))
	}
}

func (sim *simulation) recordStepInterval(t *trainer) {
	now := sim.clock.Now()
	if sim.isMeasuring() && t.batchFixedAt > 0 {
		sim.stepIntervals = append(sim.stepIntervals, (now - t.batchFixedAt).Seconds())
		sim.idleTime += now - t.requestedAt
		t.idleTime += now - t.requestedAt
		sim.busyTime += t.requestedAt - t.batchFixedAt
	}
}

func (r *results) idleShare() float64 {
	return r.idleTime.Seconds() / max(1, (r.idleTime+r.busyTime).Seconds())
}
func (r *results) hitRate() float64 { return r.hitTokens / max(1, r.promptTokens) }

// answeredShare returns the share of interactive requests sent in [from, to) that
// were answered.
func (r *results) answeredShare(from, to time.Duration) float64 {
	sent, answered := 0, 0
	for second := from / time.Second; second < to/time.Second; second++ {
		sent += r.sent[second]
		answered += r.answered[second]
	}
	return float64(answered) / float64(max(1, sent))
}

// recoveryTime returns the time from the end of the outage until the answered
// share of interactive requests is within recoveryTolerance of the share before it.
func (r *results) recoveryTime() time.Duration {
	before := r.answeredShare(warmUp, outageFrom-30*time.Second)
	for from := outageTo; from < runTime-time.Minute; from += time.Second {
		if r.answeredShare(from, from+recoveryWindow) >= before-recoveryTolerance {
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

// quantile returns the q-quantile of values, or NaN if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
