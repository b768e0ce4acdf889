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

// TestLeavingServerGetsNoNewWork marks an engine as leaving and counts the
// streams that it gets afterwards.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 2)
	leaving := append([]core.VM(nil), backendServers...)
	leaving[0].State = core.VMLeaving
	c.list(leaving)
	c.await("every process knows that engine-1 is leaving", func() bool {
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
		if err := s.Complete(c.ctx, completion(id), nil); err != nil {
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

// TestLeavingIsKnownWithinThreeSeconds holds the default poll of the VM list
// against the promise that a leaving server gets no new work after 3 s: a poll
// that just missed the change, and a whole further poll that fails.
func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	const promised = 3 * time.Second
	if worst := 2 * settings.Defaults().Intervals.VMListPoll; worst > promised {
		t.Errorf("the VM list is known after %v, promised %v", worst, promised)
	}
}

// TestShutdownFinishesWhatIsInFlight asks a process to leave while it streams an
// answer that is held up, and while it holds the lease of a deployment.
func TestShutdownFinishesWhatIsInFlight(t *testing.T) {
	c := newCluster(t, 2)
	owner, _ := c.owner()
	ownerVM := owner.State().(app.State).VM
	other := c.services[0]
	if other == owner {
		other = c.services[1]
	}
	c.faultEngines(backendtest.EngineFaults{HoldAfter: 4})
	if err := owner.Complete(c.ctx, completion("held"), nil); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		owner.Shutdown(c.ctx)
		close(ended)
	}()
	c.await("the leaving process takes nothing new", func() bool {
		err := owner.Complete(c.ctx, completion("late"), nil)
		return errkind.Is(err, errkind.ShuttingDown) && errkind.AnswerTo(err).Ran == errkind.NotRun
	})
	select {
	case <-ended:
		t.Fatal("the process stopped with a request in flight")
	default:
	}
	c.faultEngines(backendtest.EngineFaults{})
	if _, err := c.readAnswer(owner, "held", 0); err != nil {
		t.Errorf("the answer in flight was cut off: %v", err)
	}
	select {
	case <-ended:
	case <-c.ctx.Done():
		t.Fatal("the process never stopped")
	}
	rows, err := c.tables.Read(c.ctx, []core.RowKey{{Table: core.TableLease, ID: "deployment/coach"}})
	if err != nil {
		t.Fatal(err)
	}
	if record, ok := rows[0].Record.(core.LeaseRecord); !ok || !record.Released && record.Holder == ownerVM {
		t.Errorf("the lease was not released: %+v", rows[0].Record)
	}
	c.await("the lease was handed over", func() bool {
		for _, l := range other.State().(app.State).Leases {
			if l.Held {
				return true
			}
		}
		return false
	})
}

// TestOutageOccupiesOnlyItsLane keeps every call to the table service waiting
// and checks that answers go on.
func TestOutageOccupiesOnlyItsLane(t *testing.T) {
	c := newCluster(t, 1)
	c.tables.Inject(faults.Order{Operation: faults.All, Event: faults.Delay})
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
		if err := c.services[0].Complete(ctx, completion(id), nil); err != nil {
			t.Fatal(err)
		}
		if _, err := c.readAnswer(c.services[0], id, 0); err != nil {
			t.Fatal(err)
		}
	}
	if runs := c.plain.Runs("k0", "/sponsorships"); runs != 0 {
		t.Errorf("a call ran %d times without a claim", runs)
	}
}

// TestShutdownDoesNotWaitForRetriesOfCanceledSamples refuses all streams until
// the retry budget is empty and many samples wait for it, and then has their
// coordinator leave: samples that nobody wants any more must not hold it, nor
// places of the deployment's limit.
func TestShutdownDoesNotWaitForRetriesOfCanceledSamples(t *testing.T) {
	const bound = 5 * time.Second // the longest delay between two tries is 2 s
	patient := slices.Clone(testDeployments)
	patient[1].Limits.RequestTimeout = testMax
	patient[1].Limits.Concurrent = 8
	c := newSizedCluster(t, clusterOptions{size: 1, bound: testMax, deployments: patient})
	s := c.services[0]
	c.faultEngines(backendtest.EngineFaults{Refuse: true})
	c.await("samples wait for the budget", func() bool {
		limits := s.State().(app.State).Limits
		at := slices.IndexFunc(limits, func(l tables.LimitState) bool { return l.Deployment == model })
		return at >= 0 && limits[at].Rollouts < 1 && limits[at].Gate.InFlight[core.ClassRollout] > 4
	})
	began := time.Now()
	s.Shutdown(c.ctx)
	if took := time.Since(began); took > bound {
		t.Errorf("the process stopped after %s", took)
	}
}
