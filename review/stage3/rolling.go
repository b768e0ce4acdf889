package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// playRolling restarts five of seven relays one after the other, each the one that last wrote
// to the store under a condition, while a batch job is in progress.
func playRolling(rec *record, trouble bool) (broken []string, err error) {
	const (
		itemCount = 200
		restarts  = 5
		gap       = 1300 * time.Millisecond
		itemTTL   = 30 * time.Second
	)
	s, err := startSite(rec, 7, func(s *site) error {
		jobs := jobRoute("r-jobs", "/pule252/", "huvo11a")
		jobs["ItemTtlS"] = itemTTL.Seconds()
		s.configure(7, []any{route("r-lookup", "/lohu930/", "idempotent", "wuno96b", 2), jobs},
			[]any{plainService("wuno96b"), engineService("huvo11a", 4)})
		if _, err := s.addWorker("i-plain-1", "wuno96b", false, 6); err != nil {
			return err
		}
		for n := range 3 {
			w, err := s.addWorker(fmt.Sprintf("i-engine-%d", n), "huvo11a", true, 4)
			if err != nil {
				return err
			}
			w.events = func(string) int { return 40 }
		}
		return nil
	})
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return nil, err
	}
	const job = "7c41e09b52d6a3f8"
	var ids []string
	var items []any
	for i := range itemCount {
		id := fmt.Sprintf("e5b2907c%04x", i)
		ids, items = append(ids, id), append(items, item(id, "/pule252/3/"+id, fmt.Sprintf("g%d", i/4)))
	}
	handedIn := time.Now()
	if status := s.submit(s.relays[1], job, "/pule252/"+job, 0, items, itemCount/4); status != http.StatusAccepted {
		return nil, fmt.Errorf("the batch job was answered with status %d", status)
	}
	time.Sleep(time.Second)
	restarted := make(map[*relay]bool)
	for n := 0; trouble && n < restarts; n++ {
		if n > 0 {
			time.Sleep(gap)
		}
		next := s.leader(restarted)
		if next == nil {
			return nil, fmt.Errorf("no relay writes to the store under a condition")
		}
		restarted[next] = true
		next.terminate()
	}
	last := time.Now()
	total, listed := s.collect(job, handedIn.Add(itemTTL-time.Second))
	if total == 0 {
		return nil, fmt.Errorf("the batch job could not be read")
	}
	if !s.allReady() {
		return nil, fmt.Errorf("not all relays are ready at the end")
	}
	if idle := s.idleItems(ids); len(idle) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %v after it was handed in and %v after the last SIGTERM, %d of the %d items of a batch job are listed, and %d that no worker has finished have been at no worker for 5 s, such as %s",
			time.Since(handedIn).Round(time.Second), time.Since(last).Round(time.Second), len(listed), itemCount, len(idle), idle[0]))
	}
	return broken, nil
}

// idleItems returns the items that no worker has finished and that were at no worker for 5 s.
func (s *site) idleItems(ids []string) (idle []string) {
	for _, id := range ids {
		runs := s.runsOf(id)
		isFinished := slices.ContainsFunc(runs, func(r run) bool { return r.outcome == "200" })
		isAtWorker := slices.ContainsFunc(runs, func(r run) bool { return r.ended.IsZero() || time.Since(r.ended) < 5*time.Second })
		if !isFinished && !isAtWorker {
			idle = append(idle, id)
		}
	}
	return idle
}
