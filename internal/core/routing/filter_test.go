package routing

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

func TestFilters(t *testing.T) {
	live := &core.VM{ID: "a", State: core.VMLive}
	cases := []struct {
		name      string
		filter    Filter
		candidate Candidate
		query     Query
		want      bool
	}{
		{"live", LiveFilter{}, Candidate{VM: live}, Query{}, true},
		{"leaving", LiveFilter{}, Candidate{VM: &core.VM{State: core.VMLeaving}}, Query{}, false},
		{"not excluded", ExcludeFilter{}, Candidate{VM: live}, Query{Exclude: []core.ServerID{"b"}}, true},
		{"excluded", ExcludeFilter{}, Candidate{VM: live}, Query{Exclude: []core.ServerID{"b", "a"}}, false},
		{"same version", VersionFilter{}, Candidate{HoldsAdapter: true, Version: 3}, Query{Version: 3}, true},
		{"older version", VersionFilter{}, Candidate{HoldsAdapter: true, Version: 2}, Query{Version: 3}, false},
		{"newer version", VersionFilter{}, Candidate{HoldsAdapter: true, Version: 4}, Query{Version: 3}, true},
		{"newer version, exact", VersionFilter{}, Candidate{HoldsAdapter: true, Version: 4}, Query{Version: 3, ExactVersion: true}, false},
		{"same version, exact", VersionFilter{}, Candidate{HoldsAdapter: true, Version: 3}, Query{Version: 3, ExactVersion: true}, true},
		{"adapter not held", VersionFilter{}, Candidate{Version: 3}, Query{}, false},
		{"any software", SoftwareFilter{}, Candidate{VM: live}, Query{}, true},
		{"same software", SoftwareFilter{}, Candidate{VM: &core.VM{Software: "v1"}}, Query{Software: "v1", ExactSoftware: true}, true},
		{"other software", SoftwareFilter{}, Candidate{VM: &core.VM{Software: "v2"}}, Query{Software: "v1", ExactSoftware: true}, false},
		{"unknown software", SoftwareFilter{}, Candidate{VM: live}, Query{ExactSoftware: true}, false},
		{"not ejected", HealthFilter{}, Candidate{}, Query{}, true},
		{"ejected", HealthFilter{}, Candidate{Ejected: true}, Query{}, false},
		{"same region, link full", LinkFilter{}, Candidate{}, Query{}, true},
		{"other region, link full", LinkFilter{}, Candidate{Remote: true}, Query{}, false},
		{"other region, link available", LinkFilter{}, Candidate{Remote: true, LinkAvailable: true}, Query{}, true},
		{"recent refusal, query for a slot", PushbackFilter{}, Candidate{Pushback: time.Second}, Query{RequiresFreeSlot: true}, false},
		{"no recent refusal, query for a slot", PushbackFilter{}, Candidate{}, Query{RequiresFreeSlot: true}, true},
		{"no limit", RateLimitFilter{}, Candidate{}, Query{Class: core.ClassRollout}, true},
		{"limit, unused", RateLimitFilter{}, Candidate{RateLimited: true, RateTokens: 1}, Query{Class: core.ClassRollout}, true},
		{"limit used up, rollout", RateLimitFilter{}, Candidate{RateLimited: true, RateTokens: 0.9}, Query{Class: core.ClassRollout}, false},
		{"limit used up, in advance", RateLimitFilter{}, Candidate{RateLimited: true, RateTokens: 0.4, RateAdvance: 0.6}, Query{Class: core.ClassInteractive}, true},
		{"limit used up in advance", RateLimitFilter{}, Candidate{RateLimited: true, RateTokens: 0.3, RateAdvance: 0.6}, Query{Class: core.ClassInteractive}, false},
		{"recent refusal, other query", PushbackFilter{}, Candidate{Pushback: time.Second}, Query{}, true},
	}
	for _, c := range cases {
		if got := c.filter.Accepts(&c.candidate, &c.query); got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.want)
		}
	}
}
