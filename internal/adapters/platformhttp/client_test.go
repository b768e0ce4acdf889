package platformhttp_test

import (
	"context"
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

const callTimeout = 10 * time.Second

func newClient(t *testing.T, url string, timeout time.Duration) *platformhttp.Client {
	client := platformhttp.New(url, timeout)
	t.Cleanup(client.Close)
	return client
}

// answers returns a handler that drains the request and answers.
func answers(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// breaksOff announces more bytes than it sends.
func breaksOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "{}")
}

// redirects sends every call to a path that would answer it.
func redirects(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/elsewhere" {
		answers(http.StatusOK, "{}")(w, r)
		return
	}
	http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
}

func closes(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestKindsOfFailedCalls(t *testing.T) {
	const reads, changes = false, true
	cases := []struct {
		name    string
		handler http.HandlerFunc
		changes bool
		want    errkind.Kind
	}{
		{"refused read", answers(503, ""), reads, errkind.StoreUnavailable},
		{"refused change", answers(503, ""), changes, errkind.StoreUnavailable},
		{"failed read", answers(500, ""), reads, errkind.StoreUnavailable},
		{"failed change", answers(500, ""), changes, errkind.OutcomeUnknown},
		{"gateway's failure of a change", answers(502, ""), changes, errkind.OutcomeUnknown},
		{"gateway's timeout of a change", answers(504, ""), changes, errkind.OutcomeUnknown},
		{"redirected change", redirects, changes, errkind.OutcomeUnknown},
		{"unexpected success", answers(202, ""), changes, errkind.OutcomeUnknown},
		{"malformed", answers(400, ""), changes, errkind.BadRequest},
		{"conflict", answers(409, ""), changes, errkind.BadRequest},
		{"absent", answers(404, ""), reads, errkind.NotFound},
		{"too large", answers(413, ""), changes, errkind.TooLarge},
		{"reply broken off under a read", breaksOff, reads, errkind.StoreUnavailable},
		{"reply broken off under a change", breaksOff, changes, errkind.OutcomeUnknown},
		{"no reply to a read", closes, reads, errkind.StoreUnavailable},
		{"no reply to a change", closes, changes, errkind.OutcomeUnknown},
		{"oversize reply to a read", answers(200, "{}        "), reads, errkind.StoreUnavailable},
		{"oversize reply to a change", answers(200, "{}        "), changes, errkind.OutcomeUnknown},
		{"undecodable reply to a change", answers(200, "{"), changes, errkind.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			call := platformhttp.Call{Method: http.MethodPost, Path: "/x", Changes: c.changes, MaxBody: 9, MaxReply: 9}
			var reply struct{}
			err := newClient(t, server.URL, callTimeout).DoJSON(t.Context(), call, struct{}{}, &reply)
			if !errkind.Is(err, c.want) {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}

func TestChangeThatWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedPort := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	call := platformhttp.Call{Method: http.MethodPost, Path: "/x", Changes: true}
	client := newClient(t, "http://"+closedPort, callTimeout)
	if _, err := client.Do(t.Context(), call); !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("connection refused: error %v, want %s", err, errkind.StoreUnavailable)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Do(ended, call); !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("ended context: error %v, want %s", err, errkind.StoreUnavailable)
	}
	call.Body = []byte("x")
	if _, err := client.Do(t.Context(), call); !errkind.Is(err, errkind.TooLarge) {
		t.Errorf("body over its bound: error %v, want %s", err, errkind.TooLarge)
	}
}

// TestTimeoutEndsACall has the server answer only after the call has ended.
func TestTimeoutEndsACall(t *testing.T) {
	const shortTimeout = 50 * time.Millisecond
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-ended
	}))
	defer server.Close()
	defer close(ended)
	call := platformhttp.Call{Method: http.MethodPost, Path: "/x", Changes: true}
	client := newClient(t, server.URL, shortTimeout)
	_, err := client.Do(context.Background(), call)
	if !errkind.Is(err, errkind.OutcomeUnknown) && !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("error %v, want %s, or %s when the machine connected too late",
			err, errkind.OutcomeUnknown, errkind.StoreUnavailable)
	}
}

func TestConnectionIsReused(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(answers(200, "{}"))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := newClient(t, server.URL, callTimeout)
	for range 10 {
		call := platformhttp.Call{Method: http.MethodGet, Path: "/x", MaxReply: 9}
		if _, err := client.Do(t.Context(), call); err != nil {
			t.Fatal(err)
		}
	}
	if got := opened.Load(); got != 1 {
		t.Errorf("%d connections for 10 calls in sequence, want 1", got)
	}
}
