package httpguard

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/memorybudget"
	"fescuespar/internal/core"
)

// BenchmarkCall compares calls to a guarded server with calls to one that is not.
func BenchmarkCall(b *testing.B) {
	memory := memorybudget.New(64 << 20)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := Of(r, memory).ReadBody(maxBody)
		if err != nil || body.Len() == 0 {
			b.Error(body.Len(), err)
		}
		_, _ = io.WriteString(w, "ok")
	})
	guard := New(Options{MaxConnections: 16, Memory: memory, Limits: func() core.CallerLimits { return core.CallerLimits{} }, Log: zerolog.Nop()})
	for _, guarded := range []bool{false, true} {
		name := map[bool]string{false: "plain", true: "guarded"}[guarded]
		b.Run(name, func(b *testing.B) {
			server := httptest.NewUnstartedServer(handler)
			if guarded {
				server.Config, server.Listener = guard.NewServer(handler).Server, guard.Listener(server.Listener)
			}
			server.Start()
			defer server.Close()
			for b.Loop() {
				response, err := server.Client().Post(server.URL, "", strings.NewReader("body of a short request"))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
