package relay

import (
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// TestReadyProcessHasServers covers the time between the first read of the backend
// servers and the update of routing, in which every request is refused.
func TestReadyProcessHasServers(t *testing.T) {
	s := newEnvironment(t)
	service := s.create("vm-1")
	service.routes.Apply(s.published.Table)
	service.registry.Observe(&core.Registrations{Entries: s.servers}, time.Now())
	if _, err := forward(t, service, "/lookup/x"); !errkind.Is(err, errkind.Starting) {
		t.Fatalf("request before the update of routing: %v, want %s", err, errkind.Starting)
	}
	if service.Ready() {
		t.Error("the process is ready although it refuses every request")
	}
	service.updateRouting()
	if _, err := forward(t, service, "/lookup/x"); err != nil || !service.Ready() {
		t.Errorf("after the update: error %v, ready %v", err, service.Ready())
	}
}
