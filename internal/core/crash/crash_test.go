package crash

import (
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

const (
	harmlessInFlight   = 11 * 16 // 16 requests in flight on each server
	killerAttempts     = 20
	maxServersLost     = 2
	simulationSeeds    = 10
	simulationDuration = 45 * time.Second
)

// harmlessRefused returns the number of refused fingerprints other than the
// killer's.
func (s *simulation) harmlessRefused() int {
	count := len(s.refused)
	if s.refused[killer] {
		count--
	}
	return count
}

func (s *simulation) delayQuantile(quantile float64) time.Duration {
	if len(s.rerunDelays) == 0 {
		return 0
	}
	slices.Sort(s.rerunDelays)
	return s.rerunDelays[int(quantile*float64(len(s.rerunDelays)-1))]
}

func TestKillerIsRefusedAfterTwoServers(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*simulation)
		lost    int  // most servers that the killer may take down
		refuses bool // the killer must be refused at the end
	}{
		{"resent 20 times", func(s *simulation) { s.resendKiller(killerAttempts) }, maxServersLost, true},
		{"late and lost heartbeats", func(s *simulation) {
			s.maxDelay, s.lossRate = 400*time.Millisecond, 0.2
			s.resendKiller(killerAttempts)
		}, maxServersLost, true},
		{"sent through two entry VMs at once", func(s *simulation) {
			s.resendKiller(killerAttempts / 2)
			s.resendKiller(killerAttempts / 2)
		}, maxServersLost, true},
		{"entry VM of the first run dies after sending the update", func(s *simulation) {
			s.resendKiller(killerAttempts)
			s.after(killDelay+500*time.Millisecond, func() {
				for i := range s.trackers {
					if slices.ContainsFunc(s.held[i], func(j *job) bool { return j.isKiller }) {
						s.trackers[i] = nil
						for _, j := range s.held[i] {
							s.submit((i+1)%entryCount, j)
						}
						s.held[i] = nil
						return
					}
				}
			})
		}, maxServersLost, true},
		{"a server dies without a killer", func(s *simulation) { s.after(time.Second, func() { s.killServer(3) }) }, 0, false},
		{"four servers die together", func(s *simulation) {
			for i := range 4 {
				s.after(time.Second+time.Duration(i)*100*time.Millisecond, func() { s.killServer(i) })
			}
		}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var delays []time.Duration
			worst := 0
			for seed := uint64(1); seed <= simulationSeeds; seed++ {
				s := newSimulation(seed)
				s.submitHarmless(harmlessInFlight)
				s.clock.RunUntil(2 * time.Second)
				c.prepare(s)
				s.clock.RunUntil(simulationDuration)
				worst = max(worst, s.serversLost)
				if s.serversLost > c.lost || s.refused[killer] != c.refuses {
					t.Errorf("seed %d: %d servers lost, want at most %d; refused %v", seed, s.serversLost, c.lost, s.refused[killer])
				}
				if n := s.harmlessRefused(); n > 0 {
					t.Errorf("seed %d: %d harmless requests refused", seed, n)
				}
				for i := range s.held {
					if len(s.held[i]) > 0 {
						t.Errorf("seed %d: entry %d still holds %d requests", seed, i, len(s.held[i]))
					}
				}
				delays = append(delays, s.rerunDelays...)
			}
			all := &simulation{rerunDelays: delays}
			t.Logf("at most %d servers lost; harmless requests rerun after p50 %v p99 %v max %v", worst,
				all.delayQuantile(0.5), all.delayQuantile(0.99), all.delayQuantile(1))
		})
	}
}

func TestBaselineWithoutFingerprints(t *testing.T) {
	least := 1 << 30
	for seed := uint64(1); seed <= simulationSeeds; seed++ {
		s := newSimulation(seed)
		s.baseline = true
		s.submitHarmless(harmlessInFlight)
		s.resendKiller(killerAttempts)
		s.clock.RunUntil(3 * time.Minute)
		least = min(least, s.serversLost)
	}
	t.Logf("without fingerprints at least %d servers lost", least)
	if least <= maxServersLost {
		t.Errorf("the baseline lost only %d servers, no more than allowed with fingerprints", least)
	}
}

