// Package process tests the service as separate processes: it kills, freezes
// and cuts them off. Verdicts count events; times only bound a whole test.
package process

import (
	"context"
	"fmt"
	"net/http"
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

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
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

// settings make leases lapse quickly.
const settings = "[intervals]\nlease_term = \"2s\"\nlease_renewal = \"500ms\"\naddress_keep = \"1s\"\norder_timeout = \"1s\"\n"

// startSite starts a site with three engines, two plain services, a scorer and
// entry processes, and publishes the demo's files.
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

func trainers(entries []*site.Entry, steps int) trainer.Options {
	return trainer.Options{
		Addresses: addresses(entries), Token: site.TrainerToken, Deployment: "coach",
		FirstStep: 1, FirstVersion: 1, Steps: steps, StalenessBound: 2, StepTime: 300 * time.Millisecond,
		StepTimeout: testTimeout, FetchTwice: true,
	}
}

func callers(entries []*site.Entry, prefix string, count int) caller.Options {
	return caller.Options{
		Addresses: addresses(entries), Token: site.CallerToken, Deployment: "coach", Prompt: "why ",
		MaxTokens: 60, Count: count, Concurrency: 4, Timeout: testTimeout, RequestID: prefix,
	}
}

// owner returns the entry process that coordinates the demo's model.
func owner(ctx context.Context, t *testing.T, s *site.Site, entries []*site.Entry) *site.Entry {
	t.Helper()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, asked := range entries {
			status, err := statusOf(ctx, s, asked)
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
			t.Fatal("no coordinator")
		}
	}
}

// askTimeout bounds a question to an entry process that may be frozen.
const askTimeout = time.Second

func statusOf(ctx context.Context, s *site.Site, entry *site.Entry) (configjson.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return s.Status(ctx, entry)
}

func pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// TestDemo runs the demo, which kills entry processes in mid-work.
func TestDemo(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	err := demo.Run(ctx, demo.Options{
		Product: filepath.Join(binaries, "fescuespar"), Standin: filepath.Join(binaries, "standin"),
		Deployments: "../../examples/demo", Checked: "../../examples", Output: testWriter{t},
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

// TestFrozenCoordinator freezes the coordinator past its lease while steps are
// being made, and lets it go on.
func TestFrozenCoordinator(t *testing.T) {
	t.Parallel()
	ctx, s, entries := startSite(t, 3)
	const steps = 8
	ended := make(chan error, 1)
	var summary trainer.Summary
	go func() {
		var err error
		summary, err = trainer.Run(ctx, trainers(entries, steps))
		ended <- err
	}()
	for range 2 {
		frozen := owner(ctx, t, s, entries)
		if err := frozen.Freeze(); err != nil {
			t.Fatal(err)
		}
		others := slicesWithout(entries, frozen)
		awaitOtherOwner(ctx, t, s, others, frozen)
		if err := frozen.Thaw(); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if !summary.Sound() || summary.Steps != steps {
		t.Errorf("%+v", summary)
	}
}

func slicesWithout(entries []*site.Entry, without *site.Entry) []*site.Entry {
	var rest []*site.Entry
	for _, entry := range entries {
		if entry != without {
			rest = append(rest, entry)
		}
	}
	return rest
}

func awaitOtherOwner(ctx context.Context, t *testing.T, s *site.Site, entries []*site.Entry, former *site.Entry) {
	t.Helper()
	for owner(ctx, t, s, append(entries, former)) == former {
		if ctx.Err() != nil {
			t.Fatal("the lease was not taken over")
		}
		pause(50 * time.Millisecond)
	}
}

// outage is how long the platform is out.
const outage = 30 * time.Second

// TestPlatformOutage keeps the platform out for 30 seconds: answers go on,
// calls that need a claim are refused as not run, a process that starts in the
// outage learns the configuration from its peers, and steps go on afterwards.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	ctx, s, entries := startSite(t, 3)
	first, err := trainer.Run(ctx, trainers(entries, 1))
	if err != nil || !first.Sound() {
		t.Fatal(err, first)
	}
	if err := s.Platform.Fault(ctx, faults.Outage(outage)); err != nil {
		t.Fatal(err)
	}
	until := time.Now().Add(outage)
	during, err := caller.Run(ctx, callers(entries, "during", 40))
	if err != nil || during.Whole != 40 {
		t.Errorf("answers during the outage: %+v, %v", during, err)
	}
	claimed := callers(entries, "claimed", 3)
	claimed.Deployment, claimed.Method, claimed.Path, claimed.Keyed, claimed.Timeout = "desk", "POST", "sponsorships/", true, 2*time.Second
	refused, err := caller.Run(ctx, claimed)
	if err != nil || refused.Whole != 0 || refused.MayHaveRun != 0 {
		t.Errorf("calls without a claim: %+v, %v", refused, err)
	}
	late, err := s.StartEntryUnlisted(ctx, "z1", "r", entries[0].Peer)
	if err != nil {
		t.Fatal(err)
	}
	awaitGeneration(ctx, t, late, 1)
	pause(time.Until(until))
	rest := trainers(entries, 3)
	rest.FirstStep, rest.FirstVersion = 2, 2
	after, err := trainer.Run(ctx, rest)
	if err != nil || !after.Sound() || after.Steps != 3 {
		t.Errorf("steps after the outage: %+v, %v", after, err)
	}
}

func awaitGeneration(ctx context.Context, t *testing.T, entry *site.Entry, generation core.Generation) {
	t.Helper()
	client := operatorclient.New(entry.Address, site.OperatorToken, http.DefaultClient)
	for ctx.Err() == nil {
		config, err := client.Configuration(ctx)
		if err == nil && config.Generation >= generation {
			return
		}
		pause(50 * time.Millisecond)
	}
	t.Errorf("generation %d never in force at %s", generation, entry.VM)
}

// TestRacingOperators publishes on the same base at every entry process at once.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	ctx, _, entries := startSite(t, 3)
	client := func(entry *site.Entry) *operatorclient.Client {
		return operatorclient.New(entry.Address, site.OperatorToken, http.DefaultClient)
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
		won := 0
		for range entries {
			err := <-results
			if err == nil {
				won++
			} else if !errkind.Is(err, errkind.GenerationConflict) {
				t.Errorf("base %d: %v", base, err)
			}
		}
		if won != 1 {
			t.Errorf("base %d: %d operators won", base, won)
		}
		for _, entry := range entries {
			awaitGeneration(ctx, t, entry, base+1)
		}
	}
}
