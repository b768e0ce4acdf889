package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["handover"] = handoverCase }

const (
	handoverDeadline = 55 * time.Second // ResultDeadlineMs
	contact          = 4 * time.Second  // ContactMs
	downTime         = 3500 * time.Millisecond
	handoverEngines  = 8
	handoverSlots    = handoverEngines * 16 // of all engines
)

// handoverCase kills the process that coordinates a batch job of long texts once most of
// them are listed. The process starts again after 3.5 s.
func handoverCase(folder string, trouble bool) verdict {
	s, err := open(folder, 3)
	if err != nil {
		return verdict{err: err}
	}
	defer s.close()
	s.store.write("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r-rollout", "Host": host, "Prefix": "/rollout/", "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 400,
			"Priority": 0, "Service": "coach", "MaxAttempts": 3, "ResultDeadlineMs": handoverDeadline.Milliseconds(), "ItemTtlS": 100, "SessionAffinity": true,
		}},
		"Services": []any{engineService("coach", 16)},
		"Limits":   limits,
	})
	var workers []*worker
	for i := range handoverEngines {
		w := &worker{site: s, id: fmt.Sprintf("i-coach-%d", i+1), service: "coach", slots: 16, model: "m0", events: 140, interval: 45 * time.Millisecond, size: 420}
		if err := w.start(); err != nil {
			return verdict{err: err}
		}
		workers = append(workers, w)
	}
	if err := s.startAll(); err != nil {
		return verdict{err: err}
	}
	d := newDirectory(s, 1)
	b := newBatch(0, 144, 4, 144).withoutRewards()
	for i := range b.items {
		b.items[i].Tokens, b.items[i].Headers["Token-Count"] = 255+140, "255,140"
	}
	if err := s.submit(d, b); err != nil {
		return verdict{err: err}
	}
	var steady time.Time // no trouble in the last ContactMs from then on
	for next := 0; b.completeGroups() < b.desired && time.Since(b.submitted) < handoverDeadline; time.Sleep(100 * time.Millisecond) {
		next = s.poll(d, b, next)
		if trouble && steady.IsZero() && len(b.listed) >= 300 {
			coordinator := s.coordinator("work|service/coach")
			if coordinator == nil {
				return verdict{err: errors.New("no coordinator found")}
			}
			coordinator.signal(syscall.SIGKILL)
			time.AfterFunc(downTime, func() { _ = coordinator.start() })
			steady = time.Now().Add(downTime + contact)
		}
	}
	over := time.Now()
	s.log("step over", "listed", len(b.listed), "of", len(b.items))
	fmt.Printf("%d of %d items listed %d ms after the submission\n", len(b.listed), len(b.items), over.Sub(b.submitted).Milliseconds())
	v := checkHandover(s, b, runsOf(workers), steady, over)
	s.end(d, b)
	return v
}

// coordinator returns the relay that says that it holds a lease.
func (s *site) coordinator(lease string) *relay {
	for _, r := range s.relays {
		response, err := http.Get("http://" + r.ip + ":9464/state")
		if err != nil {
			continue
		}
		var state struct {
			Leases []struct {
				Name string `json:"name"`
				Held bool   `json:"held"`
			} `json:"leases"`
		}
		err = json.NewDecoder(response.Body).Decode(&state)
		_ = response.Body.Close()
		for _, l := range state.Leases {
			if err == nil && l.Held && strings.HasSuffix(l.Name, lease) {
				return r
			}
		}
	}
	return nil
}

// checkHandover applies the rule LOST to a step that ran out of time: an item that no
// worker has finished must not have been at no worker for 5 s of steady state.
func checkHandover(s *site, b *batch, runs []run, steady, over time.Time) verdict {
	if b.completeGroups() >= b.desired {
		return verdict{}
	}
	finished, last := make(map[string]bool), make(map[string]time.Time)
	began := 0
	for _, current := range runs {
		if current.complete {
			finished[current.id] = true
		}
		until := current.ended
		if until.IsZero() {
			until = over
		}
		if until.After(last[current.id]) {
			last[current.id] = until
		}
		began++
	}
	busy := 0 // runs at work in the steady state
	for _, current := range runs {
		if current.ended.IsZero() || current.ended.After(steady) {
			busy++
		}
	}
	if busy >= handoverSlots/2 {
		return verdict{err: fmt.Errorf("%d runs in the steady state: the workers were not under half full", busy)}
	}
	var broken []string
	for _, item := range b.items {
		from := last[item.ID]
		if from.Before(steady) {
			from = steady
		}
		if !finished[item.ID] && over.Sub(from) >= 5*time.Second {
			broken = append(broken, fmt.Sprintf("item %s was finished by no worker and was at none in the last %d ms of the step, all of them steady state", item.ID, over.Sub(from).Milliseconds()))
		}
	}
	s.log("checked", "runs", began, "finished", len(finished), "listed", len(b.listed), "broken", len(broken))
	if steady.IsZero() {
		return verdict{err: errors.New("the step ran out of time without trouble")}
	}
	return verdict{broken: broken}
}
