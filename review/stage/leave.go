package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leave"] = leaveCase }

// leaveCase stops relays as planned, one after the other, while clients stream. Some
// clients keep a directory's answer for three times its time to live.
func leaveCase(folder string, trouble bool) verdict {
	s, err := open(folder, 3)
	if err != nil {
		return verdict{err: err}
	}
	defer s.close()
	s.store.write("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "r-chat", "Host": host, "Prefix": "/chat/", "Kind": "streaming", "TimeoutMs": 12000, "TargetLatencyMs": 400,
			"Priority": 1, "Service": "coach", "MaxAttempts": 2, "SessionAffinity": true,
		}},
		"Services": []any{engineService("coach", 24)},
		"Limits":   limits,
	})
	var workers []*worker
	for i := range 8 {
		w := &worker{site: s, id: fmt.Sprintf("i-coach-%d", i+1), service: "coach", slots: 24, model: "m0", events: 90, interval: 50 * time.Millisecond}
		if err := w.start(); err != nil {
			return verdict{err: err}
		}
		workers = append(workers, w)
	}
	if err := s.startAll(); err != nil {
		return verdict{err: err}
	}
	const clients, pause, length = 24, 600 * time.Millisecond, 40 * time.Second
	var (
		mu       sync.Mutex
		attempts []attempt
		running  sync.WaitGroup
	)
	stop := time.Now().Add(length)
	for i := range clients {
		keep := 1.0
		if i%3 == 0 {
			keep = 3
		}
		d := newDirectory(s, keep)
		running.Add(1)
		go func() {
			defer running.Done()
			time.Sleep(time.Duration(i) * pause / clients)
			for ; time.Now().Before(stop); time.Sleep(pause) {
				running.Add(1)
				go func() {
					defer running.Done()
					a := s.chat(d, 11*time.Second)
					mu.Lock()
					defer mu.Unlock()
					attempts = append(attempts, a)
				}()
			}
		}()
	}
	var stopped []stoppedRelay
	if trouble {
		time.Sleep(6 * time.Second)
		for _, r := range s.relays[:2] {
			began := time.Now()
			r.terminate()
			stopped = append(stopped, stoppedRelay{r, began, time.Now()})
			if err := r.start(); err != nil {
				return verdict{err: err}
			}
			if err := r.awaitReady(10 * time.Second); err != nil {
				return verdict{err: err}
			}
			time.Sleep(6 * time.Second) // more than ContactMs between two planned stops
		}
	}
	running.Wait()
	return checkLeave(s, attempts, runsOf(workers), stopped)
}

type stoppedRelay struct {
	relay       *relay
	term, ended time.Time
}

// chat sends one request for a stream.
func (s *site) chat(d *directory, deadline time.Duration) attempt {
	address, err := d.pick()
	if err != nil {
		return attempt{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	id := newID()
	header := map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Model": "m0", "Token-Count": "40,90", "Prompt-Prefix": id + ":40"}
	a, _ := s.send(ctx, address, http.MethodPost, "/chat/"+id, id, header, []byte("question"), nil)
	s.log("client ends", "request", id, "address", address, "sent", s.at(a.sent), "status", a.status, "events", a.events, "complete", a.complete, "error", a.err)
	if a.status == 0 {
		d.fail(address)
	}
	return a
}

// checkLeave applies the rule LOST around planned work: a SIGTERM of the machine that
// took the request, until one second after the grace. A request counts if it was passed
// on to a worker and its connection ended without a complete answer; not if the worker
// broke off, if the client's deadline or the route's timeout was reached, or if the
// worker was still at work in the last sixth of the grace on a request sent no later than
// three seconds after the SIGTERM.
func checkLeave(s *site, attempts []attempt, runs []run, stopped []stoppedRelay) verdict {
	byID := make(map[string]run, len(runs))
	for _, current := range runs {
		byID[current.id] = current
	}
	var broken []string
	for _, a := range attempts {
		current, passedOn := byID[a.id]
		if a.complete || !passedOn || a.sent.IsZero() || a.ended.Sub(a.sent) > 10900*time.Millisecond {
			continue
		}
		for _, stop := range stopped {
			during := a.ended.After(stop.term) && a.sent.Before(stop.term.Add(grace+time.Second))
			if a.address != stop.relay.front || !during || current.complete {
				continue
			}
			sentAfter := a.sent.Sub(stop.term)
			if sentAfter <= 3*time.Second && current.ended.Sub(stop.term) >= grace*5/6 {
				continue
			}
			broken = append(broken, fmt.Sprintf("request %s, sent %d ms after the SIGTERM of %s, got %d of 90 events; its worker was at work until %d ms after the SIGTERM, when the connection ended: %v",
				a.id, sentAfter.Milliseconds(), stop.relay.name, a.events, current.ended.Sub(stop.term).Milliseconds(), a.err))
		}
	}
	s.log("checked", "attempts", len(attempts), "broken", len(broken))
	if len(attempts) < 100 {
		return verdict{err: fmt.Errorf("only %d requests were sent", len(attempts))}
	}
	return verdict{broken: broken}
}
