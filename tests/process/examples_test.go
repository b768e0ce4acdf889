package process

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/standin/caller"
	"fescuespar/standin/site"
	"fescuespar/standin/trainer"
)

// example is one of the documented examples with the names that the test uses.
type example struct {
	directory         string
	model             string // interactive deployment
	caller            string // caller of the model
	service           string // plain service
	nonIdempotentPath string // path of the service whose calls must run at most once
	serviceCaller     string // caller of the service
	trainer           string // trainer of the model
	stalenessBound    uint64 // of the model
}

var examples = []example{
	{"anerie", "matcher", "portal", "portal", "sponsorships/", "volunteer-desk", "matcher-trainer", 2},
	{"kootenay", "counter-triage", "counter", "booking-app", "bookings/", "library-nelson", "triage-trainer", 3},
}

// exampleToken returns the token of an operator, caller or trainer.
func exampleToken(name string) string { return "token-of-" + name + "-0001" }

// exampleSettings returns the settings with a token for every name that the test
// uses.
func exampleSettings() string {
	text := settings
	roles := map[string]string{"vera": "operator", "nils": "operator"}
	for _, e := range examples {
		roles[e.caller], roles[e.serviceCaller], roles[e.trainer] = "caller", "caller", "trainer"
	}
	for name, role := range roles {
		text += "[[tokens]]\nrole = \"" + role + "\"\nname = \"" + name + "\"\ntoken = \"" + exampleToken(name) + "\"\n"
	}
	return text
}

var exampleServers = []struct {
	kind string
	site.Server
	args []string
}{
	{"engine", site.Server{ID: "engine-1", Service: "donkey-matcher"}, []string{"--model", "donkey-matcher", "--adapter", "sanctuary-notes", "--max-running", "128"}},
	{"engine", site.Server{ID: "engine-2", Service: "donkey-matcher"}, []string{"--model", "donkey-matcher", "--adapter", "sanctuary-notes", "--max-running", "128"}},
	{"engine", site.Server{ID: "engine-3", Service: "repair-coach"}, []string{"--model", "repair-coach", "--adapter", "triage", "--max-running", "128"}},
	{"engine", site.Server{ID: "engine-4", Service: "repair-coach"}, []string{"--model", "repair-coach", "--adapter", "triage", "--max-running", "128"}},
	{"plain", site.Server{ID: "portal-1", Service: "portal"}, nil},
	{"plain", site.Server{ID: "booking-1", Service: "booking-app"}, nil},
	{"scorer", site.Server{ID: "scorer-1", Service: "match-scorer"}, nil},
	{"scorer", site.Server{ID: "scorer-2", Service: "triage-scorer"}, nil},
}

func startExampleSite(t *testing.T) (context.Context, []*site.Entry) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	s, err := site.Open(ctx, site.Options{
		Product: filepath.Join(binaries, "fescuespar"), Standin: filepath.Join(binaries, "standin"), Settings: exampleSettings(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for _, prompts := range []core.ObjectKey{"prompts/matcher.txt", "prompts/triage.txt"} {
		if err := s.PutObject(ctx, prompts, []byte("one\ntwo\n")); err != nil {
			t.Fatal(err)
		}
	}
	for _, server := range exampleServers {
		server.Zone, server.Region = "z1", "r"
		if _, _, err := s.StartServer(ctx, server.kind, server.Server, server.args...); err != nil {
			t.Fatal(err)
		}
	}
	var entries []*site.Entry
	for range 2 {
		entry, err := s.StartEntry(ctx, "z1", "r")
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, entry)
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("log of %s:\n%s", entry.Name, strings.Join(entry.Lines(), "\n"))
			}
		})
	}
	return ctx, entries
}

// publishExample publishes an example as an operator and returns the exit code
// and the output of the command.
func publishExample(ctx context.Context, t *testing.T, e example, operator string, entry *site.Entry, args ...string) (int, string) {
	t.Helper()
	all := append([]string{"publish", filepath.Join("../../examples", e.directory),
		"--address", entry.Address, "--token", exampleToken(operator), "--wait"}, args...)
	command := exec.CommandContext(ctx, filepath.Join(binaries, "fescuespar"), all...)
	output, _ := command.CombinedOutput()
	return command.ProcessState.ExitCode(), string(output)
}

// TestExamplesAreServed has two operators publish the two documented examples
// concurrently. It checks that the example of the operator that succeeds is
// served, then publishes the other example and checks that one.
func TestExamplesAreServed(t *testing.T) {
	t.Parallel()
	ctx, entries := startExampleSite(t)
	operators := []string{"vera", "nils"}
	codes := make([]int, len(examples))
	outputs := make([]string, len(examples))
	done := make(chan int)
	for i := range examples {
		go func() {
			codes[i], outputs[i] = publishExample(ctx, t, examples[i], operators[i], entries[i], "--base", "0")
			done <- i
		}()
	}
	for range examples {
		<-done
	}
	winner := 0
	if codes[1] == 0 {
		winner = 1
	}
	other := 1 - winner
	if codes[winner] != 0 || codes[other] != 1 || !strings.Contains(outputs[other], "generation_conflict") {
		t.Fatalf("exit codes %v, output %q", codes, outputs)
	}
	checkServed(ctx, t, entries, examples[winner])
	code, output := publishExample(ctx, t, examples[other], operators[other], entries[winner])
	if code != 0 || !strings.Contains(output, "generation 2 accepted, based on 1, recorded for operator "+operators[other]) {
		t.Fatalf("exit code %d: %s", code, output)
	}
	checkServed(ctx, t, entries, examples[other])
}

// checkServed sends requests to an example's model, calls its plain service twice
// with the same key, and runs one step of its trainer.
func checkServed(ctx context.Context, t *testing.T, entries []*site.Entry, e example) {
	t.Helper()
	options := callerOptions(entries, e.model, 12)
	options.Deployment, options.Token = e.model, exampleToken(e.caller)
	answers, err := caller.Run(ctx, options)
	if err != nil || answers.Correct != options.Count {
		t.Errorf("%s: %+v, %v", e.model, answers, err)
	}
	calls := callerOptions(entries, e.service, 4)
	calls.Deployment, calls.Token, calls.Method, calls.Path = e.service, exampleToken(e.serviceCaller), "POST", e.nonIdempotentPath
	calls.Body, calls.Keyed, calls.SendTwice = []byte(`{"donkey":"Gaston"}`), true, true
	called, err := caller.Run(ctx, calls)
	if err != nil || called.Correct != calls.Count {
		t.Errorf("%s: %+v, %v", e.service, called, err)
	}
	steps := trainerOptions(entries, 1)
	steps.Deployment, steps.Token, steps.StalenessBound = core.DeploymentName(e.model), exampleToken(e.trainer), e.stalenessBound
	trained, err := trainer.Run(ctx, steps)
	if err != nil || !trained.IsValid() || trained.Steps != 1 {
		t.Errorf("%s: %+v, %v", e.trainer, trained, err)
	}
	t.Logf("%s: %d complete answers of %s, %d calls of %s run once, %d samples for %s",
		e.directory, answers.Correct, e.model, called.Correct, e.service, trained.Samples, e.trainer)
}
