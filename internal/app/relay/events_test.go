package relay

import (
	"sync"
	"sync/atomic"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// streamRecorder records what a caller gets of a stream. It implements
// ports.EventSink.
type streamRecorder struct {
	heads  []core.RelayResponse
	events []int
}

func (r *streamRecorder) Head(response core.RelayResponse) error {
	r.heads = append(r.heads, response)
	return nil
}

func (r *streamRecorder) Event(event core.Event) error {
	r.events = append(r.events, event.ID)
	return nil
}

// attempts answers the attempts of one streaming request in turn.
type attempts struct {
	mu      sync.Mutex
	servers []core.ServerID
	answers []func(core.EventsRequest, ports.EventSink) (core.RelayResponse, error)
}

func (a *attempts) serve(server core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
	a.mu.Lock()
	answer := a.answers[len(a.servers)]
	a.servers = append(a.servers, server.ID)
	a.mu.Unlock()
	return answer(request, sink)
}

// sendEvents returns an answer that begins a stream of a content type and sends events
// up to an id, of one weight version. If the id is below the last one of the stream, it
// breaks off then.
func sendEvents(contentType string, version core.WeightVersion, until, last int) func(core.EventsRequest, ports.EventSink) (core.RelayResponse, error) {
	return func(request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
		if err := sink.Head(core.RelayResponse{Status: 200, Header: core.Header{"Content-Type": {contentType}}}); err != nil {
			return core.RelayResponse{}, err
		}
		for id := request.After + 1; id <= until; id++ {
			if err := sink.Event(core.Event{ID: id, Version: version}); err != nil {
				return core.RelayResponse{}, err
			}
		}
		if until < last {
			return core.RelayResponse{}, errkind.New(errkind.ServerFailed, "broken off by the test")
		}
		return core.RelayResponse{}, nil
	}
}

// sendStatus returns an answer without a stream.
func sendStatus(status int) func(core.EventsRequest, ports.EventSink) (core.RelayResponse, error) {
	return func(core.EventsRequest, ports.EventSink) (core.RelayResponse, error) {
		return core.RelayResponse{Status: status, Body: core.NewBody([]byte("error text"))}, nil
	}
}

const (
	eventStreamType = "text/event-stream"
	lastEvent       = 4
)

// TestBrokenStream has streams that break off after two events of four and are
// continued, or not, by another engine. A stream that lacks its rest must end with an
// error, and nothing but events may follow its head.
func TestBrokenStream(t *testing.T) {
	type answer = func(core.EventsRequest, ports.EventSink) (core.RelayResponse, error)
	broken := sendEvents(eventStreamType, 1, 2, lastEvent)
	complete := sendEvents(eventStreamType, 1, lastEvent, lastEvent)
	cases := []struct {
		name          string
		answers       []answer
		singleVersion bool
		wantEvents    int
		wantStatus    int // of a response without a stream
		wantErr       errkind.Kind
	}{
		{"continued", []answer{broken, complete}, false, lastEvent, 0, ""},
		{"server error", []answer{broken, sendStatus(500)}, false, 2, 0, errkind.ServerFailed},
		{"client error", []answer{broken, sendStatus(404)}, false, 2, 0, errkind.ServerFailed},
		{"other content type", []answer{broken, sendEvents("text/html", 1, lastEvent, lastEvent)}, false, 2, 0, errkind.ServerFailed},
		{"other version", []answer{broken, sendEvents(eventStreamType, 2, lastEvent, lastEvent)}, false, lastEvent, 0, ""},
		{"other version, one allowed", []answer{broken, sendEvents(eventStreamType, 2, lastEvent, lastEvent)}, true, 2, 0, errkind.ServerFailed},
		{"server error first", []answer{sendStatus(500), complete}, false, lastEvent, 0, ""},
		{"server errors only", []answer{sendStatus(500), sendStatus(503)}, false, 0, 503, ""},
		{"client error first", []answer{sendStatus(404)}, false, 0, 404, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newEnvironment(t)
			script := &attempts{answers: c.answers}
			s.stream = script.serve
			for i := range s.published.Table.Routes {
				s.published.Table.Routes[i].SingleVersion = c.singleVersion
			}
			service := s.waitReady(s.start("vm-1"))
			recorder := &streamRecorder{}
			response, err := service.ForwardEvents(t.Context(), core.EventsRequest{RelayRequest: core.RelayRequest{
				ID: "r-1", Method: "POST", Host: host, Target: "/stream/x", Model: "m",
			}}, recorder)
			if c.wantErr == "" && err != nil || c.wantErr != "" && !errkind.Is(err, c.wantErr) {
				t.Errorf("error %v, want %q", err, c.wantErr)
			}
			if response.Status != c.wantStatus || len(recorder.events) != c.wantEvents || len(recorder.heads) > 1 {
				t.Errorf("status %d, events %v, %d heads; want status %d and %d events", response.Status, recorder.events, len(recorder.heads), c.wantStatus, c.wantEvents)
			}
			if len(script.servers) == 2 && script.servers[0] == script.servers[1] {
				t.Errorf("both attempts went to %s", script.servers[0])
			}
		})
	}
}

