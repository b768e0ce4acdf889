package relay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/software"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/porttest/faults"
)

// brokenSink is a caller that leaves after some events.
type brokenSink struct {
	textSink
	leave context.CancelFunc
	after int
}

func (k *brokenSink) Event(event core.Event) error {
	_ = k.textSink.Event(event)
	if len(k.events) == k.after {
		k.leave()
		return errkind.New(errkind.Canceled, "the caller left")
	}
	return nil
}

func streamRequest(id core.RequestID) core.EventsRequest {
	return core.EventsRequest{RelayRequest: core.RelayRequest{ID: id, Host: host, Target: "/stream/" + string(id), Model: "m"}}
}

// beginStream begins a stream at a process and leaves it after an event. It returns the
// software that began it, empty if none did.
func (s *environment) beginStream(service *Service, id core.RequestID) string {
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	sink := &brokenSink{leave: cancel, after: 1}
	_, _ = service.ForwardEvents(ctx, streamRequest(id), sink)
	return strings.Join(sink.events, " ")
}

// resume resumes a stream at a process after its first event.
func resume(ctx context.Context, service *Service, id, resumes core.RequestID) (string, error) {
	request, sink := streamRequest(id), &textSink{}
	request.After, request.Resumes = 1, resumes
	_, err := service.ForwardEvents(ctx, request, sink)
	return strings.Join(sink.events, " "), err
}

// nameSoftware streams four events whose data names the server's software.
func nameSoftware(server core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
	if err := sink.Head(core.RelayResponse{Status: 200}); err != nil {
		return core.RelayResponse{}, err
	}
	time.Sleep(20 * time.Millisecond)
	for id := request.After + 1; id <= 4; id++ {
		if err := sink.Event(core.Event{ID: id, Data: string(server.Software), Version: 1}); err != nil {
			return core.RelayResponse{}, err
		}
	}
	return core.RelayResponse{}, nil
}

// newMixedService returns a process at which a stream of v1 has begun, the base version, and
// whose engines are of v2 now.
func newMixedService(t *testing.T) (*environment, *Service) {
	t.Helper()
	s := newEnvironment(t)
	s.stream = nameSoftware
	s.setSoftware("v1", "v1", "v1")
	service := s.waitReady(s.start("vm-1"))
	s.beginStream(service, "base")
	s.replaceSoftware(service, "v2", "v2", "v2", "v2")
	return s, service
}

// replaceSoftware sets the software of the engines and waits until a process knows a version.
func (s *environment) replaceSoftware(service *Service, known core.SoftwareVersion, versions ...core.SoftwareVersion) {
	s.t.Helper()
	s.setSoftware(versions...)
	s.eventually("versions known", func() bool { return service.servers.ServesSoftware(core.KindEngine, engineService, known) })
}

// TestResumedStreamGoesOnAtItsSoftware guards against streams that callers resume, at a
// process which never saw them, and that go on at servers of other software.
func TestResumedStreamGoesOnAtItsSoftware(t *testing.T) {
	s := newEnvironment(t)
	s.stream = nameSoftware
	s.setSoftware("v1", "v1", "v1")
	first := s.waitReady(s.start("vm-1"))
	began := map[core.RequestID]string{"early": s.beginStream(first, "early")} // while there is one version
	if text, err := resume(t.Context(), first, "t", ""); err != nil || text != "v1 v1 v1" {
		t.Errorf("without a name, while one version serves: %q, %v", text, err)
	}
	s.replaceSoftware(first, "v2", "v1", "v2", "v2")
	var begun sync.Map
	var streams sync.WaitGroup
	for n := range 12 { // at once, so that they spread over the engines
		streams.Go(func() {
			begun.Store(core.RequestID(fmt.Sprint("s", n)), s.beginStream(first, core.RequestID(fmt.Sprint("s", n))))
		})
	}
	streams.Wait()
	begun.Range(func(id, version any) bool {
		began[id.(core.RequestID)] = version.(string)
		return true
	})
	first.Stop()
	second := s.waitReady(s.start("vm-2"))
	versions := make(map[string]int)
	for id, version := range began {
		versions[version]++
		text, err := resume(t.Context(), second, "t-"+id, id)
		if want := strings.Join([]string{version, version, version}, " "); err != nil || text != want {
			t.Errorf("%s, begun by %q, goes on with %q, %v", id, version, text, err)
		}
	}
	if versions["v1"] < 2 || versions["v2"] == 0 || len(versions) != 2 {
		t.Errorf("streams began at %v, want both versions", versions)
	}
	if text, err := resume(t.Context(), second, "t", ""); !errkind.Is(err, errkind.SoftwareUnknown) || text != "" {
		t.Errorf("without a name, while two versions serve: %q, %v", text, err)
	}
	s.setSoftware("v2", "v2", "v2")
	s.eventually("old version gone", func() bool { return !second.servers.ServesSoftware(core.KindEngine, engineService, "v1") })
	if text, err := resume(t.Context(), second, "t", "early"); !errkind.Is(err, errkind.NoServer) || text != "" {
		t.Errorf("a stream of a version that has left: %q, %v", text, err)
	}
}

