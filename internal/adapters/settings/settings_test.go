package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/adapters/stricttoml"
)

const validSettings = `vm = "entry-1"
availability_zone = "qc-est-a"
region = "qc-est"
[listen]
callers = "192.0.2.7:8080"
peers = "192.0.2.7:8081"
[peers]
seeds = ["192.0.2.8:8081"]
authority = "ca.pem"
certificate = "/keys/entry.pem"
key = "/keys/entry.key"
[platform]
table = "http://192.0.2.1:9000"
objects = "http://192.0.2.1:9001"
vm_list = "http://192.0.2.1:9002/vms"
[[tokens]]
role = "operator"
name = "vera"
token = "0123456789abcdef"
[[tokens]]
role = "caller"
name = "portal"
token_file = "portal.token"
[lanes.engines]
in_flight = 7
[intervals]
vm_list_poll = "250ms"
[body_limits]
request = "64KiB"
`

func readFile(path string) ([]byte, error) {
	switch path {
	case "/etc/portal.token":
		return []byte("portal-token-0123456789\n"), nil
	case "/etc/ca.pem", "/keys/entry.pem", "/keys/entry.key":
		return nil, nil
	}
	return nil, errors.New("no such file")
}

func TestReadSetsValuesAndDefaults(t *testing.T) {
	s, problems := Read("/etc/settings.toml", []byte(validSettings), readFile)
	if len(problems) > 0 {
		t.Fatal(stricttoml.Join(problems))
	}
	got := fmt.Sprintln(s.VM, s.Zone, s.Region, s.Listen, s.Advertise, s.Seeds, s.TLS, s.Platform, s.Lanes.Engines,
		s.Intervals.VMListPoll, s.BodyLimits.MaxBodyBytes, s.Intervals.LeaseTerm == 6*time.Second, s.LogLevel)
	want := "entry-1 qc-est-a qc-est {192.0.2.7:8080 192.0.2.7:8081} { } [192.0.2.8:8081] " +
		"{/etc/ca.pem /keys/entry.pem /keys/entry.key} " +
		"{http://192.0.2.1:9000 http://192.0.2.1:9001 http://192.0.2.1:9002/vms} {7 8192} 250ms 65536 true info\n"
	if got != want {
		t.Errorf("settings:\n%s\nwant:\n%s", got, want)
	}
	if s.Tokens[0].Value != "0123456789abcdef" || s.Tokens[1].Value != "portal-token-0123456789" {
		t.Errorf("tokens do not have the values of the settings and the token file")
	}
	for _, form := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		if text := fmt.Sprintf(form, s.Tokens); strings.Contains(text, "0123456789") {
			t.Errorf("formatting with %s shows a token", form)
		}
	}
}

func TestReadReportsEachMistake(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"missing key", `vm = "entry-1"`, "", "1 vm"},
		{"unknown key", `region = "qc-est"`, "region = \"qc-est\"\ncolour = 1", "4 colour"},
		{"missing table", "[listen]\ncallers = \"192.0.2.7:8080\"\npeers = \"192.0.2.7:8081\"", "", "1 listen"},
		{"address by name", `"192.0.2.7:8080"`, `"localhost:8080"`, "5 listen.callers"},
		{"listens on all addresses", `"192.0.2.7:8081"`, `"0.0.0.0:8081"`, "1 advertise.peers"},
		{"seed without port", `"192.0.2.8:8081"`, `"192.0.2.8"`, "8 peers.seeds[0]"},
		{"seed of a wrong type", `"192.0.2.8:8081"`, `7`, "8 peers.seeds[0]"},
		{"no such key file", "/keys/entry.key", "/keys/none", "11 peers.key"},
		{"no such URL", `"http://192.0.2.1:9000"`, `"192.0.2.1:9000"`, "13 platform.table"},
		{"unknown role", `"operator"`, `"admin"`, "17 tokens[0].role"},
		{"short token", `"0123456789abcdef"`, `"sesame"`, "19 tokens[0].token"},
		{"no token", `token_file = "portal.token"`, "", "20 tokens[1]"},
		{"no such token file", `"portal.token"`, `"none"`, "23 tokens[1].token_file"},
		{"one token for two names", `token_file = "portal.token"`, `token = "0123456789abcdef"`, "20 tokens[1]"},
		{"repeated name", "role = \"caller\"\nname = \"portal\"", "role = \"operator\"\nname = \"vera\"", "22 tokens[1].name"},
		{"unknown lane", "[lanes.engines]", "[lanes.engine]", "24 lanes.engine"},
		{"interval without unit", `"250ms"`, "250", "27 intervals.vm_list_poll"},
		{"slow poll", `"250ms"`, `"2m"`, "27 intervals.vm_list_poll"},
		{"slow renewal", `vm_list_poll = "250ms"`, `lease_renewal = "4s"`, "27 intervals.lease_renewal"},
		{"size without unit", `"64KiB"`, "65536", "29 body_limits.request"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, problems := Read("/etc/settings.toml", []byte(strings.Replace(validSettings, test.old, test.new, 1)), readFile)
			var got []string
			for _, p := range problems {
				got = append(got, fmt.Sprintf("%d %s", p.Line, p.Key))
			}
			if !slices.Equal(got, []string{test.want}) {
				t.Errorf("problems = %q, want only %q", got, test.want)
			}
			if strings.Contains(stricttoml.Join(problems), "0123456789") {
				t.Error("a problem shows a token")
			}
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[[tokens]]\ntoken = 1\n[tokens.x]\n[lanes]\ntable = 3\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, problems := Read("/etc/settings.toml", body, readFile)
		if len(problems) == 0 && (s.VM == "" || s.Platform.Table == "" || len(s.Tokens) == 0 || s.BodyLimits.MaxBodyBytes < minBodyBytes) {
			t.Errorf("no problem reported for settings %+v", s)
		}
	})
}

// TestExampleShowsTheDefaults checks that the example settings list each optional
// key in a comment, with its default value.
func TestExampleShowsTheDefaults(t *testing.T) {
	body, err := os.ReadFile("../../../examples/entry/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	readable := func(path string) ([]byte, error) { return []byte("token-of-" + path), nil }
	asGiven, problems := Read("settings.toml", body, readable)
	if len(problems) > 0 {
		t.Fatal(stricttoml.Join(problems))
	}
	commented := regexp.MustCompile(`(?m)^# (\[[a-z_]+\]|[a-z_]+ *=)`)
	uncommented, problems := Read("settings.toml", commented.ReplaceAll(body, []byte("$1")), readable)
	if len(problems) > 0 {
		t.Fatal(stricttoml.Join(problems))
	}
	if asGiven.Advertise != (Endpoints{}) || uncommented.Advertise == (Endpoints{}) {
		t.Errorf("advertise is %v as given and %v with the comments enabled", asGiven.Advertise, uncommented.Advertise)
	}
	uncommented.Advertise = Endpoints{}
	if !reflect.DeepEqual(asGiven, uncommented) {
		t.Errorf("the example has %+v, the defaults are %+v", uncommented, asGiven)
	}
}
