package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The rule LIMIT: a worker that names a limit gets in some 4 s at most one and a half times
// what it allows and 5 requests more, from ContactMs after it first named it.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	contact     = 4 * time.Second // ContactMs
	passedOn    = 500 * time.Millisecond
)

// playLimit has a worker that names a limit of 2.4 requests a second. Each of eleven relays has
// passed on an answer that says so. After a quiet time clients press at all of them.
func playLimit(rec *record, trouble bool) (broken []string, err error) {
	const (
		limit = 2.4
		quiet = 10 * time.Second
		burst = 6 * time.Second
	)
	var limited *worker
	s, err := startSite(rec, 11, func(s *site) error {
		s.configure(7, []any{route("r-lookup", "/lohu930/", "idempotent", "wuno96b", 2)}, []any{plainService("wuno96b")})
		w, err := s.addWorker("i-plain-1", "wuno96b", false, 6)
		if err == nil {
			w.limit = fmt.Sprintf("%.1f", limit)
			limited = w
		}
		return err
	})
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return nil, err
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	sent := 0
	knownAt := make(map[*relay]time.Time) // when the relay had first passed on an answer with the limit
	takenBy := make(map[string]*relay)    // by Attempt-Id
	send := func(r *relay) {
		mu.Lock()
		sent++
		id := fmt.Sprintf("9c41d07be2a3%04x", sent)
		takenBy[id] = r
		mu.Unlock()
		calls.Go(func() {
			status, _ := s.call(http.MethodPost, r.front(), "/lohu930/2f", map[string]string{"Attempt-Id": id, "Deadline-Ms": "1200"}, []byte("body of "+id), 2*time.Second)
			s.logf("request %s at %s: %d", id, r.name, status)
			mu.Lock()
			defer mu.Unlock()
			if _, known := knownAt[r]; !known && status == http.StatusOK {
				knownAt[r] = time.Now()
			}
		})
	}
	firstNamed := time.Now()
	for _, r := range s.relays {
		send(r)
		time.Sleep(1200 * time.Millisecond)
	}
	time.Sleep(quiet)
	if !trouble {
		for n := range 6 {
			send(s.relays[n])
			time.Sleep(time.Second)
		}
	} else {
		rec.logf("clients press at all relays")
		for until := time.Now().Add(burst); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
			for _, r := range s.relays {
				send(r)
			}
		}
	}
	calls.Wait()
	var arrivals []time.Time
	for id, r := range takenBy {
		for _, run := range s.runsOf(id) {
			if at, known := knownAt[r]; run.worker == limited && known && run.began.Sub(at) >= passedOn && run.began.Sub(firstNamed) >= contact {
				arrivals = append(arrivals, run.began)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	most := 0
	for i, first := range arrivals {
		end, _ := slices.BinarySearchFunc(arrivals, first.Add(limitWindow), time.Time.Compare)
		most = max(most, end-i)
	}
	allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra
	rec.logf("the worker got %d requests in 4 s at most, %.0f are allowed; %d relays had passed its limit on", most, allowed, len(knownAt))
	if len(knownAt) < len(s.relays) {
		return nil, fmt.Errorf("only %d relays have passed the limit on", len(knownAt))
	}
	if float64(most) > allowed {
		broken = append(broken, fmt.Sprintf("LIMIT: the worker names a Server-Limit of %.1f and got %d requests in 4 s, %.0f are allowed", limit, most, allowed))
	}
	return broken, nil
}
