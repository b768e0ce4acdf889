package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playMoved moves the route of a batch job in progress to another service of engines. The
// configuration that does so no longer lists the former service.
func playMoved(rec *record, trouble bool) (broken []string, err error) {
	const itemCount, otherCount = 60, 12
	plain, first, second := plainService("wuno96b"), engineService("huvo11a", 4), engineService("kida22c", 4)
	routes := func(service string) []any {
		return []any{
			route("r-lookup", "/lohu930/", "idempotent", "wuno96b", 2),
			jobRoute("r-jobs", "/pule252/", service), jobRoute("r-others", "/pule407/", "kida22c"),
		}
	}
	s, err := startSite(rec, 4, func(s *site) error {
		s.configure(7, routes("huvo11a"), []any{plain, first, second})
		if _, err := s.addWorker("i-plain-1", "wuno96b", false, 6); err != nil {
			return err
		}
		for _, service := range []string{"huvo11a", "kida22c"} {
			for n := range 3 {
				w, err := s.addWorker(fmt.Sprintf("i-%s-%d", service, n), service, true, 4)
				if err != nil {
					return err
				}
				w.events = func(id string) int {
					if strings.HasPrefix(id, "a77d") {
						return 200
					}
					return 40
				}
			}
		}
		return nil
	})
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return nil, err
	}
	// The second service has a batch job of its own, which takes all of its slots for some seconds.
	const other = "1b9f33a07c5de260"
	var others []any
	for i := range otherCount {
		id := fmt.Sprintf("a77d01e3%04x", i)
		others = append(others, item(id, "/pule407/3/"+id, fmt.Sprintf("h%d", i/4)))
	}
	if status := s.submit(s.relays[0], other, "/pule407/"+other, 0, others, otherCount/4); status != http.StatusAccepted {
		return nil, fmt.Errorf("the batch job of the second service was answered with status %d", status)
	}
	const job = "7c41e09b52d6a3f8"
	var ids []string
	var items []any
	for i := range itemCount {
		id := fmt.Sprintf("e5b2907c%04x", i)
		ids, items = append(ids, id), append(items, item(id, "/pule252/3/"+id, fmt.Sprintf("g%d", i/4)))
	}
	if status := s.submit(s.relays[1], job, "/pule252/"+job, 0, items, itemCount/4); status != http.StatusAccepted {
		return nil, fmt.Errorf("the batch job was answered with status %d", status)
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		s.configure(11, routes("kida22c"), []any{plain, second})
	}
	// The former service has left the configuration for longer than ContactMs, ConfigApplyMs and
	// 5 s together when the check ends.
	total, listed := s.collect(job, time.Now().Add(30*time.Second))
	if total == 0 {
		return nil, fmt.Errorf("the batch job could not be read")
	}
	if !s.allReady() {
		return nil, fmt.Errorf("not all relays are ready at the end")
	}
	idle := s.idleItems(ids)
	if len(idle) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: the step's time of 7.5 s is over, %d of %d items are listed, and %d items that no worker has finished have been at no worker for 5 s, such as %s", len(listed), itemCount, len(idle), idle[0]))
	}
	return broken, nil
}
