package relay

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports"
	"fescuespar/internal/ports/porttest/faults"
)

const (
	crashingBody  = "crash"
	restartTime   = 300 * time.Millisecond // of a server that has crashed
	contactTime   = 4 * time.Second        // within which processes must learn of a crash
	maxRetries    = 3                      // that may reach servers later than contactTime after the third crash
	crashesBefore = 3                      // crashes from which that time counts
)

// crashingServers are plain servers that die when they run a request with crashingBody,
// and start again as new instances.
type crashingServers struct {
	s *environment

	mu      sync.Mutex
	dead    map[core.ServerID]bool
	crashes []time.Time
	sent    []time.Time // arrivals of crashing requests at live servers
	isSound bool        // no request crashes servers any more
	keepIDs bool        // servers start again under their ids

	deathsLeft map[core.RequestID]int // servers that still die under a request
}

func newCrashingServers(s *environment) *crashingServers {
	servers := &crashingServers{s: s, dead: make(map[core.ServerID]bool)}
	s.exchange, s.isDead = servers.run, servers.isDead
	s.stream = func(server core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
		if response, err := servers.run(server, request.RelayRequest); err != nil {
			return response, err
		}
		return sendEvents(eventStreamType, 1, lastEvent, lastEvent)(request, sink)
	}
	return servers
}

func (c *crashingServers) isDead(id core.ServerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead[id]
}

func (c *crashingServers) run(server core.VM, request core.RelayRequest) (core.RelayResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[server.ID] {
		return core.RelayResponse{}, errkind.New(errkind.ServerRefused, "connection refused")
	}
	diesAnyway := c.deathsLeft[request.ID] > 0
	if c.isSound || string(request.Body.Bytes()) != crashingBody && !diesAnyway {
		return core.RelayResponse{Status: 200, Signature: "signed"}, nil
	}
	if diesAnyway {
		c.deathsLeft[request.ID]--
	}
	c.sent = append(c.sent, time.Now())
	c.crash(server.ID)
	return core.RelayResponse{}, errkind.New(errkind.ServerFailed, "EOF")
}

// crash ends a server and starts its next instance later. The caller holds mu.
func (c *crashingServers) crash(id core.ServerID) {
	c.dead[id] = true
	c.crashes = append(c.crashes, time.Now())
	time.AfterFunc(restartTime, func() {
		if c.keepIDs {
			c.mu.Lock()
			c.dead[id] = false
			c.mu.Unlock()
		}
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		for i := range c.s.servers {
			if c.s.servers[i].VM.ID != id {
				continue
			}
			c.s.servers[i].StartedUnixMs++
			if !c.keepIDs {
				c.s.servers[i].VM.ID = id + "+"
			}
		}
	})
}

// counts returns the number of crashes, and of requests that reached servers later than
// contactTime after the crash from which that time counts.
func (c *crashingServers) counts() (crashes, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.sent {
		if len(c.crashes) >= crashesBefore && at.Sub(c.crashes[crashesBefore-1]) > contactTime {
			late++
		}
	}
	return len(c.crashes), late
}

// send forwards a request of any kind of route and returns its error.
func (s *environment) send(service *Service, request core.RelayRequest) error {
	if !strings.HasPrefix(request.Target, "/stream/") {
		_, err := service.Forward(s.t.Context(), request)
		return err
	}
	request.Model = "m"
	_, err := service.ForwardEvents(s.t.Context(), core.EventsRequest{RelayRequest: request}, &streamRecorder{})
	return err
}

