package plainhttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fescuespar/internal/adapters/plainhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest"
	"fescuespar/standin/plain"
)

const clientTimeout = 10 * time.Second

func serverAt(s *httptest.Server) core.VM {
	return core.VM{ID: "plain-1", Address: s.Listener.Addr().String()}
}

func TestClientConformance(t *testing.T) {
	backendtest.RunPlain(t, func(t *testing.T) backendtest.PlainSubject {
		counter := plain.NewRunCounter()
		standin := plain.New(plain.Options{RunCounter: counter})
		server := httptest.NewServer(standin)
		t.Cleanup(server.Close)
		t.Cleanup(standin.Close)
		return backendtest.PlainSubject{
			Service: plainhttp.New(clientTimeout), Server: serverAt(server),
			SetFaults: func(f backendtest.PlainFaults) { standin.SetFaults(plain.Faults(f)) },
			Revive:    standin.Revive,
			Runs: func(key core.IdempotencyKey, path string) int {
				return counter.Count(string(key), path)
			},
			WaitRuns: func(ctx context.Context, key core.IdempotencyKey, path string, count int) error {
				return counter.WaitRuns(ctx, string(key), path, count)
			},
		}
	})
}

// TestCallIsNotResentOnReusedConnection has the server close a connection during
// its second call. Whatever the method and key of that call, the transport must
// not resend it.
func TestCallIsNotResentOnReusedConnection(t *testing.T) {
	cases := []struct {
		method string
		key    core.IdempotencyKey
		body   string
	}{
		{"GET", "", ""},
		{"POST", "", "x"},
		{"POST", "k", ""},
		{"GET", "k", ""},
	}
	for _, c := range cases {
		t.Run(c.method+" key="+string(c.key), func(t *testing.T) {
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if requests.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := plainhttp.New(clientTimeout)
			first := core.PlainRequest{Method: "GET", Path: "/"}
			if _, err := client.Call(t.Context(), serverAt(server), first); err != nil {
				t.Fatal(err)
			}
			second := core.PlainRequest{Method: c.method, Path: "/", Key: c.key, Body: []byte(c.body)}
			if _, err := client.Call(t.Context(), serverAt(server), second); !errkind.Is(err, errkind.ServerFailed) {
				t.Errorf("error %v, want ServerFailed", err)
			}
			if requests.Load() != 2 {
				t.Errorf("server got %d requests, want 2", requests.Load())
			}
		})
	}
}

// TestResponsesPassThrough checks that every response of the service is returned to
// the caller, except a 503 that says that the call was not run.
func TestResponsesPassThrough(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header string // name of a response header
		body   string
		want   errkind.Kind
	}{
		{"redirect", 303, "Location", "", ""},
		{"service's own failure", 500, "X-Note", "broken", ""},
		{"unavailable without the refusal header", 503, "X-Note", "busy", ""},
		{"unavailable and not run", 503, plainhttp.NotRunHeader, "", errkind.ServerRefused},
		{"refusal header on another status", 500, plainhttp.NotRunHeader, "", ""},
		{"body over the bound", 200, "X-Note", strings.Repeat("x", plainhttp.MaxBodyBytes+1), errkind.ServerFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				if r.Header.Get("Accept") != "text/plain" || r.Header.Get(plainhttp.RequestIDHeader) != "r1" || r.URL.RawQuery != "a=b" {
					t.Errorf("service got header %v and query %q", r.Header, r.URL.RawQuery)
				}
				w.Header().Set(c.header, "/x")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			response, err := plainhttp.New(clientTimeout).Call(t.Context(), serverAt(server), core.PlainRequest{
				ID: "r1", Method: "POST", Path: "p?a=b", Header: map[string]string{"Accept": "text/plain", "Connection": "close"},
			})
			if (c.want == "") != (err == nil) || (err != nil && !errkind.Is(err, c.want)) {
				t.Fatalf("error %v, want kind %q", err, c.want)
			}
			unchanged := response.Status == c.status && response.Header[c.header] == "/x" && string(response.Body) == c.body
			if err == nil && !unchanged {
				t.Errorf("response differs from the service's: status %d, header %v, body %q", response.Status, response.Header, response.Body)
			}
			if requests.Load() != 1 {
				t.Errorf("%d requests, want 1", requests.Load())
			}
		})
	}
}

func TestUnreachableServiceIsServerRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	vm := serverAt(server)
	server.Close()
	_, err := plainhttp.New(clientTimeout).Call(t.Context(), vm, core.PlainRequest{Method: "POST", Path: "/", Key: "k"})
	if !errkind.Is(err, errkind.ServerRefused) {
		t.Errorf("error %v, want ServerRefused", err)
	}
	if err := plainhttp.New(clientTimeout).Probe(t.Context(), vm); !errkind.Is(err, errkind.ServerRefused) {
		t.Errorf("Probe: error %v, want ServerRefused", err)
	}
}
