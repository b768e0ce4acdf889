package platformhttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"fescuespar/internal/adapters/platformhttp"
	"fescuespar/internal/errkind"
)

// startBrokenPlatform starts a platform that answers each call with the given bytes, once it
// has read the head of the call, and then ends the connection.
func startBrokenPlatform(t *testing.T, answer string, end func(*net.TCPConn)) *platformhttp.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, answer)
					time.Sleep(10 * time.Millisecond) // until the client has read the answer
				}
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return platformhttp.New("http://"+listener.Addr().String(), 5*time.Second)
}

// TestResetDuringWriteAcknowledgesNothing has a platform that acknowledges a long write at
// once, in a reply without a length, and resets the connection while the call is being sent.
func TestResetDuringWriteAcknowledgesNothing(t *testing.T) {
	client := startBrokenPlatform(t, "HTTP/1.1 200 OK\r\n\r\n{}", func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	call := platformhttp.Call{Method: http.MethodPut, Path: "/x", Body: make([]byte, 8<<20), IsWrite: true, MaxBody: 8 << 20, MaxReply: 1 << 10}
	for range 10 {
		if answer, err := client.Do(t.Context(), call); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("reply %q, error %v, want %s", answer, err, errkind.OutcomeUnknown)
		}
	}
}

// TestMalformedReplyIsNoReply has a platform whose second reply on a connection is malformed.
// A read is not sent again, as it is where a kept connection ends before the reply.
func TestMalformedReplyIsNoReply(t *testing.T) {
	for _, malformed := range []string{"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nX: 1\r\nContent Length: 2\r\n\r\n{}"} {
		for _, isWrite := range []bool{false, true} {
			var received atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if received.Add(1) == 1 {
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, malformed)
				_ = conn.Close()
			}))
			client := platformhttp.New(server.URL, 5*time.Second)
			call := platformhttp.Call{Method: http.MethodGet, Path: "/x", MaxReply: 1 << 10}
			want := errkind.StoreUnavailable
			if isWrite {
				call.Method, call.IsWrite, want = http.MethodPost, true, errkind.OutcomeUnknown
			}
			if _, err := client.Do(t.Context(), call); err != nil {
				t.Error(err)
			}
			if answer, err := client.Do(t.Context(), call); !errkind.Is(err, want) || received.Load() != 2 {
				t.Errorf("%s %q: reply %q, error %v, %d calls received; want %s and 2", call.Method, malformed, answer, err, received.Load(), want)
			}
			client.Close()
			server.Close()
		}
	}
}

// TestRefusalThatEndsEarlyTellsNothing has a platform whose refusal of a write, which would
// have had no effect, is not whole.
func TestRefusalThatEndsEarlyTellsNothing(t *testing.T) {
	for _, status := range []string{"400 X", "404 X", "413 X", "429 X", "503 X", "507 X"} {
		client := startBrokenPlatform(t, "HTTP/1.1 "+status+"\r\nContent-Length: 30\r\n\r\npart", func(conn *net.TCPConn) { _ = conn.Close() })
		call := platformhttp.Call{Method: http.MethodPost, Path: "/x", IsWrite: true}
		if _, err := client.Do(t.Context(), call); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("status %s: %v, want %s", status, err, errkind.OutcomeUnknown)
		}
	}
}
