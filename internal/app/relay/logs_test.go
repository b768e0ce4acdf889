package relay

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/logread"
	"fescuespar/internal/core"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

// buffer takes a process's log.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// story reads what the log tells of an id.
func (b *buffer) story(t *testing.T, id string) logs.Story {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	builder := logs.NewStory(id, 0)
	if err := logread.Read(bytes.NewReader(b.text.Bytes()), builder); err != nil {
		t.Fatal(err)
	}
	return builder.Story()
}

// tells reports whether a line with a message has a field that contains a text.
func tells(story logs.Story, message, field, text string) bool {
	return slices.ContainsFunc(story.Lines, func(line logs.Told) bool {
		value, _ := line.Fields[field].(string)
		return line.Message == message && strings.Contains(value, text)
	})
}

// TestLogsTellTheCause injects a failure of each of three kinds and finds its
// cause from the log alone, as docs/OPERATIONS.md shows.
func TestLogsTellTheCause(t *testing.T) {
	s := newSite(t)
	log := &buffer{}
	s.log = zerolog.New(log).With().Timestamp().Str("vm", "vm-1").Logger()
	s.unreach = func(server core.VM) bool { return server.ID == "engine-1" }
	service := s.ready(s.start("vm-1"))

	answer := func(kind errkind.Kind) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.exchange = func(server core.VM, _ core.RelayRequest) (core.RelayResponse, error) {
			return core.RelayResponse{}, errkind.New(kind, "%s is full", server.ID)
		}
	}
	call := func(id core.RequestID, target string) {
		_, _ = service.Forward(t.Context(), core.RelayRequest{ID: id, Method: "POST", Host: host, Target: target})
	}
	answer(errkind.ServerRefused)
	call("lookup-refused", "/lookup/x")
	if story := log.story(t, "lookup-refused"); !tells(story, "attempt failed", "why", "is full") || !tells(story, "request ended", "error", "server_refused") {
		t.Errorf("a refused lookup: %+v", story.Lines)
	}

	answer(errkind.ServerFailed)
	call("answer-cut", "/once/x")
	if story := log.story(t, "answer-cut"); !tells(story, "request ended", "error", "server_failed") {
		t.Errorf("a cut answer: %+v", story.Lines)
	}

	s.mu.Lock()
	s.exchange = nil
	s.mu.Unlock()
	if err := service.Submit(t.Context(), jobOf("j", 20)); err != nil {
		t.Fatal(err)
	}
	s.eventually("all results", func() bool { return len(s.results(service, "j").Results) == 20 })
	refused := log.story(t, "j")
	if !tells(refused, "run ended", "ending", "refused") || !tells(refused, "run ended", "server", "engine-1") || !tells(refused, "result listed", "state", "completed") {
		t.Errorf("a late sample: %d lines name its job", len(refused.Lines))
	}
}

// all returns every line of the log.
func (b *buffer) all(t *testing.T) lines {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var all lines
	if err := logread.Read(bytes.NewReader(b.text.Bytes()), &all); err != nil {
		t.Fatal(err)
	}
	return all
}

type lines []logs.Line

func (l *lines) Add(line logs.Line) { *l = append(*l, line) }
func (*lines) AddDamaged()          {}

// with returns the first line with a message and a field's value.
func (l lines) with(message, field string, value any) *logs.Line {
	for i := range l {
		if l[i].Message == message && l[i].Fields[field] == value {
			return &l[i]
		}
	}
	return nil
}

// TestLogsTellWhatAProcessBelieves lets a backend server fail, changes the
// routes and takes the platform away, and finds each change in the log with
// what it rests on.
func TestLogsTellWhatAProcessBelieves(t *testing.T) {
	s := newSite(t)
	log := &buffer{}
	s.log = zerolog.New(log).With().Timestamp().Str("vm", "vm-1").Logger()
	service := s.ready(s.start("vm-1"))

	var failing core.ServerID // the one asked first, which kept connections make the preferred one
	var once sync.Once
	s.mu.Lock()
	s.exchange = func(server core.VM, _ core.RelayRequest) (core.RelayResponse, error) {
		once.Do(func() { failing = server.ID })
		if server.ID == failing {
			return core.RelayResponse{}, errkind.New(errkind.ServerFailed, "told so")
		}
		return core.RelayResponse{Status: 200}, nil
	}
	table := *s.published.Table
	table.Version = 2
	s.published.Table = &table
	s.mu.Unlock()
	var ejected *logs.Line
	s.eventually("the failing server is ejected", func() bool {
		_, _ = service.Forward(t.Context(), core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x"})
		ejected = log.all(t).with(logs.ServerEjected, "server", string(failing))
		return ejected != nil
	})
	if success, _ := ejected.Fields["success"].(float64); ejected.Fields["why"] != "fails" || success >= 1 || ejected.Fields["until"] == nil {
		t.Errorf("ejected on %v", ejected.Fields)
	}

	s.eventually("new routes are in force", func() bool { return log.all(t).with(logs.RoutesInForce, "version", 2.0) != nil })
	_, _ = service.Forward(t.Context(), core.RelayRequest{ID: "by-2", Method: "POST", Host: host, Target: "/lookup/x"})
	s.eventually("a request tells the routes it went by", func() bool {
		ended := log.all(t).with(logs.RequestEnded, "request", "by-2")
		return ended != nil && ended.Fields["routes"] == 2.0
	})

	s.setAway(errkind.New(errkind.StoreUnavailable, "told so"))
	s.eventually("the outage is told with the age of what is believed", func() bool {
		lost := log.all(t).with(logs.StoreLost, "what", "published")
		return lost != nil && lost.Fields["belief_age"] != nil && lost.Fields["error"] != nil
	})
	s.setAway(nil)
	s.eventually("the end of the outage is told with its length", func() bool {
		back := log.all(t).with(logs.StoreBack, "what", "published")
		return back != nil && back.Fields["away"] != nil
	})
}

// setAway lets reads of routes and registrations end with an error, nil for an answer.
func (s *site) setAway(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = err
}
