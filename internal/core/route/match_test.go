package route

import (
	"math/rand/v2"
	"testing"

	"fescuespar/internal/core"
)

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	table := &core.RouteTable{Routes: []core.Route{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "i", Prefix: "/a/b/c/"},
	}}
	cases := []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h", "/a/b/c/x", "long"},
		{"h", "/a/bc", "short"},
		{"h", "/a", ""},
		{"i", "/a/x", ""},
		{"j", "/a/x", ""},
	}
	for _, c := range cases {
		got := ""
		if found, ok := Match(table, c.host, c.path); ok {
			got = found.Name
		}
		if got != c.want {
			t.Errorf("Match(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestChooseFollowsTheWeights(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	split := &core.Route{Services: []core.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := make(map[string]int)
	const draws = 10000
	for range draws {
		counts[ChooseService(split, random)]++
	}
	if counts["c"] != 0 || counts["b"] < draws/20 || counts["b"] > draws/5 {
		t.Errorf("counts %v do not follow weights 90, 10 and 0", counts)
	}
	if got := ChooseService(&core.Route{}, random); got != "" {
		t.Errorf("Choose on a route without services = %q, want none", got)
	}
	if got := HeaviestService(split); got != "a" {
		t.Errorf("Heaviest = %q, want a", got)
	}
}
