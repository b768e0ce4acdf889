package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// newRoutes is the number of routes that the operator adds, one after the other.
const newRoutes = 12

// playNewRoute hands batch jobs in on each route that the operator has just added. One item
// of each job gets a 500 at its first run and would succeed at the next one.
func playNewRoute(rec *record, trouble bool) (broken []string, err error) {
	const itemsPerJob = 2
	prefix := func(n int) string { return fmt.Sprintf("/pule%d/", n) }
	services := []any{plainService("wuno96b"), engineService("huvo11a", 12)}
	routesUpTo := func(count int) []any {
		routes := []any{route("r-lookup", "/lohu930/", "idempotent", "wuno96b", 2)}
		for n := range count {
			routes = append(routes, jobRoute(fmt.Sprintf("r-jobs-%d", n), prefix(n), "huvo11a"))
		}
		return routes
	}
	s, err := startSite(rec, 4, func(s *site) error {
		if trouble {
			s.configure(7, routesUpTo(0), services)
		} else {
			s.configure(7, routesUpTo(newRoutes), services)
		}
		if _, err := s.addWorker("i-plain-1", "wuno96b", false, 6); err != nil {
			return err
		}
		for n := range 3 {
			w, err := s.addWorker(fmt.Sprintf("i-engine-%d", n), "huvo11a", true, 12)
			if err != nil {
				return err
			}
			w.respond = func(id string, count int) int {
				if id[len(id)-1] == 'a' && count == 1 {
					return http.StatusInternalServerError
				}
				return http.StatusOK
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
	var mu sync.Mutex
	accepted := 0
	for n := range newRoutes {
		if trouble {
			s.configure(8+n, routesUpTo(n+1), services)
		}
		// Several trainers begin at once, each at another relay. The one that coordinates gets
		// no batch job itself.
		coordinator := s.leader(nil)
		var trainers sync.WaitGroup
		for at, r := range s.relays {
			if r == coordinator {
				continue
			}
			trainers.Go(func() {
				job := fmt.Sprintf("7c41e09b52d6a%d%02d", at, n)
				var items []any
				for i := range itemsPerJob {
					id := fmt.Sprintf("e5b2907%d%02d%c", at, n, 'a'+i)
					items = append(items, item(id, prefix(n)+"3/"+id, "g0"))
				}
				if s.submit(r, job, prefix(n)+job, n, items, 1) != http.StatusAccepted {
					return
				}
				_, listed := s.collect(job, time.Now().Add(6*time.Second))
				mu.Lock()
				accepted++
				broken = append(broken, s.erroredEarly(job, listed)...)
				mu.Unlock()
				s.end(r, job)
			})
		}
		trainers.Wait()
		time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
	}
	if accepted == 0 {
		return nil, fmt.Errorf("no batch job was accepted")
	}
	return broken, nil
}

// erroredEarly returns the results that are errored although nothing has allowed it yet.
func (s *site) erroredEarly(job string, listed []result) (broken []string) {
	for _, r := range listed {
		failures, impossible := 0, false
		for _, run := range s.runsOf(r.ID) {
			if run.outcome == "500" {
				failures++
			}
			impossible = impossible || run.outcome == "422"
		}
		if r.State == "errored" && failures < 3 && !impossible {
			broken = append(broken, fmt.Sprintf("MIXED: item %s of batch job %s is errored after %d answers of 500, MaxAttempts is 3, within ItemTtlS of 60 s", r.ID, job, failures))
		}
	}
	return broken
}
