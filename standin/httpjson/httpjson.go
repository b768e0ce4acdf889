// Package httpjson contains helpers shared by the stand-ins for backend
// servers: JSON bodies, refusals and delays.
package httpjson

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"fescuespar/internal/adapters/serverhttp"
)

// MaxRequestBytes is the maximum size of a request body.
const MaxRequestBytes = 4 << 20

// Refusal is an error response to a request.
type Refusal struct {
	Status  int // HTTP status code
	Kind    serverhttp.Refusal
	Message string
}

// NotRun returns the refusal of a request that did not run and may be sent to
// another server.
func NotRun(message string) *Refusal {
	return &Refusal{http.StatusServiceUnavailable, serverhttp.RefusalNotRun, message}
}

// BadRequest returns the refusal of an invalid request, which no server would
// accept.
func BadRequest(message string) *Refusal {
	return &Refusal{http.StatusBadRequest, serverhttp.RefusalBadRequest, message}
}

// Read decodes a JSON request body. If that fails, it writes a refusal and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	if err := decoder.Decode(out); err != nil {
		Refuse(w, BadRequest(err.Error()))
		return false
	}
	return true
}

// Write writes a JSON response.
func Write(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// Refuse writes a refusal.
func Refuse(w http.ResponseWriter, r *Refusal) {
	serverhttp.WriteRefusal(w, r.Status, r.Kind, r.Message)
}

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
