package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"

	"fescuespar/internal/adapters/configjson"
	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
	"fescuespar/internal/errkind"
)

const token = "0123456789abcdef"

// tokenName is the operator name that the fake service associates with the token.
const tokenName = "token-vera"

// fakeService is a fake of the operators' interface. Its fields are set before it
// serves; it handles one request at a time.
type fakeService struct {
	t              *testing.T
	inForce        core.Configuration
	loseReply      bool // close the connection instead of replying to a publish
	dropPublish    bool // do not apply a publish
	rivalPublish   bool // another operator publishes between the read and the publish
	laggingAnswers int  // number of status answers that show the second process at the previous generation
	publishCount   int  // publish requests received
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+token {
		s.writeError(w, errkind.New(errkind.Unauthenticated, "unknown token"))
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/configuration":
		body, _ := configjson.EncodeConfiguration(s.inForce)
		_, _ = w.Write(body)
	case "POST /v1/configuration":
		s.publish(w, r)
	case "GET /v1/status":
		s.status(w)
	case "GET /v1/addresses":
		s.writeJSON(w, configjson.Addresses{Addresses: []string{"192.0.2.7:8080"}, KeepSeconds: 15})
	case "GET /debug/state":
		_, _ = io.WriteString(w, `{"pool":{}}`)
	default:
		s.t.Errorf("unexpected request %s %s", r.Method, r.URL)
	}
}

func (s *fakeService) publish(w http.ResponseWriter, r *http.Request) {
	s.publishCount++
	body, _ := io.ReadAll(r.Body)
	request, err := configjson.DecodePublish(body)
	if err != nil {
		s.t.Error(err)
	}
	if s.rivalPublish {
		s.inForce = configuration.Next(s.inForce.Generation, "rival", nil)
	}
	if request.Base != s.inForce.Generation {
		s.writeError(w, errkind.New(errkind.GenerationConflict, "generation %d by %s won", s.inForce.Generation, s.inForce.Operator))
		return
	}
	if !s.dropPublish {
		s.inForce = configuration.Next(request.Base, tokenName, request.Deployments)
	}
	if s.loseReply {
		panic(http.ErrAbortHandler)
	}
	s.writeJSON(w, configjson.Published{Generation: uint64(s.inForce.Generation), Operator: tokenName})
}

func (s *fakeService) status(w http.ResponseWriter) {
	generation := uint64(s.inForce.Generation)
	laggingGeneration := generation
	if s.laggingAnswers > 0 {
		s.laggingAnswers--
		laggingGeneration--
	}
	s.writeJSON(w, configjson.Status{
		Generation: generation,
		Members: []configjson.MemberStatus{
			{VM: "entry-1", State: "alive", Generation: generation},
			{VM: "entry-2", State: "suspect", Generation: laggingGeneration},
			{VM: "entry-3", State: "gone", Generation: 1},
			{VM: "entry-4", State: "leaving", Generation: 1},
		},
		Deployments: []configjson.DeploymentStatus{{Name: "matcher", Owner: "entry-1"}},
		Warnings:    []configjson.Warning{{Kind: "entry_vm_silent", Message: "entry-2 is suspected", Page: core.WarningPage, Section: "lost entry VM"}},
	})
}

func (s *fakeService) writeJSON(w http.ResponseWriter, body any) {
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.t.Error(err)
	}
}

// writeError writes the error answer of err.
func (s *fakeService) writeError(w http.ResponseWriter, err error) {
	w.WriteHeader(errkind.AnswerTo(err).Status)
	s.writeJSON(w, configjson.ErrorAnswer{Error: configjson.ErrorDetail{Kind: string(errkind.Of(err)), Message: err.Error()}})
}

