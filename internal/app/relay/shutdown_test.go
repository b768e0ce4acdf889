package relay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
)

// shutdownTraffic sends requests to a process throughout its shutdown, as callers do
// that still use its address.
type shutdownTraffic struct {
	service *Service
	began   time.Time // of the shutdown
	ended   sync.WaitGroup

	mu      sync.Mutex
	results []shutdownResult
}

// shutdownResult is what a caller got.
type shutdownResult struct {
	target string
	sent   time.Duration // since the shutdown began
	err    error
}

// send sends a request to a path and waits for its answer.
func (c *shutdownTraffic) send(t *testing.T, target string, deadline time.Duration) {
	sent := time.Now()
	request := core.RelayRequest{
		ID: core.RequestID(fmt.Sprint(target, sent.UnixNano())), Method: "POST", Host: host, Target: target, Model: "m", Deadline: sent.Add(deadline),
	}
	var err error
	if strings.HasPrefix(target, "/stream/") {
		_, err = c.service.ForwardEvents(t.Context(), core.EventsRequest{RelayRequest: request}, &streamRecorder{})
	} else {
		_, err = c.service.Forward(t.Context(), request)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, shutdownResult{target, sent.Sub(c.began), err})
}

// run shuts the process down with a grace period and sends a request to each path at an
// interval.
func (c *shutdownTraffic) run(t *testing.T, grace, interval, deadline time.Duration, targets ...string) {
	const closeReserve = 500 * time.Millisecond // as in the command
	for _, target := range targets {
		c.send(t, target, deadline) // the process knows how long its requests take
	}
	c.service.Reconfigure(time.Second, grace)
	ctx, cancel := context.WithTimeout(t.Context(), grace-closeReserve)
	defer cancel()
	c.results, c.began = nil, time.Now()
	c.ended.Go(func() {
		c.service.Shutdown(ctx)
		c.service.Stop()
	})
	for time.Since(c.began) < grace {
		for _, target := range targets {
			c.ended.Go(func() { c.send(t, target, deadline) })
		}
		time.Sleep(interval)
	}
	c.ended.Wait()
}

// checkShutdown fails the test if a request was accepted and got no answer. It returns
// the number of requests to each path that were answered.
func (c *shutdownTraffic) checkShutdown(t *testing.T) map[string]int {
	served := make(map[string]int)
	for _, result := range c.results {
		switch {
		case result.err == nil:
			served[result.target]++
		case !errkind.Is(result.err, errkind.ShuttingDown) || errkind.AnswerTo(result.err).Execution != errkind.NotRun:
			t.Errorf("request to %s, sent %v after the signal: %v", result.target, result.sent, result.err)
		}
	}
	return served
}

// TestLateStreamIsNotCutByShutdown guards against streams that a leaving process accepts
// late in its grace period and cuts at its end.
func TestLateStreamIsNotCutByShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace, deadline = 8 * time.Second, 11 * time.Second
		s := newEnvironment(t)
		s.eventInterval, s.eventCount, s.exchangeTime = 50*time.Millisecond, 90, 25*time.Millisecond
		for i := range s.published.Table.Routes {
			s.published.Table.Routes[i].Timeout = 12 * time.Second
		}
		traffic := &shutdownTraffic{service: s.waitReady(s.start("vm-1"))}
		traffic.run(t, grace, 100*time.Millisecond, deadline, "/stream/x", "/lookup/x")
		if served := traffic.checkShutdown(t); served["/lookup/x"] == 0 {
			t.Error("no short request was answered during the shutdown")
		}
	})
}

