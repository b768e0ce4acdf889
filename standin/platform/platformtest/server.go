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

// Server is a platform that serves on a loopback port until its test ends.
// Control calls that fail end the test.
type Server struct {
	URL    string
	Client *platform.Client
	t      *testing.T
}

var _ porttest.Control = (*Server)(nil)

// Start starts a platform.
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
func (s *Server) Inject(order faults.Order) {
	s.t.Helper()
	s.check(s.Client.Fault(context.Background(), order))
}

// ClearFaults implements porttest.Control.
func (s *Server) ClearFaults() {
	s.t.Helper()
	s.check(s.Client.ClearFaults(context.Background()))
}

// AwaitHeld implements porttest.Control.
func (s *Server) AwaitHeld(ctx context.Context, count int) error {
	return s.Client.AwaitHeld(ctx, count)
}

// ReleaseHeld implements porttest.Control.
func (s *Server) ReleaseHeld() int {
	s.t.Helper()
	released, err := s.Client.ReleaseHeld(context.Background())
	s.check(err)
	return released
}

// AddVM registers a VM or replaces it.
func (s *Server) AddVM(vm core.VM) {
	s.t.Helper()
	s.check(s.Client.AddVM(context.Background(), vm))
}

// RemoveVM removes a VM.
func (s *Server) RemoveVM(id core.ServerID) {
	s.t.Helper()
	s.check(s.Client.RemoveVM(context.Background(), id))
}

// Counters returns the platform's counters.
func (s *Server) Counters() platform.Counters {
	s.t.Helper()
	counters, err := s.Client.Counters(context.Background())
	s.check(err)
	return counters
}

func (s *Server) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}
