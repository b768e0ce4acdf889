package main

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/core"
)

// TestStatusWarnsOfKeys asks a process for its status whose certificate is valid
// for an hour, and again after its key file was broken.
func TestStatusWarnsOfKeys(t *testing.T) {
	loaded, parts := wired(t, zerolog.Nop())
	warned := func(kind core.WarningKind) bool {
		request := httptest.NewRequest("GET", "/v1/status", nil)
		request.Header.Set("Authorization", "Bearer "+token)
		answer := httptest.NewRecorder()
		parts.handler.ServeHTTP(answer, request)
		var status configjson.Status
		if err := json.Unmarshal(answer.Body.Bytes(), &status); err != nil {
			t.Fatal(err)
		}
		return slices.ContainsFunc(status.Warnings, func(w configjson.Warning) bool { return w.Kind == string(kind) })
	}
	if !warned(core.WarnKeysExpire) || warned(core.WarnKeysUnusable) {
		t.Error("want a warning of the certificate's end only")
	}
	if err := os.WriteFile(loaded.TLS.Key, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if !warned(core.WarnKeysUnusable) {
		t.Error("no warning of the broken key file")
	}
}
