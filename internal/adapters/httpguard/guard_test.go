package httpguard

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

const (
	headerTimeout = 300 * time.Millisecond
	idleTimeout   = time.Second
	testTimeout   = 10 * time.Second // much longer than all others
	maxBody       = 4 << 20
)

// testServer is a guarded server whose handler reads the body, unless the path is /refuse,
// and answers with its size, with a large answer for /large, and after unblock for /wait.
type testServer struct {
	t       *testing.T
	guard   *Guard
	memory  *memorybudget.Budget
	address string
	unblock chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	events map[Event]int
}

func startServer(t *testing.T, maxConnections int, memory int64) *testServer {
	t.Helper()
	s := &testServer{t: t, memory: memorybudget.New(memory), unblock: make(chan struct{}), events: make(map[Event]int)}
	s.guard = New(Options{
		MaxConnections: maxConnections, Memory: s.memory, Log: zerolog.Nop(), BodyTime: time.Second,
		Limits: func() core.CallerLimits {
			return core.CallerLimits{HeaderBytes: 8 << 10, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		},
		Count: func(e Event) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.events[e]++
		},
	})
	server := httptest.NewUnstartedServer(nil)
	guarded := s.guard.NewServer(http.HandlerFunc(s.serve))
	server.Config, server.Listener = guarded.Server, s.guard.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	request := Of(r, s.memory)
	if r.URL.Path == "/refuse" {
		Refuse(w, r)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := request.ReadBody(maxBody)
	if err != nil {
		Refuse(w, r)
		w.WriteHeader(errkind.AnswerTo(err).Status)
		return
	}
	switch r.URL.Path {
	case "/large":
		request.Answering(32<<20, nil)
		_, _ = w.Write(make([]byte, 32<<20))
	case "/wait":
		<-s.unblock
	}
	fmt.Fprintf(w, "%d bytes", body.Len())
}

func (s *testServer) count(e Event) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[e]
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// eventually waits for a condition.
func (s *testServer) eventually(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Errorf("%s: not within %v", what, testTimeout)
}

// exchange sends text and returns the status of the answer, zero if the connection is
// closed without one.
func exchange(conn net.Conn, reader *bufio.Reader, text string) int {
	_, _ = io.WriteString(conn, text)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func post(path, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
}

// TestRequestsOutsideTheLimits guards against requests that hold a connection or memory
// without end, and against answers to them that are wrong or do not arrive.
func TestRequestsOutsideTheLimits(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<16, strings.Repeat("x", 1<<16))
	for _, c := range []struct {
		name, text string
		status     int // zero if the connection is closed without an answer
		event      Event
		reads      bool // the answer is read; otherwise only the event counts
	}{
		{"head over the limit", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10), 431, HeadTooLarge, true},
		{"many fields", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", 6<<10), 431, HeadTooLarge, true},
		{"head without end", "GET / HTTP/1.1\r\nHost: h\r\nX: ", 0, HeadTooSlow, true},
		{"one byte of a head", "G", 400, HeadTooSlow, true}, // net/http takes it for a line
		{"body that stops", post("/", "Content-Length: 10\r\n") + "x", 408, BodyTooSlow, true},
		{"chunks that stop", post("/", "Transfer-Encoding: chunked\r\n") + chunk, 408, BodyTooSlow, true},
		{"body over the limit", post("/", "Transfer-Encoding: chunked\r\n") + strings.Repeat(chunk, maxBody>>16+1), 413, eventCount, true},
		{"announced body over the limit", post("/", fmt.Sprintf("Content-Length: %d\r\n", maxBody+1)), 413, eventCount, true},
		{"two lengths", post("/", "Content-Length: 2\r\nContent-Length: 2\r\n") + "ok", 400, Ambiguous, true},
		{"length and chunks", post("/", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400, Ambiguous, true},
		{"unread answer", post("/large", "Content-Length: 0\r\n"), 0, AnswerUnread, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, 16, 64<<20)
			conn := s.dial()
			if !c.reads {
				_, _ = io.WriteString(conn, c.text)
			} else if status := exchange(conn, bufio.NewReader(conn), c.text); status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			if c.event != eventCount {
				s.eventually("event", func() bool { return s.count(c.event) == 1 })
			}
			s.eventually("closed connection", func() bool { return s.guard.Connections() == 0 })
			s.eventually("released memory", func() bool { return s.memory.State().Held == 0 })
		})
	}
}

