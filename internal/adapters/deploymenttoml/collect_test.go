package deploymenttoml

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/adapters/stricttoml"
	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
)

// formatPlaces returns problems as "file:line key" with paths relative to dir.
func formatPlaces(t *testing.T, dir string, problems []stricttoml.Problem) []string {
	t.Helper()
	var formatted []string
	for _, p := range problems {
		path, err := filepath.Rel(dir, p.File)
		if err != nil {
			t.Fatal(err)
		}
		if p.Found == "" || p.Allowed == "" {
			t.Errorf("problem %s lacks the value found or the values allowed", p)
		}
		formatted = append(formatted, fmt.Sprintf("%s:%d %s", path, p.Line, p.Key))
	}
	return formatted
}

func collect(t *testing.T, dir string) *Collection {
	t.Helper()
	c, err := Collect(dir)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestAllTenMistakesAreReported(t *testing.T) {
	const dir = "testdata/ten-mistakes"
	want := []string{
		"adoptions/deployment.toml:4 class",
		"adoptions/deployment.toml:5 callers[1]",
		"adoptions/deployment.toml:6 colour",
		"adoptions/deployment.toml:9 limits.concurrent",
		"adoptions/deployment.toml:11 limits.queue_timeout",
		"adoptions/deployment.toml:22 rollout.idle_weight",
		"coach/deployment.toml:1 name",
		"coach/deployment.toml:11 limits.queue_timeout",
		"coach/deployment.toml:14 rollout.scorer",
		"coach/deployment.toml:20 rollout.staleness_bound",
	}
	if got := formatPlaces(t, dir, collect(t, dir).Problems); !slices.Equal(got, want) {
		t.Errorf("problems:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, test := range []struct {
		dir          string
		engine, once int
	}{
		{"anerie", 2, 2},
		{"kootenay", 2, 3},
	} {
		c := collect(t, filepath.Join("../../../examples", test.dir))
		for _, p := range c.Problems {
			t.Error(p)
		}
		engine, once := 0, 0
		for _, d := range c.Deployments {
			once += len(d.NonIdempotent)
			if d.Kind == core.KindEngine && d.Rollout != nil {
				engine++
			}
		}
		if engine != test.engine || once != test.once {
			t.Errorf("%s: %d deployments with rollouts and %d once patterns, want %d and %d", test.dir, engine, once, test.engine, test.once)
		}
	}
}

const completeFile = `
name = "matcher"
kind = "engine"
service = "donkey-matcher"
adapter = "notes"
class = "rollout"
callers = ["portal", "desk"]
checks_fencing = true
pinned_version = 41
limits = { concurrent = 72, queue_length = 256, queue_timeout = "5s", request_timeout = "1m" }
[[once]]
method = "POST"
path_prefix = "/sponsorships"
[rollout]
trainer = "trainer"
scorer = "scorer"
prompts = "prompts/matcher.txt"
group_size = 8
groups_per_step = 16
max_tokens = 512
staleness_bound = 2
idle_weight = 0.25
`

func TestReadFileFillsEveryField(t *testing.T) {
	want := core.Deployment{
		Name: "matcher", Kind: core.KindEngine, Service: "donkey-matcher", Adapter: "notes",
		Class: core.ClassRollout, Callers: []core.CallerName{"portal", "desk"},
		Limits:        core.Limits{Concurrent: 72, QueueLength: 256, QueueTimeout: 5 * time.Second, RequestTimeout: time.Minute},
		NonIdempotent: []core.CallPattern{{Method: "POST", PathPrefix: "/sponsorships"}},
		Rollout: &core.Rollout{Trainer: "trainer", Scorer: "scorer", Prompts: "prompts/matcher.txt", GroupSize: 8,
			GroupsPerStep: 16, MaxTokens: 512, StalenessBound: 2, IdleWeight: 0.25},
		Fencing: true, Versions: core.VersionPolicy{Pinned: 41},
	}
	got, file := ReadFile("matcher.toml", []byte(completeFile))
	if problems := file.Problems(); len(problems) > 0 {
		t.Fatal(stricttoml.Join(problems))
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("deployment = %+v, want %+v", got, want)
	}
}

// TestOneMistakeIsReportedOnce checks that a mistake in a file is not reported a
// second time by the validation of the resulting default value.
func TestOneMistakeIsReportedOnce(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"misspelt key", "group_size", "group_sise", "x.fescuespar.toml:18 rollout.group_sise"},
		{"missing table", "limits = {", "#", "x.fescuespar.toml:1 limits"},
		{"wrong type of table", "[rollout]", "rollout = 3\n[other]", "x.fescuespar.toml:14 rollout"},
		{"number without unit", `"5s"`, "5", "x.fescuespar.toml:10 limits.queue_timeout"},
		{"wrong unit", `"5s"`, `"5 sec"`, "x.fescuespar.toml:10 limits.queue_timeout"},
		{"octal integer", "= 512", "= 0512", "x.fescuespar.toml:20 "},
		{"not a number", "= 0.25", "= nan", "x.fescuespar.toml:22 rollout.idle_weight"},
		{"caller of a wrong type", `"desk"`, "7", "x.fescuespar.toml:7 callers[1]"},
		{"repeated key", "kind =", "name = \"b\"\nkind =", "x.fescuespar.toml:3 name"},
		{"syntax error", "scorer =", "scorer", "x.fescuespar.toml:16 "},
	}
	valid := strings.NewReplacer("pinned_version = 41", "", "[[once]]\nmethod = \"POST\"\npath_prefix = \"/sponsorships\"", "\n\n").Replace(completeFile)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			body := strings.Replace(valid, test.old, test.new, 1)
			if err := os.WriteFile(filepath.Join(dir, "x.fescuespar.toml"), []byte(body), 0o600); err != nil {
				t.Fatal(err)
			}
			got := formatPlaces(t, dir, collect(t, dir).Problems)
			got = slices.DeleteFunc(got, func(place string) bool { return strings.HasSuffix(place, " other") })
			if !slices.Equal(got, []string{test.want}) {
				t.Errorf("problems = %q, want only %q", got, test.want)
			}
		})
	}
}

