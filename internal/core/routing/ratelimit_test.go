package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
)

func TestRateLimitAppliesWhileAdvertised(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	random := rand.New(rand.NewPCG(1, 2))
	state := NewState(DefaultPolicy())
	state.ApplyVMs([]core.VM{{ID: "a", Kind: core.KindPlain, Service: "s", State: core.VMLive}})
	limited, answered := core.ServerNotice{Limited: true, RateLimit: 5, Answered: true}, core.ServerNotice{Answered: true}
	steps := []struct {
		name        string
		notice      core.ServerNotice
		sent, now   int
		wantChange  bool
		wantPerSecs float64
	}{
		{"no limit", answered, 0, 1, false, 0},
		{"advertised", limited, 1, 2, true, 5},
		{"advertised again", limited, 2, 3, false, 5},
		{"answer to an earlier request", answered, 1, 4, false, 5},
		{"report without a limit", core.ServerNotice{}, 3, 4, false, 5},
		{"answer without a limit", answered, 3, 5, true, 0},
	}
	for _, s := range steps {
		changed := state.RecordNotice("a", s.notice, at(s.sent), at(s.now), random)
		if got := state.Views()[0].RateLimit; changed != s.wantChange || got != s.wantPerSecs {
			t.Errorf("%s: changed %v, limit %v; want %v, %v", s.name, changed, got, s.wantChange, s.wantPerSecs)
		}
	}
}