func (s *fakeService) start(t *testing.T) string {
	s.t = t
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// execute parses args, runs the command and returns its output, followed by the
// error if there is one, and its exit code.
func execute(t *testing.T, command flags.Commander, args ...string) (string, int) {
	t.Helper()
	t.Setenv("FESCUESPAR_TOKEN", "")
	var output bytes.Buffer
	previous := stdout
	stdout = &output
	defer func() { stdout = previous }()
	rest, err := flags.NewParser(command, flags.HelpFlag).ParseArgs(args)
	if err == nil {
		err = command.Execute(rest)
	}
	if err != nil {
		output.WriteString(err.Error())
	}
	return output.String(), exitCode(err)
}

const exampleDir = "../../examples/anerie"

func TestPublish(t *testing.T) {
	initial := core.Configuration{Generation: 7, Parent: 6, Operator: "nils"}
	tests := []struct {
		name    string
		service fakeService
		args    []string
		code    int
		posts   int
		want    string // part of the output
	}{
		{"accepted", fakeService{}, nil, exitOK, 1, "generation 8 accepted, based on 7, recorded for operator token-vera"},
		{"another operator stated", fakeService{}, nil, exitOK, 1, "note: --operator states vera; the token stands for token-vera"},
		{"waits for the lagging process", fakeService{laggingAnswers: 1}, []string{"--wait"}, exitOK, 1, "in force on all 2 live processes"},
		{"dry run", fakeService{}, []string{"--dry-run"}, exitOK, 0, "added matcher"},
		{"dry run with an old base", fakeService{}, []string{"--dry-run", "--base", "6"}, exitRefused, 0, "generation 7 by operator \"nils\""},
		{"overtaken", fakeService{rivalPublish: true}, nil, exitRefused, 1, "generation 8 by rival won"},
		{"old base", fakeService{}, []string{"--base", "6"}, exitRefused, 1, "generation 7 by nils won"},
		{"reply lost after the effect", fakeService{loseReply: true}, nil, exitOK, 1, "generation 8 accepted"},
		{"reply lost without effect", fakeService{loseReply: true, dropPublish: true}, nil, exitUnreachable, 1, "outcome_unknown"},
		{"wrong token", fakeService{}, []string{"--token", "other"}, exitRefused, 0, "unauthenticated"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.service.inForce = initial
			address := test.service.start(t)
			args := append([]string{exampleDir, "--operator", "vera", "--address", address, "--token", token}, test.args...)
			output, code := execute(t, &publishCommand{}, args...)
			if code != test.code || test.service.publishCount != test.posts || !strings.Contains(output, test.want) {
				t.Errorf("exit code %d, %d publish requests, output %q; want exit code %d, %d publish requests and %q",
					code, test.service.publishCount, output, test.code, test.posts, test.want)
			}
		})
	}
}

func TestInvalidFilesAreNotPublished(t *testing.T) {
	s := fakeService{}
	address := s.start(t)
	output, code := execute(t, &publishCommand{}, tenMistakesDir, "--operator", "vera", "--address", address, "--token", token)
	if code != exitRefused || s.publishCount != 0 || !strings.Contains(output, "10 mistakes in 3 files") {
		t.Errorf("exit code %d, %d publish requests, output %q; want exit code %d, no request and the number of mistakes",
			code, s.publishCount, output, exitRefused)
	}
}

func TestWaitNamesLaggingProcesses(t *testing.T) {
	s := fakeService{inForce: core.Configuration{Generation: 7}, laggingAnswers: 1}
	client, err := accessOptions{Token: token}.client(s.start(t))
	if err != nil {
		t.Fatal(err)
	}
	p := &publication{command: &publishCommand{}, client: client}
	if err := p.checkStatus(context.Background(), 7, nil); exitCode(err) != exitUnreachable {
		t.Errorf("error %v, want exit code %d", err, exitUnreachable)
	}
	var output bytes.Buffer
	p.writeText(&output)
	if !strings.Contains(output.String(), "missing on entry-2 (suspect)") ||
		strings.Contains(output.String(), "entry-3") || strings.Contains(output.String(), "entry-4") {
		t.Errorf("output %q, want only entry-2 listed as missing", output.String())
	}
}

const tenMistakesDir = "../../internal/adapters/deploymenttoml/testdata/ten-mistakes"