// TestLatePlainRequestIsNotCutByShutdown guards against plain requests, among them ones
// that may run only once, that a leaving process sends to a server late in its grace
// period and cuts at its end.
func TestLatePlainRequestIsNotCutByShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace, deadline = 8 * time.Second, 11 * time.Second
		s := newEnvironment(t)
		s.exchangeTime = 4500 * time.Millisecond
		for i := range s.published.Table.Routes {
			s.published.Table.Routes[i].Timeout, s.published.Table.Routes[i].Attempts = 12*time.Second, 1
		}
		traffic := &shutdownTraffic{service: s.waitReady(s.start("vm-1"))}
		traffic.run(t, grace, 100*time.Millisecond, deadline, "/once/x", "/lookup/x")
		traffic.checkShutdown(t)
	})
}

// TestShortRequestsAreServedDuringShutdown sends requests that surely end in time, by
// their deadline or, early in the grace period, by the recent duration of their route.
func TestShortRequestsAreServedDuringShutdown(t *testing.T) {
	const grace, interval = 8 * time.Second, 100 * time.Millisecond
	cases := []struct {
		name     string
		deadline time.Duration
		until    time.Duration // all are served until then
	}{
		{"short deadline", 1200 * time.Millisecond, 4500 * time.Millisecond},
		{"long deadline", 11 * time.Second, 1500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEnvironment(t)
				s.exchangeTime, s.eventInterval = 25*time.Millisecond, 20*time.Millisecond
				for i := range s.published.Table.Routes {
					s.published.Table.Routes[i].Timeout = 12 * time.Second
				}
				traffic := &shutdownTraffic{service: s.waitReady(s.start("vm-1"))}
				targets := []string{"/once/x", "/lookup/x", "/stream/x"}
				traffic.run(t, grace, interval, c.deadline, targets...)
				served := traffic.checkShutdown(t)
				for _, target := range targets {
					if want := int(c.until / interval); served[target] < want {
						t.Errorf("%d requests to %s answered, want at least the %d sent in the first %v", served[target], target, want, c.until)
					}
				}
			})
		})
	}
}

// TestShutdownAnswersRequestsThatOutlastIt guards against requests whose connection
// closes without an answer because they outlast the grace period.
func TestShutdownAnswersRequestsThatOutlastIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			grace, drain = 10 * time.Second, 8 * time.Second
			submitted    = 6500 * time.Millisecond // accepted, with a timeout after the end of the drain
			answered     = 200 * time.Millisecond  // after the end of the drain
		)
		s := newEnvironment(t)
		s.exchangeTime, s.eventInterval = time.Hour, time.Hour
		for i := range s.published.Table.Routes {
			s.published.Table.Routes[i].Timeout = time.Hour
		}
		service := s.waitReady(s.start("vm-1"))
		service.Reconfigure(time.Second, grace)
		traffic := &shutdownTraffic{service: service, began: time.Now()}
		targets := []string{"/once/x", "/lookup/x", "/stream/x"}
		for _, target := range targets {
			traffic.ended.Go(func() { traffic.send(t, target, time.Hour) })
		}
		s.tables.Inject(faults.Rule{Operation: faults.Commit, Event: faults.Delay, Table: core.TableJob})
		targets = append(targets, "/jobs/x")
		traffic.ended.Go(func() {
			time.Sleep(submitted)
			err := service.Submit(t.Context(), newJob("j", 1))
			traffic.mu.Lock()
			defer traffic.mu.Unlock()
			traffic.results = append(traffic.results, shutdownResult{"/jobs/x", submitted, err})
		})
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), drain)
		defer cancel()
		service.Shutdown(ctx)
		time.Sleep(answered)
		traffic.mu.Lock()
		defer traffic.mu.Unlock()
		if len(traffic.results) != len(targets) {
			t.Errorf("%d of %d requests have an answer %v after the end of the drain", len(traffic.results), len(targets), answered)
		}
		for _, result := range traffic.results {
			if result.err == nil || errkind.AnswerTo(result.err).Execution == errkind.NotRun {
				t.Errorf("request to %s: %v, want an error that does not say that it has not run", result.target, result.err)
			}
		}
		s.tables.ReleaseHeld()
	})
}
