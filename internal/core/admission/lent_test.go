package admission

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// lentSite is a site of ten with gates. One process coordinates rollouts that
// want more than the whole limit; people come to all processes.
type lentSite struct {
	*fleet
	gates   []*Gate[*lentJob]
	running []*lentJob
	waits   []time.Duration // of people
	latency []time.Duration // of people
	samples int             // rollouts' runs that ended
	refused int
	people  float64 // requests a second
}

type lentJob struct {
	class         core.Class
	entry         int
	arrived, ends time.Time
	begun         time.Time
	length        time.Duration
}

const (
	lentTicks   = 12000 // 10 minutes
	lentBacklog = 256   // rollouts that always wait or run
)

func runLent(seed uint64, limit int, people float64, rollouts bool) *lentSite {
	s := &lentSite{fleet: newFleet(seed, siteOf(10, limit)), people: people}
	for _, p := range s.processes {
		p.gate = NewGate[*lentJob](Bounds{})
		s.gates = append(s.gates, p.gate)
	}
	s.adapt()
	for number := range lentTicks {
		s.end()
		if rollouts {
			s.rollouts()
		}
		if s.random.Float64() < s.people*fleetTick.Seconds() {
			length := 300*time.Millisecond + time.Duration(s.random.ExpFloat64()*float64(700*time.Millisecond))
			s.submit(&lentJob{class: core.ClassPeople, entry: s.random.IntN(10), length: length})
		}
		s.adapt()
		s.tick(number)
		s.adapt()
	}
	return s
}

func (s *lentSite) rollouts() {
	state := s.gates[0].State()
	for range lentBacklog - state.Waiting[core.ClassRollout] - state.InFlight[core.ClassRollout] {
		length := 5*time.Second + time.Duration(s.random.ExpFloat64()*float64(8*time.Second))
		if s.random.IntN(20) == 0 {
			length *= 3
		}
		s.submit(&lentJob{class: core.ClassRollout, length: length})
	}
}

func (s *lentSite) submit(j *lentJob) {
	j.arrived = s.now
	started, err := s.gates[j.entry].Admit(&Request[*lentJob]{
		Caller: "c", Class: j.class, Cost: 1, Deadline: s.now.Add(time.Hour), Payload: j}, s.now)
	switch {
	case err != nil:
		s.refused++
	case started:
		s.begin(j)
	}
}

func (s *lentSite) begin(j *lentJob) {
	j.begun, j.ends = s.now, s.now.Add(j.length)
	s.running = append(s.running, j)
	if j.class == core.ClassPeople {
		s.waits = append(s.waits, s.now.Sub(j.arrived))
		s.latency = append(s.latency, s.now.Sub(j.arrived)+j.length)
	}
}

func (s *lentSite) end() {
	kept := s.running[:0]
	for _, j := range s.running {
		if j.ends.After(s.now) {
			kept = append(kept, j)
			continue
		}
		s.gates[j.entry].Release(j.class, s.now.Sub(j.begun))
		if j.class == core.ClassRollout {
			s.samples++
		}
	}
	s.running = kept
}

// adapt sets the gates' bounds and starts what may start.
func (s *lentSite) adapt() {
	for i, gate := range s.gates {
		share := s.processes[i].share
		gate.SetBounds(Bounds{Concurrent: share.Usable(s.now) - share.Withheld(gate.Need(), s.now), QueueLength: 1000, QueueTimeout: 10 * time.Minute})
		for job, _, ok := gate.Dequeue(s.now); ok; job, _, ok = gate.Dequeue(s.now) {
			s.begin(job)
		}
	}
}

// TestPeopleBesideLentPlaces tells what a person waits when the other
// processes' places are lent to rollouts. The targets are those of
// TestPeopleWhileAStepFloodsTheQueue.
func TestPeopleBesideLentPlaces(t *testing.T) {
	for _, c := range []struct {
		limit  int
		people float64
	}{{32, 1}, {32, 4}, {96, 4}, {96, 12}} {
		lent := runLent(1, c.limit, c.people, true)
		idle := runLent(1, c.limit, c.people, false)
		alone := runLent(1, c.limit, 0, true)
		t.Logf("limit %d, %v people/s: wait p50 %v p99 %v longest %v (without rollouts p99 %v), %d samples (alone %d), largest sum %d, refused %d",
			c.limit, c.people, quantile(lent.waits, 0.5), quantile(lent.waits, 0.99), quantile(lent.waits, 1),
			quantile(idle.waits, 0.99), lent.samples, alone.samples, lent.highest, lent.refused)
		ratio := float64(quantile(lent.latency, 0.99)) / float64(quantile(idle.latency, 0.99))
		t.Logf("people's p99 latency is %.3f times that without rollouts", ratio)
		if ratio > peopleTarget {
			t.Errorf("limit %d: people's p99 latency is %.3f times that without rollouts, want at most %.1f", c.limit, ratio, peopleTarget)
		}
		if lent.highest > c.limit || lent.refused > 0 {
			t.Errorf("limit %d: %d units usable at once, %d requests refused", c.limit, lent.highest, lent.refused)
		}
		if float64(lent.samples) < trainingLeast*float64(alone.samples) {
			t.Errorf("limit %d: %d samples, %d without people", c.limit, lent.samples, alone.samples)
		}
	}
}