func TestCheckReportsAllTenMistakes(t *testing.T) {
	output, code := execute(t, &checkCommand{}, tenMistakesDir, "--output", "json")
	var result checkOutput
	if err := json.NewDecoder(strings.NewReader(output)).Decode(&result); err != nil {
		t.Fatal(err)
	}
	if code != exitRefused || len(result.Problems) != 10 {
		t.Errorf("exit code %d with %d problems, want exit code %d with 10", code, len(result.Problems), exitRefused)
	}
	for _, p := range result.Problems {
		if p.File == "" || p.Line == 0 || p.Key == "" {
			t.Errorf("problem %+v has no file, line or key", p)
		}
	}
}

func TestExitCodes(t *testing.T) {
	s := fakeService{inForce: core.Configuration{Generation: 7}}
	address := s.start(t)
	access := []string{"--address", address, "--token", token}
	closed := httptest.NewServer(nil)
	closed.Close()
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != statePath {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, `{"phase":"serving"}`)
	}))
	defer relay.Close()
	relayAddress := strings.TrimPrefix(relay.URL, "http://")
	invalid := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(invalid, []byte(`NodeName = "vm-1"`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		command flags.Commander
		args    []string
		code    int
		want    string // part of the output
	}{
		{"check of settings with mistakes", &checkCommand{}, []string{"--settings", invalid}, exitRefused, "availability_zone"},
		{"check of relay settings with a mistake", &checkCommand{}, []string{"--relay-settings", invalid}, exitRefused, "Zone is missing"},
		{"relay settings with a mistake as JSON", &checkCommand{}, []string{"--relay-settings", invalid, "--output", "json"}, exitRefused, `"mistake": `},
		{"check of a missing settings file", &checkCommand{}, []string{"--settings", "testdata/none"}, exitRefused, "not_found"},
		{"dump of a relay process", &dumpCommand{}, []string{"--relay", relayAddress}, exitOK, `{"phase":"serving"}`},
		{"dump of an unreachable relay process", &dumpCommand{}, []string{"--relay", strings.TrimPrefix(closed.URL, "http://")}, exitUnreachable, "peer_unreachable"},
		{"check", &checkCommand{}, []string{exampleDir}, exitOK, "no mistakes in 3 files"},
		{"check without a directory", &checkCommand{}, nil, exitUsage, "DIR"},
		{"check of an absent directory", &checkCommand{}, []string{"testdata/none"}, exitRefused, "not_found"},
		{"status", &statusCommand{}, access, exitOK, "warning: entry-2 is suspected\n  what to do: \"lost entry VM\" in docs/OPERATIONS.md"},
		{"status without a version", &statusCommand{}, access, exitOK, "matcher     -        -     0      -        entry-1"},
		{"status as JSON", &statusCommand{}, append(access, "--output", "json"), exitOK, `"owner": "entry-1"`},
		{"warnings as JSON", &statusCommand{}, append(access, "--output", "json"), exitOK, `"section": "lost entry VM"`},
		{"status without a token", &statusCommand{}, access[:2], exitUsage, "--token"},
		{"status of an unreachable process", &statusCommand{}, []string{"--address", closed.URL, "--token", token}, exitUnreachable, "peer_unreachable"},
		{"addresses", &addressesCommand{}, access, exitOK, "192.0.2.7:8080\nkeep for 15 seconds"},
		{"dump", &dumpCommand{}, []string{address, "--token", token}, exitOK, `{"pool":{}}`},
		{"unknown output", &versionCommand{}, []string{"--output", "xml"}, exitUsage, "xml"},
		{"version", &versionCommand{}, nil, exitOK, "fescuespar "},
	}
	for _, test := range tests {
		if output, code := execute(t, test.command, test.args...); code != test.code || !strings.Contains(output, test.want) {
			t.Errorf("%s: exit code %d, output %q; want exit code %d and %q", test.name, code, output, test.code, test.want)
		}
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	for _, c := range commands {
		if !strings.Contains(longDescription(c), "Example: fescuespar "+c.name) {
			t.Errorf("the help of %s has no example", c.name)
		}
	}
}
