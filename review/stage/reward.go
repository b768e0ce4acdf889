package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["reward"] = rewardCase }

// rewardCase has a worker that leaves some reward calls unanswered while a trainer ends
// its batch jobs as usual, when nine tenths of the groups are complete.
func rewardCase(folder string, trouble bool) verdict {
	s, err := open(folder, 3)
	if err != nil {
		return verdict{err: err}
	}
	defer s.close()
	s.store.write("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{
			map[string]any{
				"Name": "r-rollout", "Host": host, "Prefix": "/rollout/", "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 400,
				"Priority": 0, "Service": "coach", "MaxAttempts": 3, "ResultDeadlineMs": 7500, "ItemTtlS": 40, "SessionAffinity": true,
			},
			map[string]any{
				"Name": "r-reward", "Host": host, "Prefix": "/reward/", "Kind": "idempotent", "TimeoutMs": 20000, "TargetLatencyMs": 400,
				"Priority": 2, "Service": "desk", "MaxAttempts": 4,
			},
		},
		"Services": []any{engineService("coach", 40), plainService("desk")},
		"Limits":   limits,
	})
	var scorers []*worker
	var hanging atomic.Bool
	for i := range 2 {
		w := &worker{site: s, id: fmt.Sprintf("i-coach-%d", i+1), service: "coach", slots: 40, model: "m0", events: 24, interval: 35 * time.Millisecond}
		if err := w.start(); err != nil {
			return verdict{err: err}
		}
	}
	for i := range 7 {
		w := &worker{site: s, id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", slots: 6, work: 30 * time.Millisecond}
		if i == 0 {
			w.hangs = func(*http.Request) bool { return hanging.Load() && rand.Float64() < 0.12 }
		}
		if err := w.start(); err != nil {
			return verdict{err: err}
		}
		scorers = append(scorers, w)
	}
	if err := s.startAll(); err != nil {
		return verdict{err: err}
	}
	done := make(chan struct{})
	defer close(done)
	if trouble {
		go func() {
			for {
				s.log("trouble begins: i-desk-1 leaves some requests unanswered")
				hanging.Store(true)
				time.Sleep(5 * time.Second)
				s.log("trouble ends")
				hanging.Store(false)
				select {
				case <-done:
					return
				case <-time.After(3 * time.Second):
				}
			}
		}()
	}
	d := newDirectory(s, 1)
	var jobs []*batch
	stop := time.Now().Add(64 * time.Second)
	for step := 0; time.Now().Before(stop); step++ {
		began := time.Now()
		b := newBatch(step, 20, 4, 18)
		if err := s.step(d, b, 7500*time.Millisecond); err != nil {
			return verdict{err: err}
		}
		jobs = append(jobs, b)
		time.Sleep(time.Until(began.Add(4 * time.Second)))
	}
	time.Sleep(8 * time.Second)
	return checkReward(s, jobs, runsOf(scorers))
}

// checkReward applies the rule UNASKED to reward calls: one that reaches a worker later
// than CancelMs after the acknowledgement of its batch job's end must not run. All
// machines of this case are in touch all the time.
func checkReward(s *site, jobs []*batch, runs []run) verdict {
	ended := make(map[string]*batch)
	for _, b := range jobs {
		for _, item := range b.items {
			ended[item.ScorerUri["Id"].(string)] = b
		}
	}
	var broken []string
	for _, current := range runs {
		b := ended[current.id]
		if b == nil || current.began.Sub(b.ended) <= cancelBound {
			continue
		}
		broken = append(broken, fmt.Sprintf("reward call %s began to run at %s %d ms after the end of its batch job %s was acknowledged",
			current.id, current.worker, current.began.Sub(b.ended).Milliseconds(), b.id))
	}
	s.log("checked", "jobs", len(jobs), "reward runs", len(runs), "broken", len(broken))
	if len(runs) < 500 {
		return verdict{err: fmt.Errorf("only %d reward calls ran", len(runs))}
	}
	return verdict{broken: broken}
}
