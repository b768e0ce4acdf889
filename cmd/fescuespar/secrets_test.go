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

// wired returns the parts of an entry process that does not run.
func wired(t *testing.T, log zerolog.Logger) (*settings.Settings, *entryParts) {
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
	parts, err := wire(loaded, log)
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

// TestLogDumpAndMetricsHoldNoToken looks for a token in what an entry process shows.
func TestLogDumpAndMetricsHoldNoToken(t *testing.T) {
	var seen bytes.Buffer
	log := zerolog.New(&seen)
	loaded, parts := wired(t, log)
	dumpState(parts.service, log)
	log.Info().Any("settings", loaded).Msg("settings")
	fmt.Fprintf(&seen, "%+v %#v", loaded.Tokens, loaded.Tokens)
	for _, path := range []string{"/debug/state", "/metrics", "/v1/status", "/v1/configuration"} {
		request := httptest.NewRequest("GET", path, nil)
		request.Header.Set("Authorization", "Bearer "+token)
		answer := httptest.NewRecorder()
		parts.handler.ServeHTTP(answer, request)
		if answer.Code != 200 {
			t.Errorf("%s: status %d, %s", path, answer.Code, answer.Body)
		}
		seen.Write(answer.Body.Bytes())
	}
	if strings.Contains(seen.String(), token) || !strings.Contains(seen.String(), "state dump") {
		t.Errorf("a token is shown, or no dump: %s", seen.String())
	}
}
