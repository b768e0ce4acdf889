package app_test

import (
	"testing"

	"fescuespar/internal/core"
)

// pinnedDeployments returns the test deployments with the model pinned to a
// version and without its trainer.
func pinnedDeployments(version core.WeightVersion) []core.Deployment {
	served := testDeployments[1]
	served.Rollout = nil
	served.Versions.Pinned = version
	return []core.Deployment{testDeployments[0], served}
}

// TestPinLoadsVersionOnAllEngines pins a newer and then an older version.
// Completions must be answered all the time.
func TestPinLoadsVersionOnAllEngines(t *testing.T) {
	c := newCluster(t, 3)
	served := make(chan struct{})
	go func() {
		defer close(served)
		for number := 0; number < 60 && c.ctx.Err() == nil; number++ {
			id := core.RequestID("pin-" + string(rune('0'+number%10)) + string(rune('a'+number/10)))
			service := c.services[number%2]
			if err := service.Complete(c.ctx, newCompletion(id), nil); err != nil {
				t.Errorf("request %s: %v", id, err)
				return
			}
			for offset := 0; ; {
				part, err := service.ReadAnswer(c.ctx, donor, id, offset)
				if err != nil {
					t.Errorf("answer %s: %v", id, err)
					return
				}
				if part.Finish != "" {
					break
				}
				offset = part.Chunks[len(part.Chunks)-1].Offset + len(part.Chunks[len(part.Chunks)-1].Tokens)
			}
		}
	}()
	for base, version := range []core.WeightVersion{5, 3} {
		if _, err := c.services[0].Publish(c.ctx, "op", core.Generation(base+1), pinnedDeployments(version)); err != nil {
			t.Fatal(err)
		}
		for _, server := range []core.ServerID{"engine-1", "engine-2", "engine-3"} {
			if err := c.engine.Server(server).WaitVersion(c.ctx, version); err != nil {
				t.Fatalf("%s did not serve version %d: %v", server, version, err)
			}
		}
	}
	<-served
}