func TestTrackerVerdicts(t *testing.T) {
	now := time.Unix(0, 0)
	quiet := now.Add(2 * quietPeriod)
	cases := []struct {
		name string
		run  func(*Tracker)
		want Verdict
	}{
		{"unknown", func(*Tracker) {}, Run},
		{"died once", func(k *Tracker) { recordTestDeath(k, "a", now) }, Hold},
		{"refused, not died", func(k *Tracker) { k.BeginRun(killer); k.EndRun(killer, "a", Inconclusive, now) }, Run},
		{"clean finish of another copy", func(k *Tracker) { k.BeginRun(killer); recordTestDeath(k, "a", now); k.EndRun(killer, "b", Clean, now) }, Run},
		{"died under trial", func(k *Tracker) {
			recordTestDeath(k, "a", now)
			k.ProposeTrial(killer, "b", quiet)
			k.StartTrial(killer, nil)
			k.EndTrial(killer, "b", ServerDied, quiet)
		}, Refuse},
		{"trial passed", func(k *Tracker) {
			recordTestDeath(k, "a", now)
			k.ProposeTrial(killer, "b", quiet)
			k.StartTrial(killer, nil)
			k.PassTrial(killer, quiet)
		}, Run},
		{"two copies died on one server", func(k *Tracker) { recordTestDeath(k, "a", now); recordTestDeath(k, "a", now); k.Tick(quiet) }, Hold},
		{"two copies died on two servers", func(k *Tracker) { recordTestDeath(k, "a", now); recordTestDeath(k, "b", now); k.Tick(quiet) }, Refuse},
		{"two requests died on the same two servers", func(k *Tracker) {
			recordTestDeath(k, "a", now)
			recordTestDeath(k, "b", now)
			for _, server := range []core.ServerID{"a", "b"} {
				k.BeginRun(killer + 1)
				k.EndRun(killer+1, server, ServerDied, now)
			}
			k.Tick(quiet)
		}, Hold},
		{"convicted by a peer", func(k *Tracker) {
			k.ApplyUpdates("x", []core.CrashUpdate{{Fingerprint: killer, Round: 1, State: core.CrashConvicted, First: "a", Second: "b"}}, now)
		}, Refuse},
		{"late update after clearing", func(k *Tracker) {
			recordTestDeath(k, "a", now)
			k.BeginRun(killer)
			k.EndRun(killer, "b", Clean, now)
			k.ApplyUpdates("x", []core.CrashUpdate{{Fingerprint: killer, Round: 1, State: core.CrashSuspect, First: "a"}}, now)
		}, Run},
	}
	for _, c := range cases {
		k := New("self")
		c.run(k)
		if got := k.Check(killer, quiet); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

func recordTestDeath(k *Tracker, server core.ServerID, now time.Time) {
	k.BeginRun(killer)
	k.EndRun(killer, server, ServerDied, now)
}

func TestTrialNeedsEveryLiveProcess(t *testing.T) {
	now := time.Unix(0, 0)
	quiet := now.Add(2 * quietPeriod)
	a, b := New("a"), New("b")
	recordTestDeath(a, "s1", now)
	b.BeginRun(killer)
	propose := func() bool {
		a.ProposeTrial(killer, "s2", quiet)
		updates := a.Updates(10, quiet)
		b.ApplyUpdates("a", updates, quiet)
		a.ApplyUpdates("b", b.AnswerUpdates(updates, quiet), quiet)
		_, ok := a.StartTrial(killer, []core.VMID{"a", "b"})
		return ok
	}
	if propose() {
		t.Error("the trial began while a copy ran elsewhere")
	}
	b.EndRun(killer, "s3", Inconclusive, quiet)
	if !propose() {
		t.Error("the trial did not begin although every process had allowed it")
	}
	if b.ProposeTrial(killer, "s3", quiet) {
		t.Error("a second trial was proposed")
	}
	b.ApplyUpdates("x", nil, quiet)
	b.RemovePeer("a", quiet)
	if !b.ProposeTrial(killer, "s3", quiet) {
		t.Error("no trial could be proposed after its owner left")
	}
}

func BenchmarkCheckBeginEnd(b *testing.B) {
	k := New("self")
	now := time.Unix(0, 0)
	b.ReportAllocs()
	fingerprint := uint64(0)
	for b.Loop() {
		fingerprint++
		k.Check(fingerprint, now)
		k.BeginRun(fingerprint)
		k.EndRun(fingerprint, "s", Clean, now)
	}
}