// TestCrashingRequestIsNotSentOn has a request that crashes each server that runs it and
// comes again under new ids at all processes, one of which starts late.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	cases := []struct {
		name, target string
		keepIDs      bool
	}{
		{"idempotent", "/lookup/x", false},
		{"at most once", "/once/x", false},
		{"stream", "/stream/x", false},
		{"one server that restarts under its id", "/lookup/x", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newEnvironment(t)
			servers := newCrashingServers(s)
			if servers.keepIDs = c.keepIDs; c.keepIDs {
				s.servers = slices.DeleteFunc(s.servers, func(e core.ServerEntry) bool { return e.VM.ID == "desk-1" || e.VM.ID == "desk-2" })
			}
			var processes []*Service
			for i := range 3 {
				processes = append(processes, s.waitReady(s.start(core.VMID(fmt.Sprint("vm-", i)))))
			}
			const (
				interval = 100 * time.Millisecond
				duration = contactTime + 3*time.Second
				sends    = int(duration / interval)
			)
			for i := range sends {
				if i == sends/2 {
					processes = append(processes, s.waitReady(s.start("vm-late")))
				}
				request := core.RelayRequest{ID: core.RequestID(fmt.Sprint("r-", i)), Method: "POST", Host: host, Target: c.target, Body: core.NewBody([]byte(crashingBody))}
				if s.send(processes[i%len(processes)], request) == nil {
					t.Fatalf("request %d succeeded", i)
				}
				time.Sleep(interval)
			}
			crashes, late := servers.counts()
			t.Logf("%d crashes, %d requests sent later than %v after the third", crashes, late, contactTime)
			if late > maxRetries {
				t.Errorf("%d requests reached servers later than %v after the third crash, want at most %d; %d crashes", late, contactTime, maxRetries, crashes)
			}
		})
	}
}

// TestRequestUnderDyingServersRunsAgain has a sound request under which two servers die.
// It is refused as not run for a while, and then runs again at any process.
func TestRequestUnderDyingServersRunsAgain(t *testing.T) {
	t.Parallel()
	s := newEnvironment(t)
	servers := newCrashingServers(s)
	one, two := s.waitReady(s.start("vm-1")), s.waitReady(s.start("vm-2"))
	request := func(body string) core.RelayRequest {
		return core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x", Body: core.NewBody([]byte(body))}
	}
	if err := s.send(one, request(crashingBody)); !errkind.Is(err, errkind.ServerFailed) {
		t.Errorf("two servers died: %v, want %s", err, errkind.ServerFailed)
	}
	servers.mu.Lock()
	servers.isSound = true
	servers.mu.Unlock()
	s.eventually("the deaths are stored", func() bool { return len(one.crashes.AllUnstored()) == 0 })
	for _, service := range []*Service{one, two} {
		s.eventually("the record is known", func() bool { return service.State().Crashes.Held == 1 })
		if err := s.send(service, request(crashingBody)); !errkind.Is(err, errkind.Quarantined) {
			t.Errorf("just after the deaths: %v, want %s", err, errkind.Quarantined)
		}
	}
	s.eventually("another request is served", func() bool { return s.send(one, request("other")) == nil })
	s.eventually("the request is served", func() bool { return s.send(two, request(crashingBody)) == nil })
	s.eventually("no record is left", func() bool {
		return one.State().Crashes.Records == 0 && two.State().Crashes.Records == 0
	})
	if err := s.send(one, request(crashingBody)); err != nil {
		t.Errorf("after the trial: %v", err)
	}
}

// TestServerErrorDoesNotClearACrashingRequest has servers that give a request up before
// the point at which it crashes them.
func TestServerErrorDoesNotClearACrashingRequest(t *testing.T) {
	t.Parallel()
	s := newEnvironment(t)
	newCrashingServers(s)
	service := s.waitReady(s.start("vm-1"))
	request := core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x", Body: core.NewBody([]byte(crashingBody))}
	if err := s.send(service, request); err == nil {
		t.Error("request succeeded")
	}
	s.eventually("the deaths are known", func() bool { return service.State().Crashes.Held == 1 })
	s.mu.Lock()
	s.exchange = func(core.VM, core.RelayRequest) (core.RelayResponse, error) {
		return core.RelayResponse{Status: 504}, nil
	}
	s.mu.Unlock()
	s.eventually("a trial is answered with an error", func() bool { return s.send(service, request) == nil })
	if err := s.send(service, request); !errkind.Is(err, errkind.Quarantined) {
		t.Errorf("after a server error: %v, want %s", err, errkind.Quarantined)
	}
}

