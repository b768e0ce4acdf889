package invariants

import (
	"testing"
	"time"
)

const usageProcesses = 4

// holder returns the process that holds the lease, any one if there is none.
func (s *usageSystem) holder() *usageProcess {
	for _, p := range s.processes {
		if _, held := p.tracker.Holding(p.now()); held && !p.isDead {
			return p
		}
	}
	return s.processes[0]
}

// other returns a process that does not hold the lease.
func (s *usageSystem) other() *usageProcess {
	for _, p := range s.processes {
		if p != s.holder() {
			return p
		}
	}
	return nil
}

func (s *usageSystem) restart(p *usageProcess, after time.Duration) {
	p.die()
	s.clock.After(after, p.start)
}

// stop stops a process as planned, and starts it again after a time.
func (s *usageSystem) stop(p *usageProcess, after time.Duration) {
	p.tracker.Leave()
	var wait func()
	wait = func() {
		if !p.tracker.HasLeft() || p.writing {
			s.after(p, 20*time.Millisecond, wait)
			return
		}
		p.writeCounts()
		s.after(p, 100*time.Millisecond, func() { s.restart(p, after) })
	}
	wait()
}

// TestUsageReportsUnderFaults guards, fault by fault, against reports that are missing,
// inaccurate or late, and against calls that break the rules on holders.
func TestUsageReportsUnderFaults(t *testing.T) {
	const length = 90 * time.Second
	cases := []struct {
		name  string
		late  int // reports that may be late: those of windows whose time was spent in an outage
		fault func(s *usageSystem)
	}{
		{"none", 0, func(*usageSystem) {}},
		{"holder killed at all moments of a window", 0, func(s *usageSystem) { s.restart(s.holder(), 4*time.Second) }},
		{"holder killed between settling and sending", 0, func(s *usageSystem) {
			var watch func()
			watch = func() {
				if p := s.holder(); p.calling {
					p.die() // its call may still arrive
					s.clock.After(4*time.Second, p.start)
					return
				}
				s.clock.After(time.Millisecond, watch)
			}
			watch()
		}},
		{"holder restarted at once", 0, func(s *usageSystem) { s.restart(s.holder(), 300*time.Millisecond) }},
		{"rolling restart that meets each holder", 0, func(s *usageSystem) {
			for i := range 2 * usageProcesses {
				s.clock.After(time.Duration(i)*6*time.Second, func() { s.stop(s.holder(), 100*time.Millisecond) })
			}
		}},
		// Each leaves the lease only when its last call has ended, so that reports are late.
		{"holders stopped every second", 5, func(s *usageSystem) {
			for i := range 20 {
				s.clock.After(time.Duration(i)*time.Second, func() { s.stop(s.holder(), 100*time.Millisecond) })
			}
		}},
		{"holder paused past its lease", 0, func(s *usageSystem) { s.holder().pause(s.spread(6 * time.Second)) }},
		{"another process paused", 0, func(s *usageSystem) { s.other().pause(s.spread(4 * time.Second)) }},
		{"another process killed", 0, func(s *usageSystem) { s.restart(s.other(), 2*time.Second) }},
		{"a third of the platform's answers lost", 0, func(s *usageSystem) { s.answerLoss = 0.33 }},
		{"three calls in a row lost", 0, func(s *usageSystem) {
			s.callLoss = 1
			s.clock.After(2500*time.Millisecond, func() { s.callLoss = 0 })
		}},
		{"a fifth of the store's answers lost", 0, func(s *usageSystem) {
			s.storeLoss = 0.2
			s.clock.After(20*time.Second, func() { s.storeLoss = 0 })
		}},
		{"store away for 9 s", 2, func(s *usageSystem) {
			s.storeAway = true
			s.clock.After(9*time.Second, func() { s.storeAway = false })
		}},
		{"store slow by 50 times", 0, func(s *usageSystem) {
			s.storeSlow = 50
			s.clock.After(20*time.Second, func() { s.storeSlow = 1 })
		}},
		{"platform slow by 50 times", 0, func(s *usageSystem) { s.platformSlow = 50 }},
		{"platform down for 20 s", 4, func(s *usageSystem) {
			s.platformDown = true
			s.clock.After(20*time.Second, func() { s.platformDown = false })
		}},
		{"clock jump on one of four VMs, and back", 0, func(s *usageSystem) {
			p := s.processes[s.random.IntN(usageProcesses)]
			p.jump = s.spread(8*time.Second) * time.Duration(2*s.random.IntN(2)-1)
			s.clock.After(10*time.Second, func() { p.jump = 0 })
			s.clock.After(5*time.Second, func() { s.restart(p, time.Second) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			windows, lateAll, calls := 0, 0, 0
			for seed := range uint64(25) {
				s := newUsageSystem(seed, usageProcesses)
				// The faults begin at all moments of a window.
				s.clock.After(20*time.Second+time.Duration(seed)*usageWindow/25, func() { c.fault(s) })
				s.clock.RunUntil(length)
				wrong, checked, late := s.check()
				windows, lateAll, calls = windows+checked, lateAll+late, calls+len(s.calls)
				if len(wrong) > 0 || late > c.late {
					t.Errorf("seed %d: %d of %d reports late, want at most %d; %q", seed, late, checked, c.late, wrong)
				}
			}
			t.Logf("%d windows in 25 runs, %d reported late, %d calls", windows, lateAll, calls)
		})
	}
}

// TestKilledProcessLosesOneInterval guards against counts that stay in memory for longer
// than one interval of writing.
func TestKilledProcessLosesOneInterval(t *testing.T) {
	const writeTime = 100 * time.Millisecond
	for seed := range uint64(25) {
		s := newUsageSystem(seed, usageProcesses)
		s.clock.RunUntil(20*time.Second + time.Duration(seed)*usageWindow/25)
		for _, p := range s.processes {
			if unwritten := s.clock.Now() - p.writtenAt; unwritten > time.Second+writeTime {
				t.Errorf("seed %d: %s has not written its counts for %v", seed, p.vm, unwritten)
			}
		}
	}
}

// TestUsageReportsUnderRandomFaults plays interleavings of all faults. Whatever happens, no
// window has two reports, no rule on holders is broken, and once the faults have ended each
// window is reported with what servers began to run, except for what a process had not
// written when it died, was paused, or could not write until the report was due.
func TestUsageReportsUnderRandomFaults(t *testing.T) {
	const (
		seeds  = 150
		faults = 60 * time.Second
		quiet  = 60 * time.Second
	)
	takeovers, windows, lateAll, forced := 0, 0, 0, 0
	for seed := range uint64(seeds) {
		s := newUsageSystem(seed, 3+int(seed%3))
		end := 10*time.Second + faults
		var next func()
		next = func() {
			if s.clock.Now() >= end {
				return
			}
			s.randomFault()
			s.clock.After(s.spread(2*time.Second), next)
		}
		s.clock.After(10*time.Second, next)
		s.clock.RunUntil(end + quiet)
		wrong, checked, late := s.check()
		if len(wrong) > 0 {
			t.Errorf("seed %d: %q", seed, wrong)
		}
		windows, lateAll, forced = windows+checked, lateAll+late, forced+s.forced
		takeovers += int(s.calls[len(s.calls)-1].fence) - 1
	}
	t.Logf("%d windows in %d runs, %d reported late, %d without the counts of some process, %d changes of holder", windows, seeds, lateAll, forced, takeovers)
	if takeovers < 2*seeds {
		t.Errorf("%d changes of holder in %d runs: the faults do not exercise the lease", takeovers, seeds)
	}
}

// randomFault begins one fault, which ends by itself.
func (s *usageSystem) randomFault() {
	p := s.processes[s.random.IntN(len(s.processes))]
	if s.random.IntN(2) == 0 {
		p = s.holder()
	}
	lasts := s.spread(5 * time.Second)
	switch s.random.IntN(9) {
	case 0:
		if !p.isDead {
			s.restart(p, s.spread(2*time.Second))
		}
	case 1:
		if !p.isDead && !p.isPaused() {
			p.pause(lasts)
		}
	case 2:
		s.storeAway = true
		s.clock.After(lasts, func() { s.storeAway = false })
	case 3:
		s.storeSlow = 50
		s.clock.After(lasts, func() { s.storeSlow = 1 })
	case 4:
		s.platformSlow = 50
		s.clock.After(lasts, func() { s.platformSlow = 1 })
	case 5:
		s.platformDown = true
		s.clock.After(lasts, func() { s.platformDown = false })
	case 6:
		s.storeLoss, s.callLoss, s.answerLoss = 0.2, 0.2, 0.2
		s.clock.After(lasts, func() { s.storeLoss, s.callLoss, s.answerLoss = 0, 0, 0 })
	case 7:
		if !p.isDead && !p.isPaused() {
			s.stop(p, s.spread(time.Second))
		}
	case 8:
		jumped := 1
		for _, other := range s.processes {
			if other != p && other.jump != 0 {
				jumped++
			}
		}
		if 2*jumped < len(s.processes) { // of most VMs the time of day is right
			p.jump = s.spread(8*time.Second) * time.Duration(2*s.random.IntN(2)-1)
			s.clock.After(lasts, func() { p.jump = 0 })
		}
	}
}
