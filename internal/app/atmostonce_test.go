package app_test

import (
	"fmt"
	"testing"
	"time"

	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/backendtest"
	"fescuespar/internal/ports/porttest/faults"
)

func sponsorship(key string) core.PlainRequest {
	return core.PlainRequest{
		ID: core.RequestID("r-" + key), Caller: donor, Deployment: desk, Method: "POST", Path: "/sponsorships",
		Body: []byte("Gaston"), Key: core.IdempotencyKey(key),
	}
}

func (c *cluster) setPlainFaults(f backendtest.PlainFaults) {
	c.plain.SetFaults("desk-1", f)
	c.plain.SetFaults("desk-2", f)
}

// TestAtMostOnceCallUnderFaults sends a call that may run at most once to one
// entry process under a fault. After the fault it repeats the call with the
// same key at another process.
func TestAtMostOnceCallUnderFaults(t *testing.T) {
	answered := errkind.Kind("")
	cases := []struct {
		name          string
		fault         func(c *cluster)
		first, second errkind.Kind // empty if answered
		runs          int
	}{
		{"no fault", func(*cluster) {}, answered, answered, 1},
		{"server's reply lost", func(c *cluster) { c.setPlainFaults(backendtest.PlainFaults{DropReply: true}) },
			errkind.MayHaveRun, errkind.MayHaveRun, 1},
		{"server crashes after its effect", func(c *cluster) { c.setPlainFaults(backendtest.PlainFaults{Crash: true}) },
			errkind.MayHaveRun, errkind.MayHaveRun, 1},
		{"servers refuse", func(c *cluster) { c.setPlainFaults(backendtest.PlainFaults{Refuse: true}) },
			errkind.ServerRefused, answered, 1},
		{"table service refuses", func(c *cluster) { c.tables.Inject(claimFault(faults.Refuse)) },
			errkind.StoreUnavailable, answered, 1},
		{"reply to the claim lost after its effect", func(c *cluster) { c.tables.Inject(claimFault(faults.DropAfter)) },
			answered, answered, 1},
		{"claim lost before its effect", func(c *cluster) { c.tables.Inject(claimFault(faults.DropBefore)) },
			answered, answered, 1},
		{"claim takes effect late", func(c *cluster) {
			late := claimFault(faults.LateEffect)
			late.Delay = 30 * time.Millisecond
			c.tables.Inject(late)
		}, answered, answered, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 2)
			test.fault(c)
			c.checkCall(0, "k", test.first)
			c.tables.ClearFaults()
			c.setPlainFaults(backendtest.PlainFaults{})
			c.plain.Revive("desk-1")
			c.plain.Revive("desk-2")
			c.checkCall(1, "k", test.second)
			if runs := c.plain.Runs("k", "/sponsorships"); runs != test.runs {
				t.Errorf("the call ran %d times, want %d", runs, test.runs)
			}
		})
	}
}

func claimFault(event faults.Event) faults.Rule {
	return faults.Rule{Operation: faults.Commit, Event: event, Table: core.TableClaim, Count: 1}
}

func (c *cluster) checkCall(service int, key string, want errkind.Kind) {
	c.t.Helper()
	_, err := c.services[service].Call(c.ctx, sponsorship(key))
	if want == "" && err != nil || want != "" && !errkind.Is(err, want) {
		c.t.Errorf("call at service %d: %v, want kind %q", service, err, want)
	}
	if ran := errkind.AnswerTo(err).Execution; err != nil && ran == errkind.NotRun && c.plain.Runs(core.IdempotencyKey(key), "/sponsorships") > 0 {
		c.t.Errorf("the call was refused as not run (%v) although it ran", err)
	}
}

// TestCallIsNotRunWithoutTableService checks that a call that needs a claim is
// refused and not run during an outage of the table service.
func TestCallIsNotRunWithoutTableService(t *testing.T) {
	c := newCluster(t, 1)
	c.tables.Inject(faults.Rule{Operation: faults.All, Event: faults.Refuse})
	c.checkCall(0, "k", errkind.StoreUnavailable)
	if runs := c.plain.Runs("k", "/sponsorships"); runs != 0 {
		t.Errorf("the call ran %d times without a claim, want 0", runs)
	}
}

// TestConcurrentRepeatsRunOnce sends calls with one key to every entry process
// at once.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	c := newCluster(t, 3)
	results := make(chan error)
	const repeats = 4
	for _, s := range c.services {
		for range repeats {
			go func(s *app.Service) {
				_, err := s.Call(c.ctx, sponsorship("k"))
				results <- err
			}(s)
		}
	}
	for range repeats * len(c.services) {
		if err := <-results; err != nil {
			t.Errorf("a repeated call failed: %v", err)
		}
	}
	if runs := c.plain.Runs("k", "/sponsorships"); runs != 1 {
		t.Errorf("the call ran %d times, want 1", runs)
	}
}

// TestClaimsAreCommittedInGroups delays the commit of one claim while others
// arrive, and checks that the next commit contains all of these.
func TestClaimsAreCommittedInGroups(t *testing.T) {
	c := newCluster(t, 1)
	const others = 59
	delayed := claimFault(faults.Delay)
	delayed.Count = 0
	c.tables.Inject(delayed)
	results := make(chan error)
	call := func(key string) {
		_, err := c.services[0].Call(c.ctx, sponsorship(key))
		results <- err
	}
	awaitCommit := func() {
		t.Helper()
		if err := c.tables.AwaitHeld(c.ctx, 1); err != nil {
			t.Fatal(err)
		}
	}
	go call("first")
	awaitCommit()
	for i := range others {
		go call(fmt.Sprint("k", i))
	}
	c.await("the other claims waiting for a commit", func() bool { return c.commitsWaiting(0) == others })
	c.tables.ReleaseHeld()
	awaitCommit()
	const answers = 1 // the answer to the first call may be waiting by now
	if waiting := c.commitsWaiting(0); waiting > answers {
		t.Errorf("%d commits waiting besides the one in flight, want at most %d", waiting, answers)
	}
	c.tables.ClearFaults()
	c.tables.ReleaseHeld()
	for range others + 1 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// commitsWaiting returns the number of a service's commits that wait for a
// group commit.
func (c *cluster) commitsWaiting(service int) int {
	return c.services[service].State().(app.State).CommitsWaiting
}

func TestAtMostOnceCallWithoutKeyIsRefused(t *testing.T) {
	c := newCluster(t, 1)
	request := sponsorship("")
	if _, err := c.services[0].Call(c.ctx, request); !errkind.Is(err, errkind.KeyRequired) {
		t.Errorf("call without a key: got %v, want kind idempotency_key_required", err)
	}
	c.checkCall(0, "k", "")
	other := sponsorship("k")
	other.Body = []byte("Pepita")
	if _, err := c.services[0].Call(c.ctx, other); !errkind.Is(err, errkind.KeyReused) {
		t.Errorf("another body under the key: got %v, want kind idempotency_key_reused", err)
	}
}