// TestDeathIsRecordedAfterOutage loses the table service while servers die.
func TestDeathIsRecordedAfterOutage(t *testing.T) {
	t.Parallel()
	s := newEnvironment(t)
	newCrashingServers(s)
	one, two := s.waitReady(s.start("vm-1")), s.waitReady(s.start("vm-2"))
	s.tables.Inject(faults.Rule{Operation: faults.Commit, Event: faults.Refuse, Table: core.TableCrash, Count: 2})
	request := core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x", Body: core.NewBody([]byte(crashingBody))}
	if err := s.send(one, request); err == nil {
		t.Error("request succeeded")
	}
	s.eventually("the process knows of the deaths that it saw", func() bool { return one.State().Crashes.Held == 1 })
	if err := s.send(one, request); !errkind.Is(err, errkind.Quarantined) {
		t.Errorf("at the process that saw the deaths: %v, want %s", err, errkind.Quarantined)
	}
	s.eventually("the other process knows of the deaths", func() bool { return two.State().Crashes.Held == 1 })
}

// TestCrashRecordsAreReadSeldomInAnOutage counts the reads that a store which is away gets.
func TestCrashRecordsAreReadSeldomInAnOutage(t *testing.T) {
	t.Parallel()
	s := newEnvironment(t)
	service := s.waitReady(s.start("vm-1"))
	s.tables.Inject(faults.Rule{Operation: faults.TableRead, Event: faults.Refuse, Table: core.TableCrash, Count: 1})
	s.eventually("a read fails", func() bool { return service.crashReadNotBefore.Load() > 0 })
	notBefore := time.Unix(0, service.crashReadNotBefore.Load())
	if pause := time.Until(notBefore); pause < crashReadBackoff/2 || pause > contactTime {
		t.Errorf("next read in %v, want about %v", pause, crashReadBackoff)
	}
	service.watchCrashes()
	if service.crashesRead.Load() {
		t.Error("the records are read again at once")
	}
}

// TestUnknownClaimOfATrialIsReleased loses the reply to the claim of a trial for longer
// than its process waits. The request is refused then, and must not stay so.
func TestUnknownClaimOfATrialIsReleased(t *testing.T) {
	t.Parallel()
	s := newEnvironment(t)
	servers := newCrashingServers(s)
	service := s.waitReady(s.start("vm-1"))
	request := core.RelayRequest{ID: "r", Method: "POST", Host: host, Target: "/lookup/x", Body: core.NewBody([]byte(crashingBody))}
	if err := s.send(service, request); err == nil {
		t.Error("request succeeded")
	}
	servers.mu.Lock()
	servers.isSound = true
	servers.mu.Unlock()
	s.eventually("the deaths are stored", func() bool {
		return service.State().Crashes.Held == 1 && len(service.crashes.AllUnstored()) == 0
	})
	s.tables.Inject(faults.Rule{Operation: faults.Commit, Event: faults.DropAfter, Table: core.TableCrash, Count: 1})
	s.tables.Inject(faults.Rule{Operation: faults.TableRead, Event: faults.Refuse, Table: core.TableCrash, Count: 5})
	s.eventually("the request is served", func() bool { return s.send(service, request) == nil })
}

// TestScoringCallsRunAfterDeaths has servers die under each scoring call, more often
// than a caller's request may cost, before one is answered.
func TestScoringCallsRunAfterDeaths(t *testing.T) {
	t.Parallel()
	s := newEnvironment(t)
	servers := newCrashingServers(s)
	const deathsPerCall = 7
	servers.deathsLeft = map[core.RequestID]int{"score-j-0": deathsPerCall, "score-j-1": deathsPerCall}
	service := s.waitReady(s.start("vm-1"))
	if err := service.Submit(t.Context(), newJob("j", 2)); err != nil {
		t.Fatal(err)
	}
	s.eventually("all results", func() bool { return len(s.readResults(service, "j").Results) == 2 })
	for _, result := range s.readResults(service, "j").Results {
		if result.State != core.ItemCompleted {
			t.Errorf("item %s is %s", result.Item, result.State)
		}
	}
	if records := service.State().Crashes.Records; records != 0 {
		t.Errorf("%d crash records of scoring calls", records)
	}
}

