package admission

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// lendingModel is a fleet of ten processes with gates. One process coordinates
// rollouts that demand more than the limit; interactive requests arrive at all
// processes.
type lendingModel struct {
	*fleet
	gates                []*Gate[*lendingJob]
	running              []*lendingJob
	interactiveWaits     []time.Duration
	interactiveLatencies []time.Duration
	finishedRollouts     int // rollouts that ended
	refused              int
	interactivePerSecond float64
}

type lendingJob struct {
	class             core.Class
	entry             int
	arrivedAt, endsAt time.Time
	startedAt         time.Time
	length            time.Duration
}

const (
	lendingTicks   = 12000 // 10 minutes
	rolloutBacklog = 256   // rollouts that wait or run at all times
)

func runLendingModel(seed uint64, limit int, interactivePerSecond float64, rollouts bool) *lendingModel {
	s := &lendingModel{fleet: newFleet(seed, gossipFleetOptions(10, limit)), interactivePerSecond: interactivePerSecond}
	for _, p := range s.processes {
		p.gate = NewGate[*lendingJob](Bounds{})
		s.gates = append(s.gates, p.gate)
	}
	s.updateGates()
	for number := range lendingTicks {
		s.finishJobs()
		if rollouts {
			s.submitRollouts()
		}
		if s.random.Float64() < s.interactivePerSecond*fleetTick.Seconds() {
			length := 300*time.Millisecond + time.Duration(s.random.ExpFloat64()*float64(700*time.Millisecond))
			s.submit(&lendingJob{class: core.ClassInteractive, entry: s.random.IntN(10), length: length})
		}
		s.updateGates()
		s.tick(number)
		s.updateGates()
	}
	return s
}

func (s *lendingModel) submitRollouts() {
	state := s.gates[0].State()
	for range rolloutBacklog - state.Waiting[core.ClassRollout] - state.InFlight[core.ClassRollout] {
		length := 5*time.Second + time.Duration(s.random.ExpFloat64()*float64(8*time.Second))
		if s.random.IntN(20) == 0 {
			length *= 3
		}
		s.submit(&lendingJob{class: core.ClassRollout, length: length})
	}
}

func (s *lendingModel) submit(j *lendingJob) {
	j.arrivedAt = s.now
	started, err := s.gates[j.entry].Admit(&Request[*lendingJob]{
		Caller: "c", Class: j.class, Cost: 1, Deadline: s.now.Add(time.Hour), Payload: j}, s.now)
	switch {
	case err != nil:
		s.refused++
	case started:
		s.start(j)
	}
}

func (s *lendingModel) start(j *lendingJob) {
	j.startedAt, j.endsAt = s.now, s.now.Add(j.length)
	s.running = append(s.running, j)
	if j.class == core.ClassInteractive {
		s.interactiveWaits = append(s.interactiveWaits, s.now.Sub(j.arrivedAt))
		s.interactiveLatencies = append(s.interactiveLatencies, s.now.Sub(j.arrivedAt)+j.length)
	}
}

func (s *lendingModel) finishJobs() {
	unfinished := s.running[:0]
	for _, j := range s.running {
		if j.endsAt.After(s.now) {
			unfinished = append(unfinished, j)
			continue
		}
		s.gates[j.entry].Release(j.class, s.now.Sub(j.startedAt))
		if j.class == core.ClassRollout {
			s.finishedRollouts++
		}
	}
	s.running = unfinished
}

// updateGates sets the gates' bounds and starts the waiting requests for which
// slots are free.
func (s *lendingModel) updateGates() {
	for i, gate := range s.gates {
		share := s.processes[i].share
		gate.SetBounds(Bounds{Concurrent: share.UsableUnits(s.now) - share.WithheldFromRollouts(gate.Need(), s.now), QueueLength: 1000, QueueTimeout: 10 * time.Minute})
		for job, _, ok := gate.Dequeue(s.now); ok; job, _, ok = gate.Dequeue(s.now) {
			s.start(job)
		}
	}
}

// TestInteractiveLatencyWithUnitsLentToRollouts measures the wait of
// interactive requests when the other processes' units are lent to rollouts.
// The targets are those of TestInteractiveLatencyDuringTrainingStep.
func TestInteractiveLatencyWithUnitsLentToRollouts(t *testing.T) {
	for _, c := range []struct {
		limit                int
		interactivePerSecond float64
	}{{32, 1}, {32, 4}, {96, 4}, {96, 12}} {
		shared := runLendingModel(1, c.limit, c.interactivePerSecond, true)
		idle := runLendingModel(1, c.limit, c.interactivePerSecond, false)
		rolloutsOnly := runLendingModel(1, c.limit, 0, true)
		t.Logf("limit %d, %v interactive requests/s: wait p50 %v p99 %v longest %v (without rollouts p99 %v), %d rollouts (without interactive requests %d), largest sum %d, refused %d",
			c.limit, c.interactivePerSecond, quantile(shared.interactiveWaits, 0.5), quantile(shared.interactiveWaits, 0.99), quantile(shared.interactiveWaits, 1),
			quantile(idle.interactiveWaits, 0.99), shared.finishedRollouts, rolloutsOnly.finishedRollouts, shared.maxUsable, shared.refused)
		ratio := float64(quantile(shared.interactiveLatencies, 0.99)) / float64(quantile(idle.interactiveLatencies, 0.99))
		t.Logf("the p99 latency of interactive requests is %.3f times that without rollouts", ratio)
		if ratio > maxInteractiveLatencyRatio {
			t.Errorf("limit %d: the p99 latency of interactive requests is %.3f times that without rollouts, want at most %.1f", c.limit, ratio, maxInteractiveLatencyRatio)
		}
		if shared.maxUsable > c.limit || shared.refused > 0 {
			t.Errorf("limit %d: %d units usable at once, %d requests refused", c.limit, shared.maxUsable, shared.refused)
		}
		if float64(shared.finishedRollouts) < minTrainingRatio*float64(rolloutsOnly.finishedRollouts) {
			t.Errorf("limit %d: %d rollouts, %d without interactive requests", c.limit, shared.finishedRollouts, rolloutsOnly.finishedRollouts)
		}
	}
}
