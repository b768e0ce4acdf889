package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/keys"
	"fescuespar/internal/adapters/settings"
)

const secretSettings = `
vm = "entry-1"
availability_zone = "z"
region = "r"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
[peers]
authority = "authority.pem"
certificate = "certificate.pem"
key = "certificate.key"
[platform]
table = "http://127.0.0.1:1"
objects = "http://127.0.0.1:1"
vm_list = "http://127.0.0.1:1"
[[tokens]]
role = "operator"
name = "vera"
token = "` + token + `"
`

// wireTestEntry returns the components of an entry process that is not started.
func wireTestEntry(t *testing.T, log zerolog.Logger) (*settings.Settings, *entryProcess) {
	t.Helper()
	folder := t.TempDir()
	authority := filepath.Join(folder, "authority")
	if err := keys.CreateAuthority(authority, "site", time.Now()); err != nil {
		t.Fatal(err)
	}
	request := keys.IssueRequest{Authority: authority, VM: "entry-1", Lifetime: time.Hour, Directory: folder,
		Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	if err := keys.Issue(request, time.Now()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, "entry.toml")
	if err := os.WriteFile(path, []byte(secretSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	parts, err := wireEntry(loaded, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		parts.service.Stop()
		parts.peers.Shutdown(context.Background())
		parts.listener.Close()
	})
	return loaded, parts
}

// TestTokensAreNotInLogDumpOrMetrics searches the log, the state dump, the
// metrics and other output of an entry process for a token.
func TestTokensAreNotInLogDumpOrMetrics(t *testing.T) {
	var output bytes.Buffer
	log := zerolog.New(&output)
	loaded, parts := wireTestEntry(t, log)
	logState(parts.service, log)
	log.Info().Any("settings", loaded).Msg("settings")
	fmt.Fprintf(&output, "%+v %#v", loaded.Tokens, loaded.Tokens)
	for _, path := range []string{"/debug/state", "/metrics", "/v1/status", "/v1/configuration"} {
		request := httptest.NewRequest("GET", path, nil)
		request.Header.Set("Authorization", "Bearer "+token)
		answer := httptest.NewRecorder()
		parts.handler.ServeHTTP(answer, request)
		if answer.Code != 200 {
			t.Errorf("%s: status %d, %s", path, answer.Code, answer.Body)
		}
		output.Write(answer.Body.Bytes())
	}
	if strings.Contains(output.String(), token) || !strings.Contains(output.String(), "state dump") {
		t.Errorf("output contains a token or no state dump: %s", output.String())
	}
}