// TestLeavingServerGetsNothingNew lets a plain server announce its shutdown in a
// response while its registration does not say so.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	s := newEnvironment(t)
	var mu sync.Mutex
	var leaving core.ServerID
	var served []core.ServerID
	s.exchange = func(server core.VM, _ core.RelayRequest) (core.RelayResponse, error) {
		mu.Lock()
		defer mu.Unlock()
		if leaving == "" {
			leaving = server.ID
			return core.RelayResponse{ServerNotice: core.ServerNotice{Leaving: true}}, errkind.New(errkind.ServerRefused, "refused by the test")
		}
		served = append(served, server.ID)
		return core.RelayResponse{Status: 200}, nil
	}
	service := s.waitReady(s.start("vm-1"))
	for range 50 {
		if _, err := service.Forward(t.Context(), core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x"}); err != nil {
			t.Fatal(err)
		}
	}
	service.updateRouting() // as after any change of the list
	for range 50 {
		if _, err := service.Forward(t.Context(), core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x"}); err != nil {
			t.Fatal(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for i, id := range served {
		if id == leaving {
			t.Fatalf("request %d after the announcement went to %s", i, id)
		}
	}
}

// TestTextIsBounded has an engine that sends valid events without end.
func TestTextIsBounded(t *testing.T) {
	add := func(core.Event) bool { return true }
	sink := &itemSink{addEvent: add, onEvent: func() {}, maxEvents: 10, after: 4}
	var err error
	id := 5
	for ; err == nil && id < 100; id++ {
		err = sink.Event(core.Event{ID: id, Data: "x"})
	}
	if !errkind.Is(err, errkind.ServerFailed) || id != 12 {
		t.Errorf("event %d ended the run with %v, want %s at event 11", id-1, err, errkind.ServerFailed)
	}
	sink, err = &itemSink{addEvent: add, onEvent: func() {}}, nil
	long := string(make([]byte, maxTextBytes/4))
	for id = 1; err == nil && id < 100; id++ {
		err = sink.Event(core.Event{ID: id, Data: long})
	}
	if !errkind.Is(err, errkind.ServerFailed) || id != 6 {
		t.Errorf("event %d ended the run with %v, want %s at event 5", id-1, err, errkind.ServerFailed)
	}
}

// TestItemThatCannotBeSentFails guards against an item that no backend server can be asked
// for, such as one with an invalid path: its run was repeated without end, and the engines
// counted as failing.
func TestItemThatCannotBeSentFails(t *testing.T) {
	s := newEnvironment(t)
	var unsent atomic.Int64
	s.stream = func(_ core.VM, request core.EventsRequest, _ ports.EventSink) (core.RelayResponse, error) {
		if request.Target == "/jobs/%zz" {
			unsent.Add(1)
			return core.RelayResponse{}, errkind.New(errkind.BadRequest, "invalid URL escape")
		}
		return core.RelayResponse{}, nil
	}
	service := s.waitReady(s.start("vm-1"))
	job := newJob("j", 1)
	job.Items[0].Path = "/jobs/%zz"
	if err := service.Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	s.eventually("the item's result", func() bool { return len(s.readResults(service, "j").Results) == 1 })
	if result := s.readResults(service, "j").Results[0]; result.State != core.ItemFailed || unsent.Load() != 1 {
		t.Errorf("result %+v after %d runs, want %s after one", result, unsent.Load(), core.ItemFailed)
	}
}
