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
func (b *buffer) story(t *testing.T, id string) logread.Story {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	reader := logread.New(id)
	if err := reader.Read(bytes.NewReader(b.text.Bytes())); err != nil {
		t.Fatal(err)
	}
	return reader.Story()
}

// tells reports whether a line with a message has a field that contains a text.
func tells(story logread.Story, message, field, text string) bool {
	return slices.ContainsFunc(story.Lines, func(line logread.Line) bool {
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