func TestDirectoryWithoutFilesIsReported(t *testing.T) {
	if c := collect(t, t.TempDir()); len(c.Problems) != 1 {
		t.Errorf("problems = %v, want one", c.Problems)
	}
}

func FuzzReadFile(f *testing.F) {
	f.Add([]byte(completeFile))
	f.Add([]byte("[[once]]\n[once.a]\n[once]\nonce.b = 1\nx = [{a = [1]}]\n"))
	f.Add([]byte("a = 1\n[a.b]\n'' = \"\"\n[limits]\nqueue_timeout = \"-1s\""))
	f.Fuzz(func(t *testing.T, body []byte) {
		d, file := ReadFile("f.toml", body)
		lines := 1 + strings.Count(string(body), "\n")
		for _, p := range file.Problems() {
			if p.Line < 1 || p.Line > lines {
				t.Errorf("line of problem %s is not in the file, which has %d lines", p, lines)
			}
		}
		if len(file.Problems()) == 0 && d.Name == "" {
			t.Error("no problem reported for a file without a deployment name")
		}
		configuration.Validate([]core.Deployment{d})
	})
}

func TestDocumentedFilesAreValid(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators-files.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(page), "```toml\n")[1:]
	for _, block := range blocks {
		body, _, _ := strings.Cut(block, "```")
		d, file := ReadFile("operators-files.md", []byte(body))
		if problems := file.Problems(); len(problems) > 0 {
			t.Error(stricttoml.Join(problems))
		}
		for _, p := range configuration.Validate([]core.Deployment{d}) {
			t.Error(p)
		}
	}
	if len(blocks) == 0 {
		t.Error("docs/operators-files.md has no TOML example")
	}
}
