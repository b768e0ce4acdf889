package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/virtualtime"
)

// The model is one deployment of 64 slots over ten entry processes with equal
// parts. Interactive callers send two requests a second of about one second
// each. A training step submits 256 samples at once, of 15 seconds on average
// with a heavy tail; the next step starts when all have ended. Latency is the
// wait in the queue plus the run, which does not depend on the load.
const (
	interactiveRequestsPerSecond = 2
	modelSlots                   = 64
	modelEntries                 = 10
	modelDuration                = 30 * time.Minute
	samplesPerStep               = 256
	maxInteractiveLatencyRatio   = 1.2 // p99 latency of interactive requests, relative to that of an idle system
	minTrainingRatio             = 0.5 // of the steps made without interactive requests, so that training makes progress
	modelQueueTimeout            = 10 * time.Minute
)

type modelJob struct {
	class   core.Class
	entry   int
	arrived time.Duration
	length  time.Duration
	cost    int
}

// admitter admits and releases the requests of the model.
type admitter interface {
	admit(j *modelJob, now time.Time) bool
	release(j *modelJob, duration time.Duration, now time.Time) []*modelJob
}

type classGates [modelEntries]*Gate[*modelJob]

func newClassGates() *classGates {
	g := &classGates{}
	for i := range g {
		slots := modelSlots / modelEntries
		if i < modelSlots%modelEntries {
			slots++
		}
		g[i] = NewGate[*modelJob](Bounds{Concurrent: slots, QueueLength: 4096, QueueTimeout: modelQueueTimeout})
	}
	return g
}

func (g *classGates) admit(j *modelJob, now time.Time) bool {
	started, _ := g[j.entry].Admit(&Request[*modelJob]{
		Caller: "c", Class: j.class, Cost: j.cost, Deadline: now.Add(time.Hour), Payload: j}, now)
	return started
}

func (g *classGates) release(j *modelJob, duration time.Duration, now time.Time) (next []*modelJob) {
	g[j.entry].Release(j.class, duration)
	for job, _, ok := g[j.entry].Dequeue(now); ok; job, _, ok = g[j.entry].Dequeue(now) {
		next = append(next, job)
	}
	return next
}

// sharedQueue is the baseline: one queue for all requests, first come, first
// served.
type sharedQueue struct {
	running int
	waiting []*modelJob
}

func (q *sharedQueue) admit(j *modelJob, _ time.Time) bool {
	if q.running < modelSlots {
		q.running++
		return true
	}
	q.waiting = append(q.waiting, j)
	return false
}

func (q *sharedQueue) release(*modelJob, time.Duration, time.Time) []*modelJob {
	if len(q.waiting) == 0 {
		q.running--
		return nil
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	return []*modelJob{next}
}

type classModel struct {
	clock                virtualtime.Clock
	interactiveRandom    *rand.Rand // for interactive requests, the same in every run
	sampleRandom         *rand.Rand // for samples
	admitter             admitter
	interactivePerSecond float64
	samplesLeft          int // samples of the current step that have not ended
	steps                int
	interactiveWaits     []time.Duration
	interactiveLatencies []time.Duration
}

func (m *classModel) submitInteractiveRequest() {
	m.clock.After(time.Duration(m.interactiveRandom.ExpFloat64()/m.interactivePerSecond*float64(time.Second)), m.submitInteractiveRequest)
	length := 300*time.Millisecond + time.Duration(m.interactiveRandom.ExpFloat64()*float64(700*time.Millisecond))
	m.submit(&modelJob{class: core.ClassInteractive, entry: m.interactiveRandom.IntN(modelEntries), length: length, cost: 200})
}

func (m *classModel) startTrainingStep() {
	m.samplesLeft = samplesPerStep
	for range samplesPerStep {
		length := 5*time.Second + time.Duration(m.sampleRandom.ExpFloat64()*float64(8*time.Second))
		if m.sampleRandom.IntN(20) == 0 {
			length *= 3
		}
		m.submit(&modelJob{class: core.ClassRollout, entry: m.sampleRandom.IntN(modelEntries), length: length, cost: 1000})
	}
}

func (m *classModel) submit(j *modelJob) {
	j.arrived = m.clock.Now()
	if m.admitter.admit(j, m.clock.Time()) {
		m.start(j)
	}
}

func (m *classModel) start(j *modelJob) {
	if wait := m.clock.Now() - j.arrived; j.class == core.ClassInteractive {
		m.interactiveWaits = append(m.interactiveWaits, wait)
		m.interactiveLatencies = append(m.interactiveLatencies, wait+j.length)
	}
	m.clock.After(j.length, func() {
		for _, next := range m.admitter.release(j, j.length, m.clock.Time()) {
			m.start(next)
		}
		if j.class == core.ClassRollout {
			m.finishSample()
		}
	})
}

func (m *classModel) finishSample() {
	m.samplesLeft--
	if m.samplesLeft == 0 {
		m.steps++
		m.startTrainingStep()
	}
}

func runClassModel(g admitter, interactivePerSecond float64, training bool) *classModel {
	m := &classModel{interactiveRandom: rand.New(rand.NewPCG(5, 5)), sampleRandom: rand.New(rand.NewPCG(5, 6)), admitter: g, interactivePerSecond: interactivePerSecond}
	if interactivePerSecond > 0 {
		m.submitInteractiveRequest()
	}
	if training {
		m.clock.After(10*time.Second, m.startTrainingStep)
	}
	m.clock.RunUntil(modelDuration)
	return m
}

func quantile(values []time.Duration, q float64) time.Duration {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

// TestInteractiveLatencyDuringTrainingStep compares the latency of interactive
// requests, while each training step submits all its samples at once, with that
// of an idle system and of a shared queue.
func TestInteractiveLatencyDuringTrainingStep(t *testing.T) {
	idle := runClassModel(newClassGates(), interactiveRequestsPerSecond, false)
	byClass := runClassModel(newClassGates(), interactiveRequestsPerSecond, true)
	shared := runClassModel(&sharedQueue{}, interactiveRequestsPerSecond, true)
	trainingOnly := runClassModel(&sharedQueue{}, 0, true)
	for _, row := range []struct {
		name  string
		model *classModel
	}{{"idle", idle}, {"by class", byClass}, {"one shared queue", shared}} {
		t.Logf("%s: wait p50 %v p99 %v, latency p50 %v p99 %v, %d steps", row.name,
			quantile(row.model.interactiveWaits, 0.5), quantile(row.model.interactiveWaits, 0.99),
			quantile(row.model.interactiveLatencies, 0.5), quantile(row.model.interactiveLatencies, 0.99), row.model.steps)
	}
	t.Logf("training only: %d steps", trainingOnly.steps)
	ratio := float64(quantile(byClass.interactiveLatencies, 0.99)) / float64(quantile(idle.interactiveLatencies, 0.99))
	t.Logf("p99 latency of interactive requests is %.3f times that of an idle system", ratio)
	if ratio > maxInteractiveLatencyRatio {
		t.Errorf("p99 latency of interactive requests is %.3f times that of an idle system, want at most %.1f", ratio, maxInteractiveLatencyRatio)
	}
	if float64(byClass.steps) < minTrainingRatio*float64(trainingOnly.steps) {
		t.Errorf("%d steps with interactive requests, %d without: training is below its minimum share", byClass.steps, trainingOnly.steps)
	}
}
