package relay

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
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
}

func newCrashingServers(s *environment) *crashingServers {
	servers := &crashingServers{s: s, dead: make(map[core.ServerID]bool)}
	s.exchange = servers.run
	return servers
}

func (c *crashingServers) run(server core.VM, request core.RelayRequest) (core.RelayResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[server.ID] {
		return core.RelayResponse{}, errkind.New(errkind.ServerRefused, "connection refused")
	}
	if string(request.Body) != crashingBody {
		return core.RelayResponse{Status: 200}, nil
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
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		for i := range c.s.servers {
			if c.s.servers[i].VM.ID == id {
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

// TestCrashingRequestIsNotSentOn has a request that crashes each server that runs it and
// comes again under new ids at all processes.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	t.Parallel()
	s := newEnvironment(t)
	servers := newCrashingServers(s)
	var processes []*Service
	for i := range 3 {
		processes = append(processes, s.waitReady(s.start(core.VMID(fmt.Sprint("vm-", i)))))
	}
	const (
		interval = 100 * time.Millisecond
		duration = contactTime + 3*time.Second
	)
	for i := range int(duration / interval) {
		request := core.RelayRequest{ID: core.RequestID(fmt.Sprint("r-", i)), Method: "POST", Host: host, Target: "/lookup/x", Body: []byte(crashingBody)}
		if _, err := processes[i%len(processes)].Forward(t.Context(), request); err == nil {
			t.Fatalf("request %d succeeded", i)
		}
		time.Sleep(interval)
	}
	crashes, late := servers.counts()
	t.Logf("%d crashes, %d requests sent later than %v after the third", crashes, late, contactTime)
	if late > maxRetries {
		t.Errorf("%d requests reached servers later than %v after the third crash, want at most %d; %d crashes", late, contactTime, maxRetries, crashes)
	}
}
