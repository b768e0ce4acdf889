package relay

import (
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

// publishRoute publishes the next version of the route table, with one more route.
func (s *environment) publishRoute(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.published.Table
	next.Version++
	next.Routes = append(append([]core.Route(nil), next.Routes...), core.Route{
		Name: prefix, Host: host, Prefix: prefix, Kind: core.RouteIdempotent, Attempts: 1, Timeout: time.Second,
		Services: []core.WeightedService{{Service: plainService, Weight: 1}},
	})
	s.published.Table = &next
}

// failReads makes all reads of the registry fail, or succeed again with nil.
func (s *environment) failReads(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registryErr = err
}

// TestAddedRouteIsNotRefusedWithAnOldTable guards against a final refusal of a path whose
// route the operator has added, by a process that could not read the new table.
func TestAddedRouteIsNotRefusedWithAnOldTable(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	s.failReads(errkind.New(errkind.StoreUnavailable, "the store is away"))
	s.publishRoute("/added/")
	_, err := service.Admit(t.Context(), host, "/added/x", noKey)
	if answer := errkind.AnswerTo(err); err == nil || answer.Status != 503 || !answer.Retryable || answer.Execution != errkind.NotRun {
		t.Errorf("while the table can't be read: %v, want a refusal that can be retried", err)
	}
	s.failReads(nil)
	if admission, err := service.Admit(t.Context(), host, "/added/x", noKey); err != nil || admission.Route.Name != "/added/" {
		t.Errorf("once the table can be read: %+v, %v", admission.Route, err)
	}
	if _, err := service.Admit(t.Context(), host, "/never/x", noKey); !errkind.Is(err, errkind.NotFound) {
		t.Errorf("path that has no route in the newest table: %v", err)
	}
}

// TestNewerAnswerOfAPeerIsUsed guards against a process that keeps an old table although a
// peer answers for the store with a newer one.
func TestNewerAnswerOfAPeerIsUsed(t *testing.T) {
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	s.mu.Lock()
	s.published.Stale = true
	s.mu.Unlock()
	s.publishRoute("/added/")
	s.waitVersion(service)
}
