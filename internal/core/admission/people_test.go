package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/virtualtime"
)

// The model: one deployment of 64 places over ten entry processes with equal
// shares. People send two requests a second of about a second each. A training
// step sends 256 samples at once, of 15 seconds on average with a heavy tail,
// and the next step follows when it is whole. A person's latency is the wait
// in the queue and the run; the run does not depend on the load.
const (
	peopleRate      = 2 // requests a second
	peoplePlaces    = 64
	peopleEntries   = 10
	peopleTime      = 30 * time.Minute
	stepSamples     = 256
	peopleTarget    = 1.2 // people's p99 against that of an idle system
	trainingLeast   = 0.5 // of the steps without any people, so that training lives
	peopleQueueWait = 10 * time.Minute
)

type peopleJob struct {
	class   core.Class
	entry   int
	arrived time.Duration
	length  time.Duration
	cost    int
}

// gates is what the model admits through.
type gates interface {
	admit(j *peopleJob, now time.Time) bool
	release(j *peopleJob, held time.Duration, now time.Time) []*peopleJob
}

type classGates [peopleEntries]*Gate[*peopleJob]

func newClassGates() *classGates {
	g := &classGates{}
	for i := range g {
		places := peoplePlaces / peopleEntries
		if i < peoplePlaces%peopleEntries {
			places++
		}
		g[i] = NewGate[*peopleJob](Bounds{Concurrent: places, QueueLength: 4096, QueueTimeout: peopleQueueWait})
	}
	return g
}

func (g *classGates) admit(j *peopleJob, now time.Time) bool {
	started, _ := g[j.entry].Admit(&Request[*peopleJob]{
		Caller: "c", Class: j.class, Cost: j.cost, Deadline: now.Add(time.Hour), Payload: j}, now)
	return started
}

func (g *classGates) release(j *peopleJob, held time.Duration, now time.Time) (next []*peopleJob) {
	g[j.entry].Release(j.class, held)
	for job, _, ok := g[j.entry].Dequeue(now); ok; job, _, ok = g[j.entry].Dequeue(now) {
		next = append(next, job)
	}
	return next
}

// sharedQueue is the baseline: one queue for all, first come, first served.
type sharedQueue struct {
	running int
	waiting []*peopleJob
}

func (q *sharedQueue) admit(j *peopleJob, _ time.Time) bool {
	if q.running < peoplePlaces {
		q.running++
		return true
	}
	q.waiting = append(q.waiting, j)
	return false
}

func (q *sharedQueue) release(*peopleJob, time.Duration, time.Time) []*peopleJob {
	if len(q.waiting) == 0 {
		q.running--
		return nil
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	return []*peopleJob{next}
}

type peopleModel struct {
	clock   virtualtime.Clock
	random  *rand.Rand // of people's requests, the same in every run
	samples *rand.Rand // of samples
	gates   gates
	people  float64 // requests a second
	left    int     // samples of the present step
	steps   int
	waits   []time.Duration
	latency []time.Duration
}

func (m *peopleModel) person() {
	m.clock.After(time.Duration(m.random.ExpFloat64()/m.people*float64(time.Second)), m.person)
	length := 300*time.Millisecond + time.Duration(m.random.ExpFloat64()*float64(700*time.Millisecond))
	m.submit(&peopleJob{class: core.ClassPeople, entry: m.random.IntN(peopleEntries), length: length, cost: 200})
}

func (m *peopleModel) step() {
	m.left = stepSamples
	for range stepSamples {
		length := 5*time.Second + time.Duration(m.samples.ExpFloat64()*float64(8*time.Second))
		if m.samples.IntN(20) == 0 {
			length *= 3
		}
		m.submit(&peopleJob{class: core.ClassRollout, entry: m.samples.IntN(peopleEntries), length: length, cost: 1000})
	}
}

func (m *peopleModel) submit(j *peopleJob) {
	j.arrived = m.clock.Now()
	if m.gates.admit(j, m.clock.Time()) {
		m.start(j)
	}
}

func (m *peopleModel) start(j *peopleJob) {
	if wait := m.clock.Now() - j.arrived; j.class == core.ClassPeople {
		m.waits = append(m.waits, wait)
		m.latency = append(m.latency, wait+j.length)
	}
	m.clock.After(j.length, func() {
		for _, next := range m.gates.release(j, j.length, m.clock.Time()) {
			m.start(next)
		}
		if j.class == core.ClassRollout {
			m.sampleDone()
		}
	})
}

func (m *peopleModel) sampleDone() {
	m.left--
	if m.left == 0 {
		m.steps++
		m.step()
	}
}

func runPeople(g gates, people float64, training bool) *peopleModel {
	m := &peopleModel{random: rand.New(rand.NewPCG(5, 5)), samples: rand.New(rand.NewPCG(5, 6)), gates: g, people: people}
	if people > 0 {
		m.person()
	}
	if training {
		m.clock.After(10*time.Second, m.step)
	}
	m.clock.RunUntil(peopleTime)
	return m
}

func quantile(values []time.Duration, q float64) time.Duration {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

func TestPeopleWhileAStepFloodsTheQueue(t *testing.T) {
	idle := runPeople(newClassGates(), peopleRate, false)
	flooded := runPeople(newClassGates(), peopleRate, true)
	shared := runPeople(&sharedQueue{}, peopleRate, true)
	alone := runPeople(&sharedQueue{}, 0, true)
	for _, row := range []struct {
		name  string
		model *peopleModel
	}{{"idle", idle}, {"by class", flooded}, {"one shared queue", shared}} {
		t.Logf("%s: wait p50 %v p99 %v, latency p50 %v p99 %v, %d steps", row.name,
			quantile(row.model.waits, 0.5), quantile(row.model.waits, 0.99),
			quantile(row.model.latency, 0.5), quantile(row.model.latency, 0.99), row.model.steps)
	}
	t.Logf("training alone: %d steps", alone.steps)
	ratio := float64(quantile(flooded.latency, 0.99)) / float64(quantile(idle.latency, 0.99))
	t.Logf("people's p99 is %.3f times that of an idle system", ratio)
	if ratio > peopleTarget {
		t.Errorf("people's p99 is %.3f times that of an idle system, want at most %.1f", ratio, peopleTarget)
	}
	if float64(flooded.steps) < trainingLeast*float64(alone.steps) {
		t.Errorf("%d steps with people, %d without: training does not keep its share", flooded.steps, alone.steps)
	}
}
