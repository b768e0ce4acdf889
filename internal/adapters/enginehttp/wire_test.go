package enginehttp

import (
	"testing"

	"fescuespar/internal/core"
)

// TestStatusOfSharedEngine decodes the status of an engine that has loaded the
// adapters of several trainers.
func TestStatusOfSharedEngine(t *testing.T) {
	status := decodeStatus("e", StatusBody{
		Model: "m", Adapter: "a", Version: 3,
		Versions: []AdapterVersion{{Adapter: "a", Version: 3}, {Adapter: "b", Version: 7, Loading: 8}},
	})
	for _, c := range []struct {
		adapter core.AdapterName
		want    core.AdapterVersion
		loaded  bool
	}{
		{"a", core.AdapterVersion{Adapter: "a", Version: 3}, true},
		{"b", core.AdapterVersion{Adapter: "b", Version: 7, Loading: 8}, true},
		{"c", core.AdapterVersion{}, false},
	} {
		if got, loaded := status.Holds(c.adapter); got != c.want || loaded != c.loaded {
			t.Errorf("adapter %s: %+v, %v", c.adapter, got, loaded)
		}
	}
}
