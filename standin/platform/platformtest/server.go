// Package platformtest starts platform stand-ins for tests.
package platformtest

import (
	"context"
	"net/http/httptest"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/ports/porttest"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/standin/platform"
)

// Server is a platform that serves on a loopback port until its test ends. A
// control call that fails also fails the test.
type Server struct {
	URL    string
	Client *platform.Client
	t      *testing.T
}

var _ porttest.Control = (*Server)(nil)

// Start starts a platform that is stopped when the test ends.
func Start(t *testing.T, options platform.Options) *Server {
	t.Helper()
	handler := platform.New(options)
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		handler.Close()
	})
	return &Server{URL: server.URL, Client: platform.NewClient(server.URL), t: t}
}

// Inject implements porttest.Control.
func (s *Server) Inject(rule faults.Rule) {
	s.t.Helper()
	s.requireNoError(s.Client.AddFaultRule(context.Background(), rule))
}

// ClearFaults implements porttest.Control.
func (s *Server) ClearFaults() {
	s.t.Helper()
	s.requireNoError(s.Client.ClearFaults(context.Background()))
}

// AwaitHeld implements porttest.Control.
func (s *Server) AwaitHeld(ctx context.Context, count int) error {
	return s.Client.AwaitHeld(ctx, count)
}

// ReleaseHeld implements porttest.Control.
func (s *Server) ReleaseHeld() int {
	s.t.Helper()
	released, err := s.Client.ReleaseHeld(context.Background())
	s.requireNoError(err)
	return released
}

// AddVM registers a VM or replaces it.
func (s *Server) AddVM(vm core.VM) {
	s.t.Helper()
	s.requireNoError(s.Client.AddVM(context.Background(), vm))
}

// RemoveVM removes a VM.
func (s *Server) RemoveVM(id core.ServerID) {
	s.t.Helper()
	s.requireNoError(s.Client.RemoveVM(context.Background(), id))
}

// Counters returns the platform's counters.
func (s *Server) Counters() platform.Counters {
	s.t.Helper()
	counters, err := s.Client.Counters(context.Background())
	s.requireNoError(err)
	return counters
}

func (s *Server) requireNoError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}
