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

// TestStatusWarnsAboutKeys checks the warnings of a process whose certificate is
// valid for an hour, before and after its key file becomes invalid.
func TestStatusWarnsAboutKeys(t *testing.T) {
	loaded, parts := wireTestEntry(t, zerolog.Nop())
	hasWarning := func(kind core.WarningKind) bool {
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
	if !hasWarning(core.WarnKeysExpire) || hasWarning(core.WarnKeysUnusable) {
		t.Error("want only the warning that the certificate expires")
	}
	if err := os.WriteFile(loaded.TLS.Key, []byte("invalid"), 0o600); err != nil {
		t.Fatal(err)
	}
	if !hasWarning(core.WarnKeysUnusable) {
		t.Error("want a warning about the invalid key file")
	}
}
