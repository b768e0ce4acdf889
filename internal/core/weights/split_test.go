package weights

import (
	"fmt"
	"testing"

	"fescuespar/internal/core"
)

func newServerIDs(count int) []core.ServerID {
	var engines []core.ServerID
	for i := range count {
		engines = append(engines, core.ServerID(fmt.Sprintf("e%02d", i)))
	}
	return engines
}

func TestDivide(t *testing.T) {
	cases := []struct {
		name    string
		engines int
		demand  map[core.ModelName]float64
		want    map[core.ModelName]int
	}{
		{"one model", 9, map[core.ModelName]float64{"a": 5}, map[core.ModelName]int{"a": 9}},
		{"equal demand", 8, map[core.ModelName]float64{"a": 5, "b": 5}, map[core.ModelName]int{"a": 4, "b": 4}},
		{"three to one", 8, map[core.ModelName]float64{"a": 30, "b": 10}, map[core.ModelName]int{"a": 6, "b": 2}},
		{"no demand", 8, map[core.ModelName]float64{"a": 0, "b": 0}, map[core.ModelName]int{"a": 4, "b": 4}},
		{"demand for one model", 8, map[core.ModelName]float64{"a": 7, "b": 0}, map[core.ModelName]int{"a": 6, "b": 2}},
		{"the minimum is a floor", 44, map[core.ModelName]float64{"a": 1440, "b": 3024, "c": 3024, "d": 1456}, map[core.ModelName]int{"a": 7, "b": 15, "c": 15, "d": 7}},
		{"demand below the minimum", 12, map[core.ModelName]float64{"a": 1, "b": 50, "c": 50}, map[core.ModelName]int{"a": 2, "b": 5, "c": 5}},
		{"too few engines to divide", 3, map[core.ModelName]float64{"a": 1, "b": 1}, map[core.ModelName]int{"a": 3, "b": 3}},
	}
	for _, c := range cases {
		parts := NewEngineSplit().Divide(newServerIDs(c.engines), c.demand)
		for model, want := range c.want {
			if len(parts[model]) != want {
				t.Errorf("%s: model %s has %d engines, want %d", c.name, model, len(parts[model]), want)
			}
		}
	}
}

// TestDivisionIsStable has two trainers submit in turn: the demand varies, but
// the engine counts must not change.
func TestDivisionIsStable(t *testing.T) {
	split := NewEngineSplit()
	demand := map[core.ModelName]float64{"a": 30, "b": 10}
	before := len(split.Divide(newServerIDs(8), demand)["a"])
	for step := range 20 {
		demand[[]core.ModelName{"a", "b"}[step%2]] += []float64{30, 10}[step%2]
		if now := len(split.Divide(newServerIDs(8), demand)["a"]); now != before {
			t.Errorf("step %d: %d engines for model a, want %d as before", step, now, before)
		}
	}
	if parts := split.Divide(newServerIDs(7), demand); len(parts["a"])+len(parts["b"]) != 7 {
		t.Errorf("after the loss of an engine the models have %d and %d of 7 engines", len(parts["a"]), len(parts["b"]))
	}
}
