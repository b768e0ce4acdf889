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

// tokenName is the operator that the fake service knows the token to stand for.
const tokenName = "token-vera"

// service is a fake of the operators' interface. Its fields are set before it
// serves; requests come one at a time.
type service struct {
	t         *testing.T
	inForce   core.Configuration
	loseReply bool // drop the connection in place of the reply to a publish
	ignore    bool // a publish whose reply is lost has no effect
	rival     bool // another operator publishes between the read and the publish
	lag       int  // status answers that still show the second process behind
	posts     int
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+token {
		s.refuse(w, errkind.New(errkind.Unauthenticated, "no such token"))
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
		s.answer(w, configjson.Addresses{Addresses: []string{"192.0.2.7:8080"}, KeepSeconds: 15})
	case "GET /debug/state":
		_, _ = io.WriteString(w, `{"pool":{}}`)
	default:
		s.t.Errorf("unexpected request %s %s", r.Method, r.URL)
	}
}

func (s *service) publish(w http.ResponseWriter, r *http.Request) {
	s.posts++
	body, _ := io.ReadAll(r.Body)
	request, err := configjson.DecodePublish(body)
	if err != nil {
		s.t.Error(err)
	}
	if s.rival {
		s.inForce = configuration.Next(s.inForce.Generation, "rival", nil)
	}
	if request.Base != s.inForce.Generation {
		s.refuse(w, errkind.New(errkind.GenerationConflict, "generation %d by %s won", s.inForce.Generation, s.inForce.Operator))
		return
	}
	if !s.ignore {
		s.inForce = configuration.Next(request.Base, tokenName, request.Deployments)
	}
	if s.loseReply {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, configjson.Published{Generation: uint64(s.inForce.Generation), Operator: tokenName})
}

func (s *service) status(w http.ResponseWriter) {
	generation := uint64(s.inForce.Generation)
	behind := generation
	if s.lag > 0 {
		s.lag--
		behind--
	}
	s.answer(w, configjson.Status{
		Generation: generation,
		Members: []configjson.MemberStatus{
			{VM: "entry-1", State: "alive", Generation: generation},
			{VM: "entry-2", State: "suspect", Generation: behind},
			{VM: "entry-3", State: "gone", Generation: 1},
			{VM: "entry-4", State: "leaving", Generation: 1},
		},
		Deployments: []configjson.DeploymentStatus{{Name: "matcher", Owner: "entry-1"}},
		Warnings:    []configjson.Warning{{Kind: "entry_vm_silent", Message: "entry-2 is suspected", Page: core.WarningPage, Section: "lost entry VM"}},
	})
}

func (s *service) answer(w http.ResponseWriter, body any) {
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.t.Error(err)
	}
}

func (s *service) refuse(w http.ResponseWriter, err error) {
	w.WriteHeader(errkind.AnswerTo(err).Status)
	s.answer(w, configjson.ErrorAnswer{Error: configjson.ErrorDetail{Kind: string(errkind.Of(err)), Message: err.Error()}})
}

func (s *service) start(t *testing.T) string {
	s.t = t
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// execute runs a command as the program does and returns its output and exit code.
func execute(t *testing.T, command flags.Commander, args ...string) (string, int) {
	t.Helper()
	t.Setenv("FESCUESPAR_TOKEN", "")
	var output bytes.Buffer
	saved := stdout
	stdout = &output
	defer func() { stdout = saved }()
	rest, err := flags.NewParser(command, flags.HelpFlag).ParseArgs(args)
	if err == nil {
		err = command.Execute(rest)
	}
	if err != nil {
		output.WriteString(err.Error())
	}
	return output.String(), exitCode(err)
}

const example = "../../examples/anerie"

func TestPublish(t *testing.T) {
	head := core.Configuration{Generation: 7, Parent: 6, Operator: "nils"}
	tests := []struct {
		name    string
		service service
		args    []string
		code    int
		posts   int
		says    string
	}{
		{"accepted", service{}, nil, exitOK, 1, "generation 8 accepted, based on 7, recorded for operator token-vera"},
		{"another operator stated", service{}, nil, exitOK, 1, "note: --operator states vera; the token stands for token-vera"},
		{"waits for the slow process", service{lag: 1}, []string{"--wait"}, exitOK, 1, "in force on all 2 live processes"},
		{"dry run", service{}, []string{"--dry-run"}, exitOK, 0, "added matcher"},
		{"dry run with an old base", service{}, []string{"--dry-run", "--base", "6"}, exitRefused, 0, "generation 7 by operator \"nils\""},
		{"overtaken", service{rival: true}, nil, exitRefused, 1, "generation 8 by rival won"},
		{"old base", service{}, []string{"--base", "6"}, exitRefused, 1, "generation 7 by nils won"},
		{"reply lost after the effect", service{loseReply: true}, nil, exitOK, 1, "generation 8 accepted"},
		{"reply lost without effect", service{loseReply: true, ignore: true}, nil, exitUnreachable, 1, "outcome_unknown"},
		{"wrong token", service{}, []string{"--token", "other"}, exitRefused, 0, "unauthenticated"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.service.inForce = head
			address := test.service.start(t)
			args := append([]string{example, "--operator", "vera", "--address", address, "--token", token}, test.args...)
			output, code := execute(t, &publishCommand{}, args...)
			if code != test.code || test.service.posts != test.posts || !strings.Contains(output, test.says) {
				t.Errorf("code %d, %d posts, output %q; want code %d, %d posts and %q",
					code, test.service.posts, output, test.code, test.posts, test.says)
			}
		})
	}
}

