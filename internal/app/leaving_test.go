package app_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"fescuespar/internal/adapters/settings"
	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/internal/tables"
)

// TestLeavingServerGetsNoNewWork marks an engine as leaving and checks that it
// gets no further streams.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 2)
	leaving := append([]core.VM(nil), backendServers...)
	leaving[0].State = core.VMLeaving
	c.setVMList(leaving)
	c.await("engine-1 known as leaving at every service", func() bool {
		for _, s := range c.services {
			for _, view := range s.State().(app.State).Servers {
				if view.VM.ID == "engine-1" && view.VM.State != core.VMLeaving {
					return false
				}
			}
		}
		return true
	})
	before := c.engine.Server("engine-1").Counts().Streams
	for i := range 40 {
		s, id := c.services[i%2], core.RequestID(fmt.Sprint("r", i))
		if err := s.Complete(c.ctx, newCompletion(id), nil); err != nil {
			t.Fatal(err)
		}
		if _, err := c.readAnswer(s, id, 0); err != nil {
			t.Fatal(err)
		}
	}
	if after := c.engine.Server("engine-1").Counts().Streams; after != before {
		t.Errorf("a leaving engine got %d new streams", after-before)
	}
}

// TestLeavingServerIsKnownWithin3Seconds checks the default poll interval of
// the VM list against the guarantee that a leaving server gets no new work
// after 3 s. In the worst case one poll just misses the change and the next one
// fails.
func TestLeavingServerIsKnownWithin3Seconds(t *testing.T) {
	const guaranteed = 3 * time.Second
	if worst := 2 * settings.Defaults().Intervals.VMListPoll; worst > guaranteed {
		t.Errorf("a change of the VM list is known after up to %v, guaranteed %v", worst, guaranteed)
	}
}

// TestShutdownFinishesRequestsInFlight shuts a process down while it streams an
// answer that is paused, and while it holds the lease of a deployment.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	c := newCluster(t, 2)
	owner, _ := c.coordinator()
	ownerVM := owner.State().(app.State).VM
	other := c.services[0]
	if other == owner {
		other = c.services[1]
	}
	c.setEngineFaults(backendtest.EngineFaults{HoldAfter: 4})
	if err := owner.Complete(c.ctx, newCompletion("held"), nil); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		owner.Shutdown(c.ctx)
		close(ended)
	}()
	c.await("the leaving process refuses new requests", func() bool {
		err := owner.Complete(c.ctx, newCompletion("late"), nil)
		return errkind.Is(err, errkind.ShuttingDown) && errkind.AnswerTo(err).Execution == errkind.NotRun
	})
	select {
	case <-ended:
		t.Fatal("the process stopped with a request in flight")
	default:
	}
	c.setEngineFaults(backendtest.EngineFaults{})
	if _, err := c.readAnswer(owner, "held", 0); err != nil {
		t.Errorf("the answer in flight failed: %v", err)
	}
	select {
	case <-ended:
	case <-c.ctx.Done():
		t.Fatal("the process did not stop before the test's timeout")
	}
	rows, err := c.tables.Read(c.ctx, []core.RowKey{{Table: core.TableLease, ID: "deployment/coach"}})
	if err != nil {
		t.Fatal(err)
	}
	if record, ok := rows[0].Record.(core.LeaseRecord); !ok || !record.Released && record.Holder == ownerVM {
		t.Errorf("the lease was not released: %+v", rows[0].Record)
	}
	c.await("the other service holds the lease", func() bool {
		for _, l := range other.State().(app.State).Leases {
			if l.Held {
				return true
			}
		}
		return false
	})
}

// TestTableOutageDoesNotBlockCompletions delays every call to the table service
// and checks that completions are still answered.
func TestTableOutageDoesNotBlockCompletions(t *testing.T) {
	c := newCluster(t, 1)
	c.tables.Inject(faults.Rule{Operation: faults.All, Event: faults.Delay})
	defer func() {
		c.tables.ClearFaults()
		c.tables.ReleaseHeld()
	}()
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	for i := range 50 {
		go func() { _, _ = c.services[0].Call(ctx, sponsorship(fmt.Sprint("k", i))) }()
	}
	for i := range 20 {
		id := core.RequestID(fmt.Sprint("r", i))
		if err := c.services[0].Complete(ctx, newCompletion(id), nil); err != nil {
			t.Fatal(err)
		}
		if _, err := c.readAnswer(c.services[0], id, 0); err != nil {
			t.Fatal(err)
		}
	}
	if runs := c.plain.Runs("k0", "/sponsorships"); runs != 0 {
		t.Errorf("a call without a claim ran %d times, want 0", runs)
	}
}

// TestShutdownDoesNotWaitForRetriesOfCanceledSamples refuses all streams until
// the retry budget is empty and many samples wait for it, and then shuts down
// their coordinator. Retries of cancelled samples must not delay the shutdown
// or hold places of the deployment's limit.
func TestShutdownDoesNotWaitForRetriesOfCanceledSamples(t *testing.T) {
	const bound = 5 * time.Second // the longest delay between two attempts is 2 s
	deployments := slices.Clone(testDeployments)
	deployments[1].Limits.RequestTimeout = testTimeout
	deployments[1].Limits.Concurrent = 8
	c := newClusterWith(t, clusterOptions{size: 1, timeout: testTimeout, deployments: deployments})
	s := c.services[0]
	c.setEngineFaults(backendtest.EngineFaults{Refuse: true})
	c.await("samples waiting for the retry budget", func() bool {
		limits := s.State().(app.State).Limits
		index := slices.IndexFunc(limits, func(l tables.LimitState) bool { return l.Deployment == model })
		return index >= 0 && limits[index].Rollouts < 1 && limits[index].Gate.InFlight[core.ClassRollout] > 4
	})
	startedAt := time.Now()
	s.Shutdown(c.ctx)
	if elapsed := time.Since(startedAt); elapsed > bound {
		t.Errorf("shutdown took %s, more than the bound", elapsed)
	}
}
