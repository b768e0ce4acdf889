package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lane"] = laneCase }

// laneCase kills all relays but one under streams that may be resumed, and starts them
// again two seconds later. Short requests of another service go on meanwhile.
func laneCase(folder string, trouble bool) verdict {
	s, err := open(folder, 4)
	if err != nil {
		return verdict{err: err}
	}
	defer s.close()
	s.store.write("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{
			map[string]any{
				"Name": "r-chat", "Host": host, "Prefix": "/chat/", "Kind": "streaming", "TimeoutMs": 60000, "TargetLatencyMs": 400,
				"Priority": 1, "Service": "coach", "MaxAttempts": 3, "Resumable": true, "SessionAffinity": true,
			},
			map[string]any{
				"Name": "r-lookup", "Host": host, "Prefix": "/lookup/", "Kind": "idempotent", "TimeoutMs": lookupTimeout.Milliseconds(), "TargetLatencyMs": 200,
				"Priority": 0, "Service": "desk", "MaxAttempts": 2,
			},
		},
		"Services": []any{engineService("coach", 32), plainService("desk")},
		"Limits":   limits,
	})
	for i := range 11 {
		w := &worker{site: s, id: fmt.Sprintf("i-coach-%d", i+1), service: "coach", slots: 32, model: "m0", events: chatEvents, interval: 100 * time.Millisecond}
		if err := w.start(); err != nil {
			return verdict{err: err}
		}
	}
	for i := range 3 {
		w := &worker{site: s, id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", slots: 6, work: 25 * time.Millisecond}
		if err := w.start(); err != nil {
			return verdict{err: err}
		}
	}
	if err := s.startAll(); err != nil {
		return verdict{err: err}
	}
	const users, length = 320, 50 * time.Second
	stop := time.Now().Add(length)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range users {
		go s.user(ctx, newDirectory(s, 1), time.Duration(i)*30*time.Millisecond)
	}
	var (
		mu      sync.Mutex
		lookups []attempt
		running sync.WaitGroup
	)
	d := newDirectory(s, 1)
	running.Add(1)
	go func() {
		defer running.Done()
		for ; time.Now().Before(stop); time.Sleep(50 * time.Millisecond) {
			running.Add(1)
			go func() {
				defer running.Done()
				a := s.lookup(d)
				mu.Lock()
				defer mu.Unlock()
				lookups = append(lookups, a)
			}()
		}
	}()
	survivor := s.relays[0]
	if trouble {
		time.Sleep(16 * time.Second)
		for _, r := range s.relays[1:] {
			r.signal(syscall.SIGKILL)
		}
		time.Sleep(2 * time.Second)
		for _, r := range s.relays[1:] {
			if err := r.start(); err != nil {
				return verdict{err: err}
			}
		}
	}
	running.Wait()
	return checkLane(s, lookups, survivor)
}

const (
	chatEvents     = 250                     // of a whole stream
	lookupTimeout  = 1200 * time.Millisecond // of the route
	lookupDeadline = 3 * time.Second         // of the client
)

// user keeps one stream open after the other. After a broken connection or a silence of
// two seconds it resumes its stream at another relay.
func (s *site) user(ctx context.Context, d *directory, delay time.Duration) {
	time.Sleep(delay)
	for ctx.Err() == nil {
		for last := 0; last < chatEvents && ctx.Err() == nil; {
			address, err := d.pick()
			if err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			id := newID()
			header := map[string]string{"Deadline-Ms": "60000", "Model": "m0", "Token-Count": fmt.Sprintf("40,%d", chatEvents), "Prompt-Prefix": id + ":40"}
			if last > 0 {
				header["Last-Event-Id"] = fmt.Sprint(last)
			}
			attemptCtx, cancel := context.WithCancel(ctx)
			silence := time.AfterFunc(2*time.Second, cancel)
			a, _ := s.send(attemptCtx, address, http.MethodPost, "/chat/"+id, id, header, []byte("question"), func() { silence.Reset(2 * time.Second) })
			silence.Stop()
			cancel()
			last += a.events
			s.log("stream ends", "request", id, "address", address, "status", a.status, "last", last, "complete", a.complete, "error", a.err)
			if a.status == 0 {
				d.fail(address)
			}
			if !a.complete || a.status != http.StatusOK {
				time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
			}
		}
	}
}

// lookup sends one short request and waits for its answer until its deadline.
func (s *site) lookup(d *directory) attempt {
	address, err := d.pick()
	if err != nil {
		return attempt{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupDeadline)
	defer cancel()
	id := newID()
	a, _ := s.send(ctx, address, http.MethodPost, "/lookup/"+id, id, map[string]string{"Deadline-Ms": fmt.Sprint(lookupDeadline.Milliseconds())}, []byte("which donkey"), nil)
	s.log("lookup ends", "request", id, "address", address, "sent", s.at(a.sent), "took", a.ended.Sub(a.sent).Milliseconds(), "status", a.status, "error", a.err)
	if a.status == 0 && a.ended.Sub(a.sent) < time.Second {
		d.fail(address)
	}
	return a
}

// checkLane applies the rule CONFIG at the relay that nothing happened to: of the
// requests that are still unanswered at their route's timeout, no more than half may have
// no answer half a second later.
func checkLane(s *site, lookups []attempt, survivor *relay) verdict {
	const slack = 500 * time.Millisecond
	sent, late, without := 0, 0, 0
	var first string
	for _, a := range lookups {
		if a.address != survivor.front {
			continue
		}
		sent++
		took := a.ended.Sub(a.sent)
		if took < lookupTimeout {
			continue
		}
		late++
		if took > lookupTimeout+slack {
			without++
			if first == "" {
				first = a.id
			}
		}
	}
	s.log("checked", "sent to the survivor", sent, "unanswered at the timeout", late, "without an answer later", without)
	fmt.Printf("%d short requests sent to %s, %d unanswered at the route's timeout, %d of these half a second later\n", sent, survivor.name, late, without)
	if sent < 50 {
		return verdict{err: fmt.Errorf("only %d requests were sent to the survivor", sent)}
	}
	if late >= 8 && 2*without > late {
		return verdict{broken: []string{fmt.Sprintf("%d of %d requests that were unanswered at their route's timeout had no answer half a second later, the first %s", without, late, first)}}
	}
	return verdict{}
}
