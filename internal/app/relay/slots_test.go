package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// discardSink is a caller that reads a stream at once.
type discardSink struct{}

func (discardSink) Head(core.RelayResponse) error { return nil }
func (discardSink) Event(core.Event) error        { return nil }

// openStreams opens streams that last until the context ends.
func openStreams(ctx context.Context, service *Service, count int) {
	for i := range count {
		request := core.EventsRequest{RelayRequest: core.RelayRequest{
			ID: core.RequestID(fmt.Sprint("stream-", i)), Method: "POST", Host: host, Target: "/stream/x", Model: "m",
		}}
		go func() { _, _ = service.ForwardEvents(ctx, request, discardSink{}) }()
	}
}

// outcomes are the results of short requests and how long their callers waited.
type outcomes struct {
	mu                      sync.Mutex
	served, refused, failed int
	longest                 time.Duration
}

// sendShort sends short requests at a rate for a time and waits for their ends.
func sendShort(ctx context.Context, service *Service, target string, perSecond int, duration time.Duration) *outcomes {
	var all outcomes
	var running sync.WaitGroup
	for range int(duration.Seconds() * float64(perSecond)) {
		running.Go(func() {
			sent := time.Now()
			_, err := service.Forward(ctx, core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: target})
			all.mu.Lock()
			defer all.mu.Unlock()
			all.longest = max(all.longest, time.Since(sent))
			switch {
			case err == nil:
				all.served++
			case errkind.AnswerTo(err).Execution == errkind.NotRun:
				all.refused++
			default:
				all.failed++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	running.Wait()
	return &all
}

// newLoadEnvironment returns an environment with room for streams streams and a route
// for short requests that times out after 1.2 s.
func newLoadEnvironment(t *testing.T, streams int) *environment {
	s := newEnvironment(t)
	s.eventInterval, s.eventCount = 100*time.Millisecond, 600
	s.published.Table.Services[engineService] = core.ServiceInfo{Name: engineService, Slots: streams/3 + 1}
	for i := range s.published.Table.Routes {
		switch route := &s.published.Table.Routes[i]; route.Name {
		case "stream":
			route.Timeout = time.Minute
		case "lookup":
			route.Timeout = 1200 * time.Millisecond
		}
	}
	return s
}

// TestStreamsDoNotDelayShortRequests guards against short requests that wait behind the
// streams of another service until long after their route's timeout (review/4).
func TestStreamsDoNotDelayShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLoadEnvironment(t, 320)
		s.exchangeTime = 25 * time.Millisecond
		service := s.waitReady(s.start("vm-1"))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		openStreams(ctx, service, 320)
		time.Sleep(time.Second)
		got := sendShort(ctx, service, "/lookup/x", 20, 5*time.Second)
		if got.served != 100 || got.longest > 200*time.Millisecond {
			t.Errorf("%d of 100 short requests served beside 320 streams, %d refused, %d failed, the longest wait %v", got.served, got.refused, got.failed, got.longest)
		}
		if s.activeStreams() != 320 {
			t.Errorf("%d of 320 streams are open", s.activeStreams())
		}
	})
}

// activeStreams returns the number of streams that engines send.
func (s *environment) activeStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeRuns
}

// newFullEnvironment returns an environment whose plain servers have four slots in all with
// the headroom, and do not answer.
func newFullEnvironment(t *testing.T) *environment {
	s := newLoadEnvironment(t, 3)
	s.exchangeTime = time.Hour
	for i := range s.servers {
		s.servers[i].VM.Slots = 1
	}
	return s
}

// TestWaitForSlotEndsInTime guards against requests that wait for a slot beyond their
// route's timeout: while all servers hang, each must be answered by then.
func TestWaitForSlotEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFullEnvironment(t)
		service := s.waitReady(s.start("vm-1"))
		got := sendShort(t.Context(), service, "/lookup/x", 20, 5*time.Second)
		if got.served > 0 || got.refused == 0 || got.longest > 1300*time.Millisecond {
			t.Errorf("%d served, %d refused, %d failed, the longest wait %v, want refusals and no wait beyond 1.2s", got.served, got.refused, got.failed, got.longest)
		}
		if inFlight, waiting := service.slots.Held(); inFlight+waiting != 0 {
			t.Errorf("%d requests in flight and %d waiting at the end", inFlight, waiting)
		}
	})
}

// TestWaitingRequestsEnd guards against requests that stay in the queue after their callers
// have left, and against a shutdown that waits for them.
func TestWaitingRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFullEnvironment(t)
		for i := range s.published.Table.Routes {
			s.published.Table.Routes[i].Timeout = time.Minute
		}
		service := s.waitReady(s.start("vm-1"))
		forward := func(ctx context.Context, ended chan<- error) {
			_, err := service.Forward(ctx, core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/once/x"})
			ended <- err
		}
		ended := make(chan error, 12)
		ctx, leave := context.WithCancel(t.Context())
		for range 4 {
			go forward(t.Context(), ended)
		}
		time.Sleep(time.Millisecond)
		for range 3 {
			go forward(ctx, ended)
			go forward(t.Context(), ended)
		}
		time.Sleep(time.Second)
		if inFlight, waiting := service.slots.Held(); inFlight != 4 || waiting != 6 {
			t.Errorf("%d in flight and %d waiting, want 4 and 6", inFlight, waiting)
		}
		leave()
		time.Sleep(time.Second)
		if _, waiting := service.slots.Held(); waiting != 3 {
			t.Errorf("%d requests wait after half of the callers have left, want 3", waiting)
		}
		shutdown, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		service.Shutdown(shutdown)
		notRun := 0
		for range 10 {
			if err := <-ended; errkind.AnswerTo(err).Execution == errkind.NotRun {
				notRun++
			}
		}
		if notRun != 3 {
			t.Errorf("%d waiting requests refused as not run by the shutdown, want 3", notRun)
		}
	})
}
