package enginehttp

import (
	"testing"

	"fescuespar/internal/core"
)

// TestStatusOfSharedEngine decodes the report of an engine that several
// trainers share.
func TestStatusOfSharedEngine(t *testing.T) {
	status := decodeStatus("e", StatusBody{
		Model: "m", Adapter: "a", Version: 3,
		Versions: []AdapterVersion{{Adapter: "a", Version: 3}, {Adapter: "b", Version: 7, Loading: 8}},
	})
	for _, c := range []struct {
		adapter core.AdapterName
		want    core.AdapterVersion
		held    bool
	}{
		{"a", core.AdapterVersion{Adapter: "a", Version: 3}, true},
		{"b", core.AdapterVersion{Adapter: "b", Version: 7, Loading: 8}, true},
		{"c", core.AdapterVersion{}, false},
	} {
		if got, held := status.Holds(c.adapter); got != c.want || held != c.held {
			t.Errorf("adapter %s: %+v, %v", c.adapter, got, held)
		}
	}
}
