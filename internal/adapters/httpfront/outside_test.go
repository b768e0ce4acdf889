package httpfront_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/adapters/auth"
	"fescuespar/internal/errkind"
)

// TestBodiesBeyondTheMemoryAreRefused guards against bodies that take far more memory once
// decoded than the process may hold, and against memory that is not returned.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	s := &fakeService{parts: twoParts}
	server, memory := serveWith(t, s, 32<<10)
	complete := func(body string) (*http.Response, []byte) {
		t.Helper()
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
			secrets[auth.RoleCaller], len(body))
		time.Sleep(arrivalTimeout / 10) // so that the body does not count as a part of the head
		fmt.Fprint(conn, body)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response, answer
	}
	const begin, end = `{"model":"coach","messages":[{"role":"user","content":"p"}`, `]}`
	response, answer := complete(begin + strings.Repeat(`,{"role":"user"}`, (bodyLimit-len(begin)-len(end))/16) + end)
	checkErrorAnswer(t, response, answer, errkind.Overloaded)
	if response, answer := complete(begin + end); response.StatusCode != http.StatusOK {
		t.Errorf("status %d for a short body: %s", response.StatusCode, answer)
	}
	for end := time.Now().Add(testTimeout); memory.State().Held != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held after all requests", memory.State().Held)
		}
	}
}

// TestMalformedRequestsAreRefusedOnce guards against requests that a server behind may
// read otherwise, and against heads without end.
func TestMalformedRequestsAreRefusedOnce(t *testing.T) {
	s := &fakeService{}
	server := s.start(t)
	head := fmt.Sprintf("POST /v1/services/coach/calls HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", secrets[auth.RoleCaller])
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"two lengths":       {head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", 400},
		"length and chunks": {head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"head without end":  {head + strings.Repeat("X-More: abcdefgh\r\n", 10_000), 431},
	} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		go func() { _, _ = conn.Write([]byte(c.text)) }()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != c.status {
			t.Errorf("%s: %+v, %v, want status %d", name, response, err, c.status)
		}
		_ = conn.Close()
	}
	if calls := s.calls.Load(); calls != 0 {
		t.Errorf("%d malformed requests reached the service", calls)
	}
}