// TestItemUnderDyingEnginesIsPlacedAgain has engines die under one item's runs, more often
// than a caller's request may cost, while other items run.
func TestItemUnderDyingEnginesIsPlacedAgain(t *testing.T) {
	t.Parallel()
	s := newEnvironment(t)
	servers := newCrashingServers(s)
	const deaths, items = 12, 8
	servers.deathsLeft = map[core.RequestID]int{"j-0": deaths}
	service := s.waitReady(s.start("vm-1"))
	job := newJob("j", items)
	for i := range job.Items {
		job.Items[i].Scorer = nil
	}
	if err := service.Submit(t.Context(), job); err != nil {
		t.Fatal(err)
	}
	s.eventually("all results", func() bool { return len(s.readResults(service, "j").Results) == items })
	for _, result := range s.readResults(service, "j").Results {
		if result.State != core.ItemCompleted {
			t.Errorf("item %s is %s", result.Item, result.State)
		}
	}
	if crashes, _ := servers.counts(); crashes != deaths {
		t.Errorf("%d engines died, want %d", crashes, deaths)
	}
}

// TestStreamsOfDyingServersAreTakenUp guards against callers who are refused because their
// streams were running when servers died, and against a request that crashes servers after
// an event of each run and is sent on without end.
func TestStreamsOfDyingServersAreTakenUp(t *testing.T) {
	for _, deaths := range []int{2, 1000} {
		s := newEnvironment(t)
		servers := newCrashingServers(s)
		s.stream = func(server core.VM, request core.EventsRequest, sink ports.EventSink) (core.RelayResponse, error) {
			if servers.isDead(server.ID) {
				return core.RelayResponse{}, errkind.New(errkind.ServerRefused, "connection refused")
			}
			if err := sink.Head(core.RelayResponse{Status: 200}); err != nil {
				return core.RelayResponse{}, err
			}
			for id := request.After + 1; id <= 100; id++ {
				if err := sink.Event(core.Event{ID: id, Data: "e", Version: 1}); err != nil {
					return core.RelayResponse{}, err
				}
				servers.mu.Lock()
				dies := len(servers.crashes) < deaths
				if dies {
					servers.crash(server.ID)
				}
				servers.mu.Unlock()
				if dies {
					return core.RelayResponse{}, errkind.New(errkind.ServerFailed, "EOF")
				}
			}
			return core.RelayResponse{}, nil
		}
		service := s.waitReady(s.start("vm-1"))
		request, sink := streamRequest("s"), &textSink{}
		_, err := service.ForwardEvents(t.Context(), request, sink)
		for n := 0; err != nil && n < 40; n++ {
			time.Sleep(restartTime / 3)
			request.ID, request.After, request.Resumes = core.RequestID(fmt.Sprint("t", n)), len(sink.events), "s"
			if _, err = service.ForwardEvents(t.Context(), request, sink); deaths == 2 && errkind.Is(err, errkind.Quarantined) {
				t.Fatalf("the stream is held after %d deaths of servers that ran it", deaths)
			}
		}
		switch crashes, _ := servers.counts(); {
		case deaths == 2 && (err != nil || len(sink.events) != 100):
			t.Errorf("%d events, %v", len(sink.events), err)
		case deaths > 2 && (!errkind.Is(err, errkind.Quarantined) || crashes > crashesBefore+maxRetries):
			t.Errorf("%d servers crashed, then %v", crashes, err)
		}
	}
}
