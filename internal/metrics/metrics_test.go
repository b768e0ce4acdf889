package metrics

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestPageListsEveryMetricOnce checks that docs/METRICS.md lists exactly the
// registered metrics.
func TestPageListsEveryMetricOnce(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed, registered []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| [a-z]+ \\| .+ \\|$").FindAllSubmatch(page, -1) {
		listed = append(listed, string(row[1]))
	}
	for name := range New().counters() {
		registered = append(registered, name)
	}
	for name := range (Gauges{}).byName() {
		registered = append(registered, name)
	}
	relay := NewRelay()
	for _, prefix := range []string{"", RelayPrefix} {
		NewClients().Register(relay.Registry, prefix, ClientGauges{})
	}
	relay.Registry.Each(func(name string, _ any) { registered = append(registered, name) })
	slices.Sort(listed)
	slices.Sort(registered)
	if !slices.Equal(listed, registered) {
		t.Errorf("docs/METRICS.md lists\n%v\nwant the registered metrics\n%v", listed, registered)
	}
}

// TestEveryMetricIsUsed searches the application's source for the code that
// increments each counter and sets each gauge.
func TestEveryMetricIsUsed(t *testing.T) {
	source := readSource(t, "../app")
	set := reflect.TypeFor[Set]()
	for i := range set.NumField() {
		if name := set.Field(i).Name; name != "Registry" && !strings.Contains(source, "metrics."+name+".Inc(") {
			t.Errorf("counter %s is never incremented", name)
		}
	}
	gauges := reflect.TypeFor[Gauges]()
	for i := range gauges.NumField() {
		if name := gauges.Field(i).Name; !regexp.MustCompile(`\b` + name + `:\s`).MatchString(source) {
			t.Errorf("gauge %s is never set", name)
		}
	}
	if fields := set.NumField() - 1; fields != len(New().counters()) {
		t.Errorf("%d counter fields, but %d registered counters", fields, len(New().counters()))
	}
	if fields := gauges.NumField(); fields != len((Gauges{}).byName()) {
		t.Errorf("%d gauge fields, but %d registered gauges", fields, len((Gauges{}).byName()))
	}
}

// TestEveryRelayMetricIsUsed does the same for the metrics of relay processes.
func TestEveryRelayMetricIsUsed(t *testing.T) {
	source := readSource(t, "../app/relay")
	set := reflect.TypeFor[Relay]()
	for i := range set.NumField() {
		name := set.Field(i).Name
		if name != "Registry" && !strings.Contains(source, "metrics."+name+".Inc(") && !strings.Contains(source, "metrics."+name+".Update(") {
			t.Errorf("metric %s is never updated", name)
		}
	}
}

// TestEveryClientMetricIsUsed does the same for the metrics of clients outside the limits.
func TestEveryClientMetricIsUsed(t *testing.T) {
	source := readSource(t, "../../cmd/fescuespar")
	counters := reflect.TypeFor[Clients]()
	for i := range counters.NumField() {
		if name := counters.Field(i).Name; !strings.Contains(source, "."+name) {
			t.Errorf("counter %s is never incremented", name)
		}
	}
}

// readSource returns the Go source of a folder without its tests.
func readSource(t *testing.T, folder string) string {
	t.Helper()
	paths, err := filepath.Glob(folder + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var source strings.Builder
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		source.Write(content)
	}
	return source.String()
}
