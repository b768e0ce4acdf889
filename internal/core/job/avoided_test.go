package job

import (
	"slices"
	"testing"
	"time"

	"fescuespar/internal/core"
)

func TestAvoidedEngines(t *testing.T) {
	avoided := Avoided{Slow: []core.ServerID{"slow"}, Loading: map[core.ModelName][]core.ServerID{"m": {"loads"}, "n": {"other"}}}
	for _, c := range []struct {
		name  string
		start Start
		want  []core.ServerID
	}{
		{"new item", Start{Model: "m"}, []core.ServerID{"loads", "slow"}},
		{"stream interrupted by an engine", Start{Model: "m", AvoidServer: "cut"}, []core.ServerID{"loads", "slow", "cut"}},
		{"waited longer than the limit", Start{Model: "m", Waited: slowEngineWait + time.Millisecond}, []core.ServerID{"loads"}},
	} {
		if got := avoided.For(&c.start); !slices.Equal(got, c.want) {
			t.Errorf("%s: avoided engines %v, want %v", c.name, got, c.want)
		}
	}
}