// TestStreamDoesNotBeginUnrecorded guards against a stream whose software is not recorded
// when its first event is passed on, and against one that is resumed while that can't be
// read.
func TestStreamDoesNotBeginUnrecorded(t *testing.T) {
	s, service := newMixedService(t)
	s.tables.Inject(faults.Outage(time.Minute))
	if text := s.beginStream(service, "other"); text != "" {
		t.Errorf("a stream of %q began while the store was away", text)
	}
	if text, err := resume(t.Context(), service, "t", "base"); !errkind.Is(err, errkind.StoreUnavailable) || text != "" {
		t.Errorf("resumed while the store is away: %q, %v", text, err)
	}
	s.tables.ClearFaults()
	if text := s.beginStream(service, "other"); text != "v2" {
		t.Errorf("a stream of %q began once the store was back", text)
	}
}

// TestRowsOfStreamsAreRemoved guards against rows of streams that stay for ever.
func TestRowsOfStreamsAreRemoved(t *testing.T) {
	s, service := newMixedService(t)
	rows := func() (count int) {
		for _, partition := range software.Partitions() {
			found, err := s.tables.Scan(t.Context(), core.TableStream, partition, "", 100)
			if err != nil {
				t.Fatal(err)
			}
			count += len(found)
		}
		return count
	}
	s.beginStream(service, "without a deadline")
	request := streamRequest("with one")
	request.Deadline = time.Now().Add(time.Second)
	if _, err := service.ForwardEvents(t.Context(), request, &textSink{}); err != nil || rows() != 2 {
		t.Fatalf("%d rows, %v", rows(), err)
	}
	s.eventually("row removed after the caller's deadline", func() bool { return rows() == 1 })
	read, err := s.tables.Scan(t.Context(), core.TableStream, software.OwnPartition("vm-1"), "", 100)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if expired := service.software.ExpiredStreams(read, now, service.streamHorizon()); len(expired) != 0 {
		t.Errorf("rows %v expired at once", expired)
	}
	if expired := service.software.ExpiredStreams(read, now.Add(service.streamHorizon()), service.streamHorizon()); len(expired) != 1 {
		t.Errorf("rows %v expired after the horizon, want one", expired)
	}
}

// TestEndOfStreamCanBeResumed guards against the loss of a stream's software with its end:
// the process has sent all events, and the caller, cut off from them, resumes the stream.
func TestEndOfStreamCanBeResumed(t *testing.T) {
	s, service := newMixedService(t)
	if _, err := service.ForwardEvents(t.Context(), streamRequest("whole"), &textSink{}); err != nil {
		t.Fatal(err)
	}
	s.replaceSoftware(service, "v1", "v1", "v2", "v2")
	time.Sleep(200 * time.Millisecond) // for what the end of the stream may cause
	if text, err := resume(t.Context(), service, "t", "whole"); err != nil || text != "v2 v2 v2" {
		t.Errorf("resumed after its end: %q, %v", text, err)
	}
}

// TestAccountsMayUseTheSameIDs guards against a stream that goes on at the software of
// another account's stream of the same id.
func TestAccountsMayUseTheSameIDs(t *testing.T) {
	s, service := newMixedService(t)
	begin := func(account core.AccountName, versions ...core.SoftwareVersion) {
		s.replaceSoftware(service, versions[0], versions...)
		request := streamRequest("same")
		request.Account, request.HasAccounts = account, true
		if _, err := service.ForwardEvents(t.Context(), request, &textSink{}); err != nil {
			t.Fatal(err)
		}
	}
	begin("a", "v2", "v2", "v2")
	begin("b", "v3", "v3", "v3")
	s.replaceSoftware(service, "v2", "v1", "v2", "v3")
	request, sink := streamRequest("t"), &textSink{}
	request.Account, request.HasAccounts, request.After, request.Resumes = "a", true, 1, "same"
	if _, err := service.ForwardEvents(t.Context(), request, sink); err != nil || strings.Join(sink.events, " ") != "v2 v2 v2" {
		t.Errorf("the stream of account a goes on with %v, %v", sink.events, err)
	}
}
