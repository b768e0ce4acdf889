package sendonce

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// sentBytes returns what a transport writes for a request.
func sentBytes(t *testing.T, method, body string, send func(*http.Transport) http.RoundTripper) string {
	t.Helper()
	var written bytes.Buffer
	server, client := net.Pipe()
	go func() {
		request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(server, &written)))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}()
	base := &http.Transport{DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return client, nil }}
	request, err := http.NewRequestWithContext(t.Context(), method, "http://h/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", "k")
	response, err := send(base).RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return written.String()
}

// TestBytesOnTheWireAreUnchanged guards against a request that servers understand
// differently because http.Transport is kept from repeating it.
func TestBytesOnTheWireAreUnchanged(t *testing.T) {
	plain := func(base *http.Transport) http.RoundTripper { return base }
	once := func(base *http.Transport) http.RoundTripper { return New(base) }
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE", "PURGE"} {
		for _, body := range []string{"", "body"} {
			want, got := sentBytes(t, method, body, plain), sentBytes(t, method, body, once)
			if !strings.EqualFold(got, want) {
				t.Errorf("%s with body %q: %q, want %q", method, body, got, want)
			}
		}
	}
}

// failingConn fails to write, or to read, once it is told to.
type failingConn struct {
	net.Conn
	failsWrites *atomic.Bool
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.failsWrites.Swap(false) {
		return 0, errors.New("connection ended")
	}
	return c.Conn.Write(p)
}

// TestUnwrittenRequestIsSentOnAnotherConnection guards against failures of requests that
// met a kept connection which had just ended, and against a refusal that is taken for a
// request that may have run.
func TestUnwrittenRequestIsSentOnAnotherConnection(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); string(body) == "body" {
			received.Add(1)
		}
	}))
	defer server.Close()
	failsWrites := new(atomic.Bool)
	transport := New(&http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := new(net.Dialer).DialContext(ctx, network, address)
		return &failingConn{connection, failsWrites}, err
	}})
	send := func() error {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	for range 2 {
		if err := send(); err != nil {
			t.Fatal(err)
		}
		failsWrites.Store(true)
	}
	transport.CloseIdleConnections()
	if err := send(); !errors.Is(err, ErrNotSent) {
		t.Errorf("nothing written on a new connection: %v, want ErrNotSent", err)
	}
	if received.Load() != 2 {
		t.Errorf("%d requests received, want 2", received.Load())
	}
}

// TestRedirectsAreNotFollowed guards against a second request that a redirect asks for.
func TestRedirectsAreNotFollowed(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	response, err := NewClient(New(&http.Transport{}), 0).Post(server.URL, "text/plain", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if received.Load() != 1 {
		t.Errorf("%d requests received, want 1", received.Load())
	}
}

// TestEncryptedConnections sends requests over TLS, whose responses are checked like others.
func TestEncryptedConnections(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	roots := server.Client().Transport.(*http.Transport).TLSClientConfig
	client := NewClient(New(&http.Transport{TLSClientConfig: roots}), 0)
	for range 2 {
		response, err := client.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "ok" {
			t.Errorf("body %q, %v", body, err)
		}
		_ = response.Body.Close()
	}
	if _, err := NewClient(New(&http.Transport{}), 0).Get(server.URL); !errors.Is(err, ErrNotSent) {
		t.Errorf("server with an unknown certificate: %v, want %v", err, ErrNotSent)
	}
}
