package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// upgradedEngines are engines that start again in place with software v2, under their ids and
// addresses, when the first stream of a request breaks off. They register before they accept
// connections, so that the store knows of it before this process does.
type upgradedEngines struct {
	*environment
	software core.SoftwareVersion // that the engines run; guarded by the environment's mu
}

// stream streams eight events whose data names the software that made them.
func (u *upgradedEngines) stream(_ core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
	u.mu.Lock()
	software := u.software
	u.mu.Unlock()
	head := core.RelayResponse{Status: 200}
	if request.After == 0 {
		head.ConnectionAge = time.Minute // the first streams run on kept connections
	}
	if err := sink.Head(head); err != nil {
		return core.RelayResponse{}, err
	}
	for id := request.After + 1; id <= 8; id++ {
		if request.After == 0 && software == "v1" && id > 4 {
			u.setSoftware("v2", "v2", "v2")
			u.mu.Lock()
			u.software = "v2"
			u.mu.Unlock()
			return core.RelayResponse{}, errkind.New(errkind.ServerFailed, "stream broken by the test")
		}
		if err := sink.Event(core.Event{ID: id, Data: string(software), Version: 1}); err != nil {
			return core.RelayResponse{}, err
		}
	}
	return core.RelayResponse{}, nil
}

func newUpgradedEngines(t *testing.T) (*upgradedEngines, *Service) {
	t.Helper()
	u := &upgradedEngines{newEnvironment(t), "v1"}
	u.environment.stream = u.stream
	u.setSoftware("v1", "v1", "v1")
	return u, u.waitReady(u.start("vm-1"))
}

// isJoined reports whether a text has events of two software versions.
func isJoined(events []string) bool {
	return slices.Contains(events, "v1") && slices.Contains(events, "v2")
}

// TestTextIsNotJoinedAtServersRestartedInPlace guards against items that go on at a server
// whose registration was read before it started again with other software.
func TestTextIsNotJoinedAtServersRestartedInPlace(t *testing.T) {
	for round := range 5 {
		u, service := newUpgradedEngines(t)
		id := core.JobID(fmt.Sprint("j", round))
		if err := service.Submit(t.Context(), newJob(id, 4)); err != nil {
			t.Fatal(err)
		}
		u.eventually("all results", func() bool { return len(u.readResults(service, id).Results) == 4 })
		for _, result := range u.readResults(service, id).Results {
			if events := strings.Split(result.Text, "\n"); isJoined(events) || len(events) != 8 {
				t.Errorf("text %q", events)
			}
		}
		service.Stop()
	}
}

// TestStreamIsNotJoinedAtServersRestartedInPlace does the same for a stream within one answer
// and for one that its caller resumes.
func TestStreamIsNotJoinedAtServersRestartedInPlace(t *testing.T) {
	for range 5 {
		_, first := newUpgradedEngines(t)
		sink := &textSink{}
		_, err := first.ForwardEvents(t.Context(), streamRequest("s"), sink)
		if isJoined(sink.events) {
			t.Errorf("one answer has events %q, %v", sink.events, err)
		}
		first.Stop()

		u, service := newUpgradedEngines(t)
		u.beginStream(service, "s") // v1, left after its first event
		u.setSoftware("v2", "v2", "v2")
		u.mu.Lock()
		u.software = "v2"
		u.mu.Unlock()
		if text, err := resume(t.Context(), service, "t", "s"); strings.Contains(text, "v2") {
			t.Errorf("a stream of v1 is resumed with %q, %v", text, err)
		}
		service.Stop()
	}
}
