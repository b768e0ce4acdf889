package backendtest

import (
	"context"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// PlainSubject is a plain service under test that has not run any call.
type PlainSubject struct {
	Service   ports.PlainService
	Server    core.VM
	SetFaults func(PlainFaults)
	Revive    func()
	Runs      func(key core.IdempotencyKey, path string) int
	// WaitRuns waits until a call has run at least count times.
	WaitRuns func(ctx context.Context, key core.IdempotencyKey, path string, count int) error
}

// longDelay is well above shortDeadline, so that a call delayed by it reaches
// that deadline.
const longDelay = 10 * shortDeadline

func suiteCall(method string, key core.IdempotencyKey) core.PlainRequest {
	return core.PlainRequest{ID: "r1", Method: method, Path: "/sponsorships", Body: []byte(`{"donkey":7}`), Key: key}
}

// RunPlain runs the contract tests of ports.PlainService. Each case gets a new
// subject.
func RunPlain(t *testing.T, newSubject func(t *testing.T) PlainSubject) {
	cases := []struct {
		name     string
		faults   PlainFaults
		method   string
		key      core.IdempotencyKey
		deadline time.Duration
		ended    bool // the context has ended before the call
		want     errkind.Kind
		runs     int
		after    errkind.Kind // of a second call without new faults
	}{
		{name: "answered", method: "POST", key: "k", runs: 1},
		{name: "without key", method: "GET", runs: 1},
		{name: "refused", method: "POST", key: "k", faults: PlainFaults{Refuse: true}, want: errkind.ServerRefused, after: errkind.ServerRefused},
		{name: "never sent", method: "POST", key: "k", ended: true, want: errkind.ServerRefused},
		{name: "reply lost, with key", method: "POST", key: "k", faults: PlainFaults{DropReply: true}, want: errkind.ServerFailed, runs: 1},
		{name: "reply lost, without key", method: "GET", faults: PlainFaults{DropReply: true}, want: errkind.ServerFailed, runs: 1},
		{name: "too slow", method: "POST", key: "k", faults: PlainFaults{DelayMillis: int(longDelay.Milliseconds())}, deadline: shortDeadline, want: errkind.Timeout, runs: 1},
		{name: "crash", method: "POST", key: "k", faults: PlainFaults{Crash: true}, want: errkind.ServerFailed, runs: 1, after: errkind.ServerRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSubject(t)
			s.SetFaults(c.faults)
			limit := suiteTimeout
			if c.deadline > 0 {
				limit = c.deadline
			}
			ctx, cancel := context.WithCancel(suiteContext(t, limit))
			defer cancel()
			if c.ended {
				cancel()
			}
			call := suiteCall(c.method, c.key)
			response, err := s.Service.Call(ctx, s.Server, call)
			wantKind(t, "Call", err, c.want)
			if c.want == "" && response.Status != 200 {
				t.Errorf("status %d, want 200", response.Status)
			}
			wantKind(t, "WaitRuns", s.WaitRuns(suiteContext(t, suiteTimeout), c.key, call.Path, c.runs), "")
			if runs := s.Runs(c.key, call.Path); runs != c.runs {
				t.Errorf("call ran %d times, want %d", runs, c.runs)
			}
			_, err = s.Service.Call(suiteContext(t, suiteTimeout), s.Server, suiteCall(c.method, "other"))
			wantKind(t, "second call", err, c.after)
		})
	}
	t.Run("probed", func(t *testing.T) {
		s := newSubject(t)
		wantKind(t, "Probe", s.Service.Probe(suiteContext(t, suiteTimeout), s.Server), "")
		ended, cancel := context.WithCancel(suiteContext(t, suiteTimeout))
		cancel()
		wantKind(t, "Probe with an ended context", s.Service.Probe(ended, s.Server), errkind.Canceled)
		if runs := s.Runs("", "/"); runs != 0 {
			t.Errorf("probe ran %d calls, want 0", runs)
		}
	})
	t.Run("revived after a crash", func(t *testing.T) {
		s := newSubject(t)
		ctx := suiteContext(t, suiteTimeout)
		s.SetFaults(PlainFaults{Crash: true})
		_, err := s.Service.Call(ctx, s.Server, suiteCall("POST", "k"))
		wantKind(t, "Call that crashes", err, errkind.ServerFailed)
		s.Revive()
		_, err = s.Service.Call(ctx, s.Server, suiteCall("POST", "l"))
		wantKind(t, "Call after Revive", err, "")
	})
}
