package app_test

import (
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
)

func (c *cluster) awaitGeneration(generation core.Generation) {
	c.t.Helper()
	c.await("generation in force everywhere", func() bool {
		for _, s := range c.services {
			if s.Configuration().Generation < generation {
				return false
			}
		}
		return true
	})
}

// TestConcurrentPublishesHaveOneWinner publishes on the same base from every
// process at once. In half of the rounds replies to commits are lost.
func TestConcurrentPublishesHaveOneWinner(t *testing.T) {
	c := newCluster(t, 3)
	for base := core.Generation(1); base <= 6; base++ {
		if base%2 == 0 {
			c.tables.Inject(faults.Rule{Operation: faults.Commit, Event: faults.DropAfter, Table: core.TableConfig, Count: 2})
		}
		results := make(chan error)
		for _, s := range c.services {
			go func() {
				_, err := s.Publish(c.ctx, "op", base, testDeployments)
				results <- err
			}()
		}
		succeeded := 0
		for range c.services {
			err := <-results
			if err == nil {
				succeeded++
			} else if !errkind.Is(err, errkind.GenerationConflict) {
				t.Errorf("base %d: %v", base, err)
			}
		}
		if succeeded != 1 {
			t.Errorf("base %d: %d publishes succeeded, want 1", base, succeeded)
		}
		c.tables.ClearFaults()
		c.awaitGeneration(base + 1)
	}
}

// TestNewProcessGetsConfigurationDuringOutage starts a process during an outage
// of the platform. It must get the configuration from its peers, and no process
// may return to an older one.
func TestNewProcessGetsConfigurationDuringOutage(t *testing.T) {
	c := newCluster(t, 2)
	if _, err := c.services[0].Publish(c.ctx, "op", 1, testDeployments); err != nil {
		t.Fatal(err)
	}
	c.awaitGeneration(2)
	c.tables.Inject(faults.Rule{Operation: faults.All, Event: faults.Refuse})
	c.objects.Inject(faults.Rule{Operation: faults.All, Event: faults.Refuse})
	added := c.addService()
	if err := added.Complete(c.ctx, newCompletion("early"), nil); err != nil &&
		(!errkind.Is(err, errkind.Starting) || !errkind.AnswerTo(err).Retryable) {
		t.Errorf("a process without a configuration answered %v, want a retryable error of kind starting", err)
	}
	c.awaitGeneration(2)
	if _, err := c.services[2].Publish(c.ctx, "op", 2, testDeployments); !errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("publish during the outage: got %v, want kind store_unavailable", err)
	}
	for _, s := range c.services {
		if got := s.Configuration().Generation; got != 2 {
			t.Errorf("generation %d in force, want 2", got)
		}
	}
}

func TestInvalidConfigurationChangesNothing(t *testing.T) {
	c := newCluster(t, 1)
	duplicated := append([]core.Deployment{testDeployments[0]}, testDeployments...)
	if _, err := c.services[0].Publish(c.ctx, "op", 1, duplicated); !errkind.Is(err, errkind.InvalidConfig) {
		t.Errorf("publishing a deployment twice: got %v, want kind invalid_configuration", err)
	}
	if got := c.services[0].Configuration().Generation; got != 1 {
		t.Errorf("generation %d in force, want 1", got)
	}
}

// TestProcessWithoutVMListRefusesAsStarting denies the VM list to a new process
// that has the configuration from its peers. Without a list it cannot know that
// no server runs a model, or its share of a limit. Until it has a list, it must
// refuse a request as not run, at once or after waiting for a borrowed place,
// or let the request wait and then answer it.
func TestProcessWithoutVMListRefusesAsStarting(t *testing.T) {
	c := newCluster(t, 1)
	c.vms.Inject(faults.Rule{Operation: faults.All, Event: faults.Refuse})
	added := c.addService()
	c.awaitGeneration(1)
	refused := added.Complete(c.ctx, newCompletion("early"), nil)
	c.vms.ClearFaults()
	if refused == nil {
		_, refused = c.readAnswer(added, "early", 0)
	}
	if answer := errkind.AnswerTo(refused); refused != nil &&
		(!errkind.Is(refused, errkind.Starting) || !answer.Retryable || answer.Execution != errkind.NotRun) {
		t.Errorf("a process without a VM list answered %v, want a retryable error of kind starting, not run", refused)
	}
	c.await("the new process serves", func() bool {
		return added.Complete(c.ctx, newCompletion("later"), nil) == nil
	})
}
