package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poisonCase }

const (
	poisonPath = "/page/poison"
	backAfter  = 4 * time.Second // a crashed worker is back
)

// poisonCase has one page that crashes each worker that begins to run it, among other
// pages of the same service. All are asked for with GET.
func poisonCase(folder string, trouble bool) verdict {
	s, err := open(folder, 3)
	if err != nil {
		return verdict{err: err}
	}
	defer s.close()
	s.store.write("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r-page", "Host": host, "Prefix": "/page/", "Kind": "idempotent", "TimeoutMs": 1200, "TargetLatencyMs": 200,
			"Priority": 2, "Service": "desk", "MaxAttempts": 2,
		}},
		"Services": []any{plainService("desk")},
		"Limits":   limits,
	})
	var (
		mu      sync.Mutex
		workers []*worker
		asked   int
		served  int
		running sync.WaitGroup
	)
	var startWorker func(number int) error
	startWorker = func(number int) error {
		mu.Lock()
		defer mu.Unlock()
		w := &worker{site: s, id: fmt.Sprintf("i-desk-%d-%d", number, len(workers)), service: "desk", slots: 6, work: 10 * time.Millisecond}
		w.crashes = func(r *http.Request) bool {
			if !trouble || r.URL.Path != poisonPath {
				return false
			}
			time.AfterFunc(backAfter, func() { _ = startWorker(number) })
			return true
		}
		workers = append(workers, w)
		return w.start()
	}
	for i := range 10 {
		if err := startWorker(i + 1); err != nil {
			return verdict{err: err}
		}
	}
	if err := s.startAll(); err != nil {
		return verdict{err: err}
	}
	d := newDirectory(s, 1)
	stop := time.Now().Add(56 * time.Second)
	running.Add(2)
	go func() {
		defer running.Done()
		for number := 0; time.Now().Before(stop); number++ {
			time.Sleep(6 * time.Millisecond)
			running.Add(1)
			go func() {
				defer running.Done()
				a := s.page(d, fmt.Sprintf("/page/%d", number))
				mu.Lock()
				defer mu.Unlock()
				asked++
				if a.status == http.StatusOK {
					served++
				}
			}()
		}
	}()
	go func() {
		defer running.Done()
		time.Sleep(5 * time.Second)
		for ; time.Now().Before(stop); time.Sleep(2500 * time.Millisecond) {
			s.page(d, poisonPath)
		}
	}()
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("%d of %d other pages served\n", served, asked)
	return checkPoison(s, runsOf(workers))
}

// page asks for a page, and once more at a new address if that failed.
func (s *site) page(d *directory, path string) attempt {
	var a attempt
	deadline := time.Now().Add(1200 * time.Millisecond)
	for range 2 {
		address, err := d.pick()
		left := time.Until(deadline)
		if err != nil || left < 50*time.Millisecond {
			return a
		}
		ctx, cancel := context.WithTimeout(context.Background(), left)
		a, _ = s.send(ctx, address, http.MethodGet, path, newID(), map[string]string{"Deadline-Ms": fmt.Sprint(left.Milliseconds())}, nil, nil)
		cancel()
		if path == poisonPath || a.status != http.StatusOK {
			s.log("client ends", "request", a.id, "path", path, "address", address, "status", a.status, "error", a.err)
		}
		if a.status == http.StatusOK || strings.HasPrefix(fmt.Sprint(a.status), "4") {
			return a
		}
		time.Sleep(100 * time.Millisecond)
	}
	return a
}

// checkPoison applies the rule BUDGET: a request that crashes the workers that run it may
// reach workers in three retries at most that are sent later than ContactMs after it has
// crashed the third. All machines of this case are in touch all the time.
func checkPoison(s *site, runs []run) verdict {
	var reached []time.Time
	for _, current := range runs {
		if current.path == poisonPath && !current.complete {
			reached = append(reached, current.began)
		}
	}
	for i := range reached {
		for j := i; j > 0 && reached[j].Before(reached[j-1]); j-- {
			reached[j], reached[j-1] = reached[j-1], reached[j]
		}
	}
	if len(reached) < 3 {
		s.log("checked", "runs", len(runs), "crashes", len(reached))
		return verdict{}
	}
	late := 0
	for _, began := range reached {
		if began.Sub(reached[2]) > contact {
			late++
		}
	}
	s.log("checked", "runs", len(runs), "crashes", len(reached), "late", late)
	fmt.Printf("the request crashed %d workers, %d of them later than ContactMs after the third\n", len(reached), late)
	if late > 3 {
		return verdict{broken: []string{fmt.Sprintf("the request reached workers %d times later than ContactMs after it had crashed the third", late)}}
	}
	return verdict{}
}
