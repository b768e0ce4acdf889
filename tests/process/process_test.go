// Package process tests the service as separate processes, which the tests kill,
// freeze and cut off from the platform. The tests check counts of events; times
// only bound each test as a whole.
package process

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/adapters/operatorclient"
	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/standin/caller"
	"fescuespar/standin/demo"
	"fescuespar/standin/site"
	"fescuespar/standin/trainer"
)

var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "fescuespar-bin-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.Command("go", "build", "-tags", "lockcheck", "-o", directory+"/", "./cmd/fescuespar", "./standin/cmd/standin")
	build.Dir = "../.."
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	binaries = directory
	return m.Run()
}

const testTimeout = 100 * time.Second

// settings shorten the leases so that they expire quickly.
const settings = "[intervals]\nlease_term = \"2s\"\nlease_renewal = \"500ms\"\naddress_keep = \"1s\"\norder_timeout = \"1s\"\n"

// startSite starts a site with three engines, two plain servers, a scorer and the
// given number of entry processes, and publishes the demo's deployment files.
func startSite(t *testing.T, entries int) (context.Context, *site.Site, []*site.Entry) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	s, err := site.Open(ctx, site.Options{
		Product: filepath.Join(binaries, "fescuespar"), Standin: filepath.Join(binaries, "standin"), Settings: settings,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.PutObject(ctx, "prompts/coach.txt", []byte("one\ntwo\nthree\n")); err != nil {
		t.Fatal(err)
	}
	servers := []struct{ kind, id, service string }{
		{"engine", "engine-1", "coach-model"}, {"engine", "engine-2", "coach-model"}, {"engine", "engine-3", "coach-model"},
		{"plain", "desk-1", "desk"}, {"plain", "desk-2", "desk"}, {"scorer", "scorer-1", "coach-scorer"},
	}
	for _, server := range servers {
		var args []string
		if server.kind == "engine" {
			args = []string{"--model", server.service, "--step", "10ms"}
		}
		place := site.Server{ID: server.id, Service: server.service, Zone: "z1", Region: "r"}
		if _, _, err := s.StartServer(ctx, server.kind, place, args...); err != nil {
			t.Fatal(err)
		}
	}
	var started []*site.Entry
	for number := range entries {
		entry, err := s.StartEntry(ctx, fmt.Sprintf("z%d", number%2+1), "r")
		if err != nil {
			t.Fatal(err)
		}
		started = append(started, entry)
	}
	publish := exec.CommandContext(ctx, filepath.Join(binaries, "fescuespar"), "publish", "../../examples/demo",
		"--address", started[0].Address, "--token", site.OperatorToken, "--operator", "op", "--wait")
	if output, err := publish.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	for _, entry := range started {
		awaitGeneration(ctx, t, entry, 1)
	}
	return ctx, s, started
}

func addresses(entries []*site.Entry) []string {
	var all []string
	for _, entry := range entries {
		all = append(all, entry.Address)
	}
	return all
}

func trainerOptions(entries []*site.Entry, steps int) trainer.Options {
	return trainer.Options{
		Addresses: addresses(entries), Token: site.TrainerToken, Deployment: "coach",
		FirstStep: 1, FirstVersion: 1, Steps: steps, StalenessBound: 2, StepTime: 300 * time.Millisecond,
		StepTimeout: testTimeout, FetchTwice: true,
	}
}

func callerOptions(entries []*site.Entry, prefix string, count int) caller.Options {
	return caller.Options{
		Addresses: addresses(entries), Token: site.CallerToken, Deployment: "coach", Prompt: "why ",
		MaxTokens: 60, Count: count, Concurrency: 4, Timeout: testTimeout, RequestID: prefix,
	}
}

// awaitOwner waits for and returns the entry process that coordinates the demo's
// model.
func awaitOwner(ctx context.Context, t *testing.T, s *site.Site, entries []*site.Entry) *site.Entry {
	t.Helper()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, queried := range entries {
			status, err := statusOf(ctx, s, queried)
			if err != nil {
				continue
			}
			for _, deployment := range status.Deployments {
				for _, entry := range entries {
					if deployment.Name == "coach" && deployment.Owner == string(entry.VM) {
						return entry
					}
				}
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatal("no entry process coordinates deployment coach")
		}
	}
}

// statusTimeout bounds a status request to an entry process that may be frozen.
const statusTimeout = time.Second

func statusOf(ctx context.Context, s *site.Site, entry *site.Entry) (configjson.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return s.Status(ctx, entry)
}

func sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// TestDemo runs the demo, which kills entry processes while they are working.
func TestDemo(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	err := demo.Run(ctx, demo.Options{
		Product: filepath.Join(binaries, "fescuespar"), Standin: filepath.Join(binaries, "standin"),
		PublishFolder: "../../examples/demo", CheckFolder: "../../examples", Output: testWriter{t},
	})
	if err != nil {
		t.Error(err)
	}
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(string(p))
	return len(p), nil
}

// TestFrozenCoordinator freezes the coordinator until its lease has expired while
// steps are running, and then resumes it.
func TestFrozenCoordinator(t *testing.T) {
	t.Parallel()
	ctx, s, entries := startSite(t, 3)
	const steps = 8
	trainerDone := make(chan error, 1)
	var summary trainer.Summary
	go func() {
		var err error
		summary, err = trainer.Run(ctx, trainerOptions(entries, steps))
		trainerDone <- err
	}()
	for range 2 {
		frozen := awaitOwner(ctx, t, s, entries)
		if err := frozen.Suspend(); err != nil {
			t.Fatal(err)
		}
		others := entriesWithout(entries, frozen)
		awaitNewOwner(ctx, t, s, others, frozen)
		if err := frozen.Resume(); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-trainerDone; err != nil {
		t.Fatal(err)
	}
	if !summary.IsValid() || summary.Steps != steps {
		t.Errorf("%+v", summary)
	}
}

func entriesWithout(entries []*site.Entry, excluded *site.Entry) []*site.Entry {
	var others []*site.Entry
	for _, entry := range entries {
		if entry != excluded {
			others = append(others, entry)
		}
	}
	return others
}

func awaitNewOwner(ctx context.Context, t *testing.T, s *site.Site, entries []*site.Entry, former *site.Entry) {
	t.Helper()
	for awaitOwner(ctx, t, s, append(entries, former)) == former {
		if ctx.Err() != nil {
			t.Fatal("no other entry process took over the lease")
		}
		sleep(50 * time.Millisecond)
	}
}

// outageDuration is how long the platform is unavailable.
const outageDuration = 30 * time.Second

// TestPlatformOutage makes the platform unavailable for 30 seconds. Requests are
// still answered, calls that need a claim are refused as not run, a process that
// starts during the outage gets the configuration from its peers, and steps
// continue afterwards.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	ctx, s, entries := startSite(t, 3)
	first, err := trainer.Run(ctx, trainerOptions(entries, 1))
	if err != nil || !first.IsValid() {
		t.Fatal(err, first)
	}
	if err := s.Platform.AddFaultRule(ctx, faults.Outage(outageDuration)); err != nil {
		t.Fatal(err)
	}
	until := time.Now().Add(outageDuration)
	during, err := caller.Run(ctx, callerOptions(entries, "during", 40))
	if err != nil || during.Correct != 40 {
		t.Errorf("answers during the outage: %+v, %v", during, err)
	}
	claimed := callerOptions(entries, "claimed", 3)
	claimed.Deployment, claimed.Method, claimed.Path, claimed.Keyed, claimed.Timeout = "desk", "POST", "sponsorships/", true, 2*time.Second
	refused, err := caller.Run(ctx, claimed)
	if err != nil || refused.Correct != 0 || refused.MayHaveRun != 0 {
		t.Errorf("calls that need a claim during the outage: %+v, %v", refused, err)
	}
	joined, err := s.StartEntryUnlisted(ctx, "z1", "r", entries[0].PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	awaitGeneration(ctx, t, joined, 1)
	sleep(time.Until(until))
	options := trainerOptions(entries, 3)
	options.FirstStep, options.FirstVersion = 2, 2
	after, err := trainer.Run(ctx, options)
	if err != nil || !after.IsValid() || after.Steps != 3 {
		t.Errorf("steps after the outage: %+v, %v", after, err)
	}
}

func awaitGeneration(ctx context.Context, t *testing.T, entry *site.Entry, generation core.Generation) {
	t.Helper()
	client := operatorclient.New(entry.Address, site.OperatorToken, 0)
	for ctx.Err() == nil {
		config, err := client.Configuration(ctx)
		if err == nil && config.Generation >= generation {
			return
		}
		sleep(50 * time.Millisecond)
	}
	t.Errorf("generation %d did not come into force on %s", generation, entry.VM)
}

// TestRacingOperators publishes concurrently through every entry process, based on
// the same generation, and checks that exactly one succeeds.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	ctx, _, entries := startSite(t, 3)
	client := func(entry *site.Entry) *operatorclient.Client {
		return operatorclient.New(entry.Address, site.OperatorToken, 0)
	}
	for base := core.Generation(1); base <= 8; base++ {
		config, err := client(entries[0]).Configuration(ctx)
		if err != nil {
			t.Fatal(err)
		}
		results := make(chan error)
		for _, entry := range entries {
			go func() {
				_, err := client(entry).Publish(ctx, configjson.PublishRequest{
					Base: base, Operator: string(entry.VM), Deployments: config.Deployments,
				})
				results <- err
			}()
		}
		succeeded := 0
		for range entries {
			err := <-results
			if err == nil {
				succeeded++
			} else if !errkind.Is(err, errkind.GenerationConflict) {
				t.Errorf("base %d: %v", base, err)
			}
		}
		if succeeded != 1 {
			t.Errorf("base %d: %d operators succeeded, want 1", base, succeeded)
		}
		for _, entry := range entries {
			awaitGeneration(ctx, t, entry, base+1)
		}
	}
}
