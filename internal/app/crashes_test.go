package app_test

import (
	"fmt"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest"
)

// TestKillingRequestCostsTwoServers sends a request that crashes every engine
// running it through three entry processes in turn, each time with a new id.
func TestKillingRequestCostsTwoServers(t *testing.T) {
	const marker = "killer"
	engines := []core.ServerID{"engine-1", "engine-2", "engine-3"}
	c := newCluster(t, 3)
	c.faultEngines(backendtest.EngineFaults{CrashMarker: marker})
	refused := 0
	for i := range 20 {
		s := c.services[i%len(c.services)]
		request := completion(core.RequestID(fmt.Sprint("resend-", i)))
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
		t.Errorf("%d engines crashed, want at most 2", crashes)
	}
	if refused < 19 {
		t.Errorf("%d of 20 sends were refused as crashing servers, want all but perhaps the first", refused)
	}
	if err := c.services[0].Complete(c.ctx, completion("innocent"), nil); err != nil {
		t.Fatal(err)
	}
	if _, err := c.readAnswer(c.services[0], "innocent", 0); err != nil {
		t.Errorf("another request of the same caller: %v", err)
	}
}