func TestPublishWithMistakesReachesNoService(t *testing.T) {
	s := service{}
	address := s.start(t)
	output, code := execute(t, &publishCommand{}, tenMistakes, "--operator", "vera", "--address", address, "--token", token)
	if code != exitRefused || s.posts != 0 || !strings.Contains(output, "10 mistakes in 3 files") {
		t.Errorf("code %d, %d posts, output %q", code, s.posts, output)
	}
}

func TestWaitNamesTheProcessesThatAreMissing(t *testing.T) {
	s := service{inForce: core.Configuration{Generation: 7}, lag: 1}
	client, err := accessOptions{Token: token}.client(s.start(t))
	if err != nil {
		t.Fatal(err)
	}
	p := &publication{command: &publishCommand{}, client: client}
	if err := p.look(context.Background(), 7, nil); exitCode(err) != exitUnreachable {
		t.Errorf("error %v, want exit code %d", err, exitUnreachable)
	}
	var output bytes.Buffer
	p.text(&output)
	if !strings.Contains(output.String(), "missing on entry-2 (suspect)") ||
		strings.Contains(output.String(), "entry-3") || strings.Contains(output.String(), "entry-4") {
		t.Errorf("output %q, want entry-2 only", output.String())
	}
}

const tenMistakes = "../../internal/adapters/deploymenttoml/testdata/ten-mistakes"

func TestCheckReportsTenPlantedMistakes(t *testing.T) {
	output, code := execute(t, &checkCommand{}, tenMistakes, "--output", "json")
	var result checkOutput
	if err := json.NewDecoder(strings.NewReader(output)).Decode(&result); err != nil {
		t.Fatal(err)
	}
	if code != exitRefused || len(result.Problems) != 10 {
		t.Errorf("code %d with %d problems, want %d with 10", code, len(result.Problems), exitRefused)
	}
	for _, p := range result.Problems {
		if p.File == "" || p.Line == 0 || p.Key == "" {
			t.Errorf("problem %+v has no file, line or key", p)
		}
	}
}

func TestExitCodes(t *testing.T) {
	s := service{inForce: core.Configuration{Generation: 7}}
	address := s.start(t)
	access := []string{"--address", address, "--token", token}
	closed := httptest.NewServer(nil)
	closed.Close()
	relayed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != statePath {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, `{"phase":"serving"}`)
	}))
	defer relayed.Close()
	relayAddress := strings.TrimPrefix(relayed.URL, "http://")
	broken := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(broken, []byte(`NodeName = "vm-1"`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		command flags.Commander
		args    []string
		code    int
		says    string
	}{
		{"check of settings with mistakes", &checkCommand{}, []string{"--settings", broken}, exitRefused, "availability_zone"},
		{"check of relay settings with a mistake", &checkCommand{}, []string{"--relay-settings", broken}, exitRefused, "Zone is missing"},
		{"the same as JSON", &checkCommand{}, []string{"--relay-settings", broken, "--output", "json"}, exitRefused, `"mistake": `},
		{"check of no settings", &checkCommand{}, []string{"--settings", "testdata/none"}, exitRefused, "not_found"},
		{"dump of a relay process", &dumpCommand{}, []string{"--relay", relayAddress}, exitOK, `{"phase":"serving"}`},
		{"dump of no relay process", &dumpCommand{}, []string{"--relay", strings.TrimPrefix(closed.URL, "http://")}, exitUnreachable, "peer_unreachable"},
		{"check", &checkCommand{}, []string{example}, exitOK, "no mistakes in 3 files"},
		{"check without a directory", &checkCommand{}, nil, exitUsage, "DIR"},
		{"check of an absent directory", &checkCommand{}, []string{"testdata/none"}, exitRefused, "not_found"},
		{"status", &statusCommand{}, access, exitOK, "warning: entry-2 is suspected\n  what to do: \"lost entry VM\" in docs/OPERATIONS.md"},
		{"status without a version", &statusCommand{}, access, exitOK, "matcher     -        -     0      -        entry-1"},
		{"status as JSON", &statusCommand{}, append(access, "--output", "json"), exitOK, `"owner": "entry-1"`},
		{"warnings as JSON", &statusCommand{}, append(access, "--output", "json"), exitOK, `"section": "lost entry VM"`},
		{"status without a token", &statusCommand{}, access[:2], exitUsage, "--token"},
		{"status of nobody", &statusCommand{}, []string{"--address", closed.URL, "--token", token}, exitUnreachable, "peer_unreachable"},
		{"addresses", &addressesCommand{}, access, exitOK, "192.0.2.7:8080\nkeep for 15 seconds"},
		{"dump", &dumpCommand{}, []string{address, "--token", token}, exitOK, `{"pool":{}}`},
		{"unknown output", &versionCommand{}, []string{"--output", "xml"}, exitUsage, "xml"},
		{"version", &versionCommand{}, nil, exitOK, "fescuespar "},
	}
	for _, test := range tests {
		if output, code := execute(t, test.command, test.args...); code != test.code || !strings.Contains(output, test.says) {
			t.Errorf("%s: code %d, output %q; want code %d and %q", test.name, code, output, test.code, test.says)
		}
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	for _, c := range registered {
		if !strings.Contains(longDescription(c), "Example: fescuespar "+c.name) {
			t.Errorf("the help of %s has no example", c.name)
		}
	}
}
