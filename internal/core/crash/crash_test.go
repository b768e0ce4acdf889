package crash

import (
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

const (
	worldInnocents = 11 * 16 // 16 requests in flight on each server
	resends        = 20
	mostLost       = 2
	worldSeeds     = 10
	worldTime      = 45 * time.Second
)

// innocentsRefused counts refused fingerprints other than the killer's.
func (w *world) innocentsRefused() int {
	count := len(w.refused)
	if w.refused[killer] {
		count--
	}
	return count
}

func (w *world) delayAt(quantile float64) time.Duration {
	if len(w.delays) == 0 {
		return 0
	}
	slices.Sort(w.delays)
	return w.delays[int(quantile*float64(len(w.delays)-1))]
}

func TestKillingRequest(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*world)
		lost    int  // servers that may be lost to the killer
		refuses bool // the killer must be refused in the end
	}{
		{"resent 20 times", func(w *world) { w.resendKiller(resends) }, mostLost, true},
		{"late and lost heartbeats", func(w *world) {
			w.lag, w.loss = 400*time.Millisecond, 0.2
			w.resendKiller(resends)
		}, mostLost, true},
		{"sent through two entry VMs at once", func(w *world) {
			w.resendKiller(resends / 2)
			w.resendKiller(resends / 2)
		}, mostLost, true},
		{"entry VM of the first run dies after the news", func(w *world) {
			w.resendKiller(resends)
			w.after(killAfter+500*time.Millisecond, func() {
				for i := range w.trackers {
					if slices.ContainsFunc(w.held[i], func(j *job) bool { return j.kills }) {
						w.trackers[i] = nil
						for _, j := range w.held[i] {
							w.submit((i+1)%worldEntries, j)
						}
						w.held[i] = nil
						return
					}
				}
			})
		}, mostLost, true},
		{"a server merely dies", func(w *world) { w.after(time.Second, func() { w.kill(3) }) }, 0, false},
		{"four servers die together", func(w *world) {
			for i := range 4 {
				w.after(time.Second+time.Duration(i)*100*time.Millisecond, func() { w.kill(i) })
			}
		}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var delays []time.Duration
			worst := 0
			for seed := uint64(1); seed <= worldSeeds; seed++ {
				w := newWorld(seed)
				w.innocents(worldInnocents)
				w.clock.RunUntil(2 * time.Second)
				c.prepare(w)
				w.clock.RunUntil(worldTime)
				worst = max(worst, w.dead)
				if w.dead > c.lost || w.refused[killer] != c.refuses {
					t.Errorf("seed %d: %d servers lost, want at most %d; refused %v", seed, w.dead, c.lost, w.refused[killer])
				}
				if n := w.innocentsRefused(); n > 0 {
					t.Errorf("seed %d: %d innocent requests refused", seed, n)
				}
				for i := range w.held {
					if len(w.held[i]) > 0 {
						t.Errorf("seed %d: entry %d still holds %d requests", seed, i, len(w.held[i]))
					}
				}
				delays = append(delays, w.delays...)
			}
			all := &world{delays: delays}
			t.Logf("servers lost at most %d; innocents run again after p50 %v p99 %v max %v", worst,
				all.delayAt(0.5), all.delayAt(0.99), all.delayAt(1))
		})
	}
}

func TestWithoutFingerprints(t *testing.T) {
	least := 1 << 30
	for seed := uint64(1); seed <= worldSeeds; seed++ {
		w := newWorld(seed)
		w.plain = true
		w.innocents(worldInnocents)
		w.resendKiller(resends)
		w.clock.RunUntil(3 * time.Minute)
		least = min(least, w.dead)
	}
	t.Logf("without fingerprints at least %d servers lost", least)
	if least <= mostLost {
		t.Errorf("the baseline lost %d servers: the comparison shows nothing", least)
	}
}

func TestTrackerVerdicts(t *testing.T) {
	now := time.Unix(0, 0)
	calm := now.Add(2 * calmWait)
	cases := []struct {
		name string
		run  func(*Tracker)
		want Verdict
	}{
		{"unknown", func(*Tracker) {}, Run},
		{"died once", func(k *Tracker) { die(k, "a", now) }, Hold},
		{"refused, not died", func(k *Tracker) { k.Begin(killer); k.End(killer, "a", Other, now) }, Run},
		{"clean finish of another copy", func(k *Tracker) { k.Begin(killer); die(k, "a", now); k.End(killer, "b", Clean, now) }, Run},
		{"died under trial", func(k *Tracker) {
			die(k, "a", now)
			k.Propose(killer, "b", calm)
			k.Start(killer, nil)
			k.EndTrial(killer, "b", Died, calm)
		}, Refuse},
		{"trial passed", func(k *Tracker) {
			die(k, "a", now)
			k.Propose(killer, "b", calm)
			k.Start(killer, nil)
			k.Passed(killer, calm)
		}, Run},
		{"two copies died on one server", func(k *Tracker) { die(k, "a", now); die(k, "a", now); k.Tick(calm) }, Hold},
		{"two copies died on two servers", func(k *Tracker) { die(k, "a", now); die(k, "b", now); k.Tick(calm) }, Refuse},
		{"two requests died on the same two servers", func(k *Tracker) {
			die(k, "a", now)
			die(k, "b", now)
			for _, server := range []core.ServerID{"a", "b"} {
				k.Begin(killer + 1)
				k.End(killer+1, server, Died, now)
			}
			k.Tick(calm)
		}, Hold},
		{"convicted elsewhere", func(k *Tracker) {
			k.Heard("x", []core.CrashNews{{Fingerprint: killer, Round: 1, State: core.CrashConvicted, First: "a", Second: "b"}}, now)
		}, Refuse},
		{"old news after clearing", func(k *Tracker) {
			die(k, "a", now)
			k.Begin(killer)
			k.End(killer, "b", Clean, now)
			k.Heard("x", []core.CrashNews{{Fingerprint: killer, Round: 1, State: core.CrashSuspect, First: "a"}}, now)
		}, Run},
	}
	for _, c := range cases {
		k := New("self")
		c.run(k)
		if got := k.Check(killer, calm); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}

func die(k *Tracker, server core.ServerID, now time.Time) {
	k.Begin(killer)
	k.End(killer, server, Died, now)
}

func TestTrialNeedsEveryLiveProcess(t *testing.T) {
	now := time.Unix(0, 0)
	calm := now.Add(2 * calmWait)
	a, b := New("a"), New("b")
	die(a, "s1", now)
	b.Begin(killer)
	ask := func() bool {
		a.Propose(killer, "s2", calm)
		news := a.News(10, calm)
		b.Heard("a", news, calm)
		a.Heard("b", b.Answer(news, calm), calm)
		_, ok := a.Start(killer, []core.VMID{"a", "b"})
		return ok
	}
	if ask() {
		t.Error("the trial began while a copy ran elsewhere")
	}
	b.End(killer, "s3", Other, calm)
	if !ask() {
		t.Error("the trial did not begin although every process allowed it")
	}
	if b.Propose(killer, "s3", calm) {
		t.Error("a second trial was proposed")
	}
	b.Heard("x", nil, calm)
	b.Gone("a", calm)
	if !b.Propose(killer, "s3", calm) {
		t.Error("no trial could be proposed after its owner was gone")
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
		k.Begin(fingerprint)
		k.End(fingerprint, "s", Clean, now)
	}
}
