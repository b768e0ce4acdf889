package enginehttp_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest"
	"fescuespar/standin/engine"
)

const clientTimeout = 10 * time.Second

func serverAt(s *httptest.Server) core.VM {
	return core.VM{ID: "engine-1", Address: s.Listener.Addr().String()}
}

func TestClientConformance(t *testing.T) {
	backendtest.RunEngine(t, func(t *testing.T, checksFencing bool) backendtest.EngineSubject {
		fencing := engine.FencingIgnores
		if checksFencing {
			fencing = engine.FencingChecks
		}
		standin := engine.New(engine.Options{
			Model: backendtest.SuiteModel, Version: backendtest.SuiteVersion, ExtraAdapters: 1, Fencing: fencing,
		})
		server := httptest.NewServer(standin)
		t.Cleanup(server.Close)
		t.Cleanup(standin.Close)
		return backendtest.EngineSubject{
			Engine: enginehttp.New(clientTimeout), Server: serverAt(server),
			SetFaults:   func(f backendtest.EngineFaults) { standin.SetFaults(engine.Faults(f)) },
			Revive:      standin.Revive,
			Counts:      func() backendtest.EngineCounts { return backendtest.EngineCounts(standin.Counts()) },
			WaitVersion: standin.WaitVersion, WaitLoaded: standin.WaitLoaded,
			WaitAdapter: standin.WaitAdapter,
		}
	})
}

// TestBrokenStreams checks that a stream that violates the protocol is reported as
// an error and never as a complete answer.
func TestBrokenStreams(t *testing.T) {
	const chunk = `{"offset":0,"tokens":["a","b"],"weight_version":1}` + "\n"
	const end = `{"end":{"finish_reason":"length","tokens":2}}` + "\n"
	cases := []struct {
		name   string
		status int
		body   string
		want   errkind.Kind
	}{
		{"whole", 200, chunk + "{}\n" + end, ""},
		{"no end mark", 200, chunk, errkind.ServerFailed},
		{"empty", 200, "", errkind.ServerFailed},
		{"end mark cut", 200, chunk + end[:20], errkind.ServerFailed},
		{"gap", 200, strings.Replace(chunk, `:0`, `:1`, 1) + end, errkind.ServerFailed},
		{"repeat", 200, chunk + chunk + end, errkind.ServerFailed},
		{"end mark with another count", 200, chunk + strings.Replace(end, `:2`, `:3`, 1), errkind.ServerFailed},
		{"end mark without reason", 200, chunk + `{"end":{"tokens":2}}`, errkind.ServerFailed},
		{"no JSON", 200, "hello\n", errkind.ServerFailed},
		{"line over the bound", 200, `{"tokens":["` + strings.Repeat("x", enginehttp.MaxLineBytes) + `"]}`, errkind.ServerFailed},
		{"refusal", 503, `{"refusal":"not_run"}`, errkind.ServerRefused},
		{"unexplained failure", 503, `busy`, errkind.ServerFailed},
		{"unknown refusal", 503, `{"refusal":"tired"}`, errkind.ServerFailed},
		{"bad request", 400, `{"refusal":"bad_request"}`, errkind.BadRequest},
		{"redirect", 307, ``, errkind.ServerFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			_, err := enginehttp.New(clientTimeout).Generate(t.Context(), serverAt(server),
				core.GenerateRequest{MaxTokens: 2}, func(core.Chunk) error { return nil })
			if (c.want == "" && err != nil) || (c.want != "" && !errkind.Is(err, c.want)) {
				t.Errorf("error %v, want kind %q", err, c.want)
			}
			if requests.Load() != 1 {
				t.Errorf("%d requests, want 1", requests.Load())
			}
		})
	}
}

func TestUnreachableEngineIsServerRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	vm := serverAt(server)
	server.Close()
	client := enginehttp.New(clientTimeout)
	_, err := client.Generate(t.Context(), vm, core.GenerateRequest{}, nil)
	if !errkind.Is(err, errkind.ServerRefused) {
		t.Errorf("Generate: %v", err)
	}
	if err := client.Order(t.Context(), vm, core.Order{}); !errkind.Is(err, errkind.ServerRefused) {
		t.Errorf("Order: %v", err)
	}
}

func TestStreamWithoutLinesTimesOut(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	_, err := enginehttp.New(20*time.Millisecond).Resume(t.Context(), serverAt(server), "a", 0, nil)
	if !errkind.Is(err, errkind.ServerFailed) {
		t.Errorf("error %v, want ServerFailed", err)
	}
}

// TestGenerateIsNotResentOnReusedConnection has the server close a reused
// connection during a request. The client must not send that request again.
func TestGenerateIsNotResentOnReusedConnection(t *testing.T) {
	var requests, connections atomic.Int32
	standin := engine.New(engine.Options{Model: "model"})
	defer standin.Close()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 3 {
			panic(http.ErrAbortHandler)
		}
		standin.ServeHTTP(w, r)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := enginehttp.New(clientTimeout)
	var errs []error
	for _, stream := range []string{"a", "b", "c"} {
		request := core.GenerateRequest{Stream: stream, Model: "model", MaxTokens: 3}
		_, err := client.Generate(context.Background(), serverAt(server), request, func(core.Chunk) error { return nil })
		errs = append(errs, err)
	}
	if errs[0] != nil || errs[1] != nil || !errkind.Is(errs[2], errkind.ServerFailed) {
		t.Errorf("errors %v, want an error for the third stream only", errs)
	}
	if requests.Load() != 3 || connections.Load() != 1 {
		t.Errorf("%d requests over %d connections, want 3 over 1", requests.Load(), connections.Load())
	}
}