// TestClientsInsideTheLimitsKeepTheirConnections guards against protection that closes
// connections of clients inside the limits: ones used again late, bodies on a slow line,
// and small bodies of requests that are refused.
func TestClientsInsideTheLimitsKeepTheirConnections(t *testing.T) {
	s := startServer(t, 16, 64<<20)
	conn := s.dial()
	reader := bufio.NewReader(conn)
	for number, text := range []string{getRequest, getRequest, post("/refuse", "Content-Length: 2000\r\n") + strings.Repeat("x", 2000), getRequest} {
		if status := exchange(conn, reader, text); status != 200 && !strings.Contains(text, "/refuse") || status == 0 {
			t.Fatalf("request %d: status %d", number, status)
		}
		time.Sleep(idleTimeout / 2)
	}
	_, _ = io.WriteString(conn, post("/", "Content-Length: 8\r\n"))
	for range 7 {
		_, _ = io.WriteString(conn, "x")
		time.Sleep(headerTimeout / 3)
	}
	if status := exchange(conn, reader, "x"); status != 200 {
		t.Errorf("body on a slow line: status %d", status)
	}
	if n, err := reader.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, %v from an idle connection, want its end", n, err)
	}
}

// TestRefusedBodiesEndTheirConnections guards against connections that stay open while
// net/http reads the rest of a large body that was refused.
func TestRefusedBodiesEndTheirConnections(t *testing.T) {
	s := startServer(t, 16, 64<<20)
	for _, text := range []string{
		post("/refuse", "Content-Length: 1000000\r\n"), post("/refuse", "Transfer-Encoding: chunked\r\n"),
		post("/refuse", "Content-Length: 100\r\n"),
	} {
		conn := s.dial()
		if status := exchange(conn, bufio.NewReader(conn), text); status != http.StatusNotFound {
			t.Errorf("status %d, want %d", status, http.StatusNotFound)
		}
		s.eventually("closed connection", func() bool { return s.guard.Connections() == 0 })
	}
}

// TestBoundOnConnections guards against a crowd of silent connections that keeps other
// clients out, and against the loss of requests in service.
func TestBoundOnConnections(t *testing.T) {
	const bound = 8
	s := startServer(t, bound, 64<<20)
	for range 3 * bound {
		s.dial() // sends nothing
	}
	var served sync.WaitGroup
	for range bound {
		conn := s.dial()
		served.Go(func() {
			if status := exchange(conn, bufio.NewReader(conn), post("/wait", "Content-Length: 0\r\n")); status != 200 {
				t.Errorf("status %d beside silent connections", status)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	closed := s.dial()
	if status := exchange(closed, bufio.NewReader(closed), getRequest); status != 0 {
		t.Errorf("status %d on a connection over the bound", status)
	}
	if open := s.guard.Connections(); open > bound+bound/slack {
		t.Errorf("%d connections are open, want %d at most", open, bound)
	}
	close(s.unblock)
	served.Wait()
	if s.count(ConnectionClosed) == 0 || s.count(ConnectionRefused) == 0 {
		t.Errorf("events %v", s.events)
	}
}

// TestStalledBodiesMakeRoom guards against stalled bodies that keep the memory from
// others, and against a refusal of one that says that it may have run.
func TestStalledBodiesMakeRoom(t *testing.T) {
	s := startServer(t, 64, 3<<20)
	stalled := s.dial()
	_, _ = io.WriteString(stalled, post("/", fmt.Sprintf("Content-Length: %d\r\n", 2<<20))+strings.Repeat("x", 18<<16))
	s.eventually("memory held", func() bool { return s.memory.State().Held > 1<<20 })
	done := make(chan struct{})
	go func() { // slowly enough to count as progress, too slowly to be complete
		defer close(done)
		for range 30 {
			_, _ = io.WriteString(stalled, "x")
			time.Sleep(headerTimeout / 6)
		}
	}()
	time.Sleep(1300 * time.Millisecond) // longer than the core's progress slot
	other := s.dial()
	body := 1 << 20
	if status := exchange(other, bufio.NewReader(other), post("/", fmt.Sprintf("Content-Length: %d\r\n", body))+strings.Repeat("x", body)); status != 200 {
		t.Errorf("status %d beside a stalled body", status)
	}
	<-done
}

// TestHeadMemory measures what net/http holds for each byte of a head, which the guard
// counts while a head arrives.
func TestHeadMemory(t *testing.T) {
	for _, head := range []string{
		strings.Repeat("A:\r\n", 128), strings.Repeat("A:\r\n", 512), strings.Repeat("A:\r\n", 4096), strings.Repeat("Name: value\r\n", 1000),
	} {
		const requests = 100
		text := []byte("GET / HTTP/1.1\r\nHost: h\r\n" + head + "\r\n")
		kept := make([]*http.Request, requests)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range kept {
			var err error
			if kept[i], err = http.ReadRequest(bufio.NewReader(bytes.NewReader(text))); err != nil {
				t.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		perByte := float64(after.HeapAlloc-before.HeapAlloc) / requests / float64(len(text))
		if perByte > memorybudget.HeadFactor {
			t.Errorf("a head of %d bytes takes %.1f bytes for each, want %d at most", len(text), perByte, memorybudget.HeadFactor)
		}
		runtime.KeepAlive(kept)
	}
}
