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

// logBuffer collects a process's log. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// readTimeline returns the log's timeline of an ID.
func (b *logBuffer) readTimeline(t *testing.T, id string) logs.Timeline {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	builder := logs.NewTimelineBuilder(id, 0)
	if err := logread.Read(bytes.NewReader(b.text.Bytes()), builder); err != nil {
		t.Fatal(err)
	}
	return builder.Timeline()
}

// hasLine reports whether a timeline has a line with a message and a field that
// contains a text.
func hasLine(timeline logs.Timeline, message, field, text string) bool {
	return slices.ContainsFunc(timeline.Lines, func(line logs.TimelineLine) bool {
		value, _ := line.Fields[field].(string)
		return line.Message == message && strings.Contains(value, text)
	})
}

// TestLogsShowFailureCauses injects three kinds of failures. The log alone must show
// their causes, as docs/OPERATIONS.md describes.
func TestLogsShowFailureCauses(t *testing.T) {
	s := newEnvironment(t)
	log := &logBuffer{}
	s.log = zerolog.New(log).With().Timestamp().Str("vm", "vm-1").Logger()
	s.refusesRuns = func(server core.VM) bool { return server.ID == "engine-1" }
	service := s.waitReady(s.start("vm-1"))

	failWith := func(kind errkind.Kind) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.exchange = func(server core.VM, _ core.RelayRequest) (core.RelayResponse, error) {
			return core.RelayResponse{}, errkind.New(kind, "%s is full", server.ID)
		}
	}
	call := func(id core.RequestID, target string) {
		_, _ = service.Forward(t.Context(), core.RelayRequest{ID: id, Method: "POST", Host: host, Target: target})
	}
	failWith(errkind.ServerRefused)
	call("lookup-refused", "/lookup/x")
	if timeline := log.readTimeline(t, "lookup-refused"); !hasLine(timeline, "attempt failed", "why", "is full") || !hasLine(timeline, "request ended", "error", "server_refused") {
		t.Errorf("refused lookup not explained by %+v", timeline.Lines)
	}

	failWith(errkind.ServerFailed)
	call("answer-cut", "/once/x")
	if timeline := log.readTimeline(t, "answer-cut"); !hasLine(timeline, "request ended", "error", "server_failed") {
		t.Errorf("truncated response not explained by %+v", timeline.Lines)
	}

	s.mu.Lock()
	s.exchange = nil
	s.mu.Unlock()
	if err := service.Submit(t.Context(), newJob("j", 20)); err != nil {
		t.Fatal(err)
	}
	s.eventually("all results", func() bool { return len(s.readResults(service, "j").Results) == 20 })
	refused := log.readTimeline(t, "j")
	if !hasLine(refused, "run ended", "ending", "refused") || !hasLine(refused, "run ended", "server", "engine-1") || !hasLine(refused, "result listed", "state", "completed") {
		t.Errorf("refused run not explained by the %d lines of its job", len(refused.Lines))
	}
}

// readLines returns every line of the log.
func (b *logBuffer) readLines(t *testing.T) logLines {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines logLines
	if err := logread.Read(bytes.NewReader(b.text.Bytes()), &lines); err != nil {
		t.Fatal(err)
	}
	return lines
}

// logLines collects the lines of a log. It implements logread.Sink.
type logLines []logs.Line

func (l *logLines) Add(line logs.Line) { *l = append(*l, line) }
func (*logLines) AddDamaged()          {}

// find returns the first line with a message and a field's value, nil if there is
// none.
func (l logLines) find(message, field string, value any) *logs.Line {
	for i := range l {
		if l[i].Message == message && l[i].Fields[field] == value {
			return &l[i]
		}
	}
	return nil
}

// TestLogsShowStateChanges lets a backend server fail, changes the routes and makes
// the platform unavailable. The log must show each change with the values behind it.
func TestLogsShowStateChanges(t *testing.T) {
	s := newEnvironment(t)
	log := &logBuffer{}
	s.log = zerolog.New(log).With().Timestamp().Str("vm", "vm-1").Logger()
	service := s.waitReady(s.start("vm-1"))

	var failing core.ServerID // receives the first request; its idle connection makes routing prefer it
	var once sync.Once
	s.mu.Lock()
	s.exchange = func(server core.VM, _ core.RelayRequest) (core.RelayResponse, error) {
		once.Do(func() { failing = server.ID })
		if server.ID == failing {
			return core.RelayResponse{}, errkind.New(errkind.ServerFailed, "failed by the test")
		}
		return core.RelayResponse{Status: 200}, nil
	}
	table := *s.published.Table
	table.Version = 2
	s.published.Table = &table
	s.mu.Unlock()
	var ejected *logs.Line
	s.eventually("failing server ejected", func() bool {
		_, _ = service.Forward(t.Context(), core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x"})
		ejected = log.readLines(t).find(logs.ServerEjected, "server", string(failing))
		return ejected != nil
	})
	if success, _ := ejected.Fields["success"].(float64); ejected.Fields["why"] != "fails" || success >= 1 || ejected.Fields["until"] == nil {
		t.Errorf("ejection logged with %v", ejected.Fields)
	}

	s.eventually("new route table in force", func() bool { return log.readLines(t).find(logs.RoutesInForce, "version", 2.0) != nil })
	_, _ = service.Forward(t.Context(), core.RelayRequest{ID: "by-2", Method: "POST", Host: host, Target: "/lookup/x"})
	s.eventually("route table version logged with a request", func() bool {
		ended := log.readLines(t).find(logs.RequestEnded, "request", "by-2")
		return ended != nil && ended.Fields["routes"] == 2.0
	})

	s.setRegistryErr(errkind.New(errkind.StoreUnavailable, "unavailable by the test"))
	s.eventually("outage logged with the age of the data in use", func() bool {
		lost := log.readLines(t).find(logs.PlatformUnavailable, "what", "published")
		return lost != nil && lost.Fields["belief_age"] != nil && lost.Fields["error"] != nil
	})
	s.setRegistryErr(nil)
	s.eventually("end of the outage logged with its duration", func() bool {
		back := log.readLines(t).find(logs.PlatformAvailable, "what", "published")
		return back != nil && back.Fields["away"] != nil
	})
}

// setRegistryErr sets the error of reads of routes and registrations; nil lets them
// succeed.
func (s *environment) setRegistryErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registryErr = err
}
