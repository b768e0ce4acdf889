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

// replyWith returns a handler that reads the request and then replies.
func replyWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// truncateReply sends fewer bytes than its Content-Length.
func truncateReply(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "{}")
}

// redirect redirects every call to a path that would reply with success.
func redirect(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/elsewhere" {
		replyWith(http.StatusOK, "{}")(w, r)
		return
	}
	http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestErrorKindsOfFailedCalls(t *testing.T) {
	const reads, changes = false, true
	cases := []struct {
		name    string
		handler http.HandlerFunc
		changes bool
		want    errkind.Kind
	}{
		{"refused read", replyWith(503, ""), reads, errkind.StoreUnavailable},
		{"refused change", replyWith(503, ""), changes, errkind.StoreUnavailable},
		{"failed read", replyWith(500, ""), reads, errkind.StoreUnavailable},
		{"failed change", replyWith(500, ""), changes, errkind.OutcomeUnknown},
		{"gateway's failure of a change", replyWith(502, ""), changes, errkind.OutcomeUnknown},
		{"gateway's timeout of a change", replyWith(504, ""), changes, errkind.OutcomeUnknown},
		{"redirected change", redirect, changes, errkind.OutcomeUnknown},
		{"unexpected success", replyWith(202, ""), changes, errkind.OutcomeUnknown},
		{"malformed", replyWith(400, ""), changes, errkind.BadRequest},
		{"conflict", replyWith(409, ""), changes, errkind.BadRequest},
		{"absent", replyWith(404, ""), reads, errkind.NotFound},
		{"too large", replyWith(413, ""), changes, errkind.TooLarge},
		{"reply broken off under a read", truncateReply, reads, errkind.StoreUnavailable},
		{"reply broken off under a change", truncateReply, changes, errkind.OutcomeUnknown},
		{"no reply to a read", abortConnection, reads, errkind.StoreUnavailable},
		{"no reply to a change", abortConnection, changes, errkind.OutcomeUnknown},
		{"oversize reply to a read", replyWith(200, "{}        "), reads, errkind.StoreUnavailable},
		{"oversize reply to a change", replyWith(200, "{}        "), changes, errkind.OutcomeUnknown},
		{"undecodable reply to a change", replyWith(200, "{"), changes, errkind.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			call := platformhttp.Call{Method: http.MethodPost, Path: "/x", IsWrite: c.changes, MaxBody: 9, MaxReply: 9}
			var reply struct{}
			err := newClient(t, server.URL, callTimeout).DoJSON(t.Context(), call, struct{}{}, &reply)
			if !errkind.Is(err, c.want) {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}

func TestUnsentChangeIsStoreUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedPort := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	call := platformhttp.Call{Method: http.MethodPost, Path: "/x", IsWrite: true}
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
		t.Errorf("body above MaxBody: error %v, want %s", err, errkind.TooLarge)
	}
}

// TestCallTimesOut has the server reply only after the call has ended.
func TestCallTimesOut(t *testing.T) {
	const shortTimeout = 50 * time.Millisecond
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-ended
	}))
	defer server.Close()
	defer close(ended)
	call := platformhttp.Call{Method: http.MethodPost, Path: "/x", IsWrite: true}
	client := newClient(t, server.URL, shortTimeout)
	_, err := client.Do(context.Background(), call)
	if !errkind.Is(err, errkind.OutcomeUnknown) && !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("error %v, want %s, or %s if connecting took the whole timeout",
			err, errkind.OutcomeUnknown, errkind.StoreUnavailable)
	}
}

func TestConnectionIsReused(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(replyWith(200, "{}"))
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
