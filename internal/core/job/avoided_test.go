package job

import (
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

func TestAvoidedEngines(t *testing.T) {
	avoided := AvoidedEngines{Slow: []core.ServerID{"slow"}, Weak: []core.ServerID{"weak"}, Loading: map[core.ModelName][]core.ServerID{"m": {"loads"}, "n": {"other"}}}
	for _, c := range []struct {
		name  string
		start RunStart
		want  []core.ServerID
	}{
		{"new item", RunStart{Model: "m"}, []core.ServerID{"loads", "slow"}},
		{"long item", RunStart{Model: "m", IsLong: true}, []core.ServerID{"loads", "slow", "weak"}},
		{"long item waited longer than the limit", RunStart{Model: "m", IsLong: true, Waited: weakEngineWait}, []core.ServerID{"loads", "slow"}},
		{"stream interrupted by an engine", RunStart{Model: "m", AvoidServer: "cut"}, []core.ServerID{"loads", "slow", "cut"}},
		{"waited longer than the limit", RunStart{Model: "m", Waited: slowEngineWait + time.Millisecond}, []core.ServerID{"loads"}},
	} {
		if got := avoided.EnginesFor(&c.start); !slices.Equal(got, c.want) {
			t.Errorf("%s: avoided engines %v, want %v", c.name, got, c.want)
		}
	}
}
