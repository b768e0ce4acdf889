package relay

import (
	"context"
	"fmt"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
)

// setSoftware sets the software version of the engines, by their order.
func (s *environment) setSoftware(versions ...core.SoftwareVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append([]core.ServerEntry(nil), s.servers...)
	engine := 0
	for i := range s.servers {
		if s.servers[i].VM.Kind == core.KindEngine {
			s.servers[i].VM.Software = versions[engine]
			engine++
		}
	}
}

// breakingStream streams count events whose data names the server's software. The first
// stream of each request breaks off after half of them.
func breakingStream(count int) func(core.VM, core.EventsRequest, ports.EventSink) (core.RelayResponse, error) {
	return func(server core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
		if err := sink.Head(core.RelayResponse{Status: 200}); err != nil {
			return core.RelayResponse{}, err
		}
		for id := request.After + 1; id <= count; id++ {
			if request.After == 0 && id > count/2 {
				return core.RelayResponse{}, errkind.New(errkind.ServerFailed, "stream broken by the test")
			}
			if err := sink.Event(core.Event{ID: id, Data: string(server.Software), Version: 1}); err != nil {
				return core.RelayResponse{}, err
			}
		}
		return core.RelayResponse{}, nil
	}
}

// TestItemIsNotJoinedFromTwoSoftwareVersions breaks off the first run of each item, with
// one engine of another software beside the item's, and with no other one of its own.
func TestItemIsNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	for _, versions := range [][]core.SoftwareVersion{{"v1", "v1", "v2"}, {"v1", "v2", "v3"}} {
		t.Run(fmt.Sprint(versions), func(t *testing.T) {
			s := newEnvironment(t)
			s.setSoftware(versions...)
			s.stream = breakingStream(8)
			service := s.waitReady(s.start("vm-1"))
			if err := service.Submit(context.Background(), newJob("j", 12)); err != nil {
				t.Fatal(err)
			}
			s.eventually("all results", func() bool { return len(s.readResults(service, "j").Results) == 12 })
			for _, result := range s.readResults(service, "j").Results {
				if result.Text[:2] != result.Text[len(result.Text)-2:] {
					t.Errorf("%s: text %q is joined from two versions", result.Item, result.Text)
				}
			}
		})
	}
}

// textSink collects the data of a caller's stream.
type textSink struct{ events []string }

func (*textSink) Head(core.RelayResponse) error { return nil }

func (k *textSink) Event(event core.Event) error {
	k.events = append(k.events, event.Data)
	return nil
}

// TestAnswerIsNotJoinedFromTwoSoftwareVersions breaks off the first attempt of streams, with
// one engine of other software beside the stream's, and with no other one of its own.
func TestAnswerIsNotJoinedFromTwoSoftwareVersions(t *testing.T) {
	for _, c := range []struct {
		versions []core.SoftwareVersion
		goesOn   bool
	}{{[]core.SoftwareVersion{"v1", "v1", "v1"}, true}, {[]core.SoftwareVersion{"v1", "v2", "v3"}, false}} {
		for range 5 { // which engine is first is random
			s := newEnvironment(t)
			s.setSoftware(c.versions...)
			s.stream = breakingStream(8)
			service, sink := s.waitReady(s.start("vm-1")), &textSink{}
			_, err := service.ForwardEvents(t.Context(), core.EventsRequest{RelayRequest: core.RelayRequest{ID: "s", Host: host, Target: "/stream/x", Model: "m"}}, sink)
			if (err == nil) != c.goesOn || len(sink.events) < 4 || sink.events[0] != sink.events[len(sink.events)-1] {
				t.Errorf("%v: %v, %v", c.versions, sink.events, err)
			}
		}
	}
}
