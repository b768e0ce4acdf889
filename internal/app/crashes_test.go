package app_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest"
)

// TestCrashingRequestCrashesAtMostTwoServers sends a request that crashes every
// engine running it through three entry processes in turn, each time with a new
// id.
func TestCrashingRequestCrashesAtMostTwoServers(t *testing.T) {
	const marker = "killer"
	engines := []core.ServerID{"engine-1", "engine-2", "engine-3"}
	c := newCluster(t, 3)
	c.setEngineFaults(backendtest.EngineFaults{CrashMarker: marker})
	refused := 0
	for i := range 20 {
		s := c.services[i%len(c.services)]
		request := newCompletion(core.RequestID(fmt.Sprint("resend-", i)))
		request.Prompt = marker + " " + request.Prompt
		err := s.Complete(c.ctx, request, nil)
		if err == nil {
			_, err = c.readAnswer(s, request.ID, 0)
		}
		if errkind.Is(err, errkind.CrashesServers) {
			refused++
		}
	}
	crashes := 0
	for _, id := range engines {
		crashes += c.engine.Server(id).Counts().Crashes
	}
	if crashes > 2 {
		t.Errorf("%d engine crashes, want at most 2", crashes)
	}
	if refused < 19 {
		t.Errorf("%d of 20 sends were refused as crashing servers, want at least 19", refused)
	}
	if err := c.services[0].Complete(c.ctx, newCompletion("innocent"), nil); err != nil {
		t.Fatal(err)
	}
	if _, err := c.readAnswer(c.services[0], "innocent", 0); err != nil {
		t.Errorf("another request of the same caller failed: %v", err)
	}
}

// crashingPlain crashes each plain server that runs a call with the marker.
type crashingPlain struct {
	*backendtest.Plain
	crashes *atomic.Int32
}

const crashMarker = "killer"

func (p crashingPlain) Call(ctx context.Context, server core.VM, request core.PlainRequest) (core.PlainResponse, error) {
	marked := strings.Contains(request.Path, crashMarker)
	if marked {
		p.SetFaults(server.ID, backendtest.PlainFaults{Crash: true})
	}
	response, err := p.Plain.Call(ctx, server, request)
	if marked && errkind.Is(err, errkind.ServerFailed) {
		p.crashes.Add(1)
	}
	return response, err
}

// TestCrashingCallCrashesAtMostTwoServers checks that a call that crashes every
// plain server is detected like a completion, whether or not the service may
// retry it.
func TestCrashingCallCrashesAtMostTwoServers(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			var crashes atomic.Int32
			c := newClusterWith(t, clusterOptions{size: 3, timeout: testTimeout, deployments: testDeployments,
				wrapPorts: func(p *app.Ports) { p.Plain = crashingPlain{p.Plain.(*backendtest.Plain), &crashes} }})
			vms := append([]core.VM(nil), backendServers...)
			for i := 3; i <= 4; i++ {
				vms = append(vms, core.VM{ID: core.ServerID(fmt.Sprint("desk-", i)), Kind: core.KindPlain, Service: "desk",
					Address: fmt.Sprint("d", i), Zone: "z1", Region: "r", State: core.VMLive})
			}
			c.setVMList(vms)
			c.await("four plain servers known to every service", func() bool {
				for _, s := range c.services {
					if len(s.State().(app.State).Servers) != len(vms) {
						return false
					}
				}
				return true
			})
			call := func(i int, path string) error {
				_, err := c.services[i%3].Call(c.ctx, core.PlainRequest{
					ID: core.RequestID(fmt.Sprint("call-", i)), Caller: donor, Deployment: desk, Method: method, Path: path})
				return err
			}
			refused := 0
			for i := range 12 {
				err := call(i, "/"+crashMarker)
				if errkind.Is(err, errkind.CrashesServers) {
					refused++
				} else if errkind.AnswerTo(err).Execution == errkind.NotRun {
					t.Errorf("send %d was refused as not run: %v", i, err)
				}
			}
			if crashes.Load() > 2 {
				t.Errorf("%d server crashes, want at most 2", crashes.Load())
			}
			if refused < 10 {
				t.Errorf("%d of 12 sends were refused as crashing servers, want at least 10", refused)
			}
			if err := call(0, "/innocent"); err != nil {
				t.Errorf("another call failed: %v", err)
			}
		})
	}
}

// TestCutRequestIsNotReportedAsNotRun checks that a request is not reported as
// not run when an attempt was cut and then no server accepts the retry.
func TestCutRequestIsNotReportedAsNotRun(t *testing.T) {
	c := newCluster(t, 1)
	c.plain.SetFaults("desk-1", backendtest.PlainFaults{Crash: true})
	c.plain.SetFaults("desk-2", backendtest.PlainFaults{Refuse: true})
	_, err := c.services[0].Call(c.ctx, core.PlainRequest{ID: "get", Caller: donor, Deployment: desk, Method: "GET", Path: "/"})
	if err == nil || errkind.AnswerTo(err).Execution == errkind.NotRun {
		t.Errorf("the call ran at least once and ended with %v, want an error that does not report it as not run", err)
	}
	request := newCompletion("cut")
	request.Prompt = crashMarker + request.Prompt
	c.setEngineFaults(backendtest.EngineFaults{CrashMarker: crashMarker})
	c.engine.Server("engine-2").Crash()
	c.engine.Server("engine-3").Crash()
	c.await("two crashed engines known", func() bool {
		return unreachable(c.services[0], "engine-2") && unreachable(c.services[0], "engine-3")
	})
	if err := c.services[0].Complete(c.ctx, request, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := c.readAnswer(c.services[0], request.ID, 0); err == nil || errkind.AnswerTo(err).Execution == errkind.NotRun {
		t.Errorf("the completion ran at least once and ended with %v, want an error that does not report it as not run", err)
	}
}
