package scorerhttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/adapters/scorerhttp"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest"
	"fescuespar/standin/scorer"
)

const clientTimeout = 10 * time.Second

func serverAt(s *httptest.Server) core.VM {
	return core.VM{ID: "scorer-1", Address: s.Listener.Addr().String()}
}

func TestClientConformance(t *testing.T) {
	backendtest.RunScorer(t, func(t *testing.T) backendtest.ScorerSubject {
		standin := scorer.New(scorer.Faults{})
		server := httptest.NewServer(standin)
		t.Cleanup(server.Close)
		return backendtest.ScorerSubject{
			Scorer: scorerhttp.New(clientTimeout), Server: serverAt(server),
			SetFaults: func(f backendtest.ScorerFaults) { standin.SetFaults(scorer.Faults(f)) },
		}
	})
}

func TestInvalidResponsesAreServerFailed(t *testing.T) {
	cases := []struct {
		name string
		body string
	}{
		{"no score", `{}`},
		{"no number", `{"score":"high"}`},
		{"no JSON", `high`},
		{"over the bound", `{"score":1,"note":"` + strings.Repeat("x", 1<<20) + `"}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			_, err := scorerhttp.New(clientTimeout).Score(t.Context(), serverAt(server), core.Sample{})
			if !errkind.Is(err, errkind.ServerFailed) {
				t.Errorf("error %v, want ServerFailed", err)
			}
		})
	}
}
