package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"fescuespar/internal/core"
)

// TestScorers checks that in each case the first candidate costs less than the
// second.
func TestScorers(t *testing.T) {
	here := &core.VM{Zone: "z1"}
	idle := Candidate{VM: here, SecondsPerToken: 0.01, LoadSlope: 0.0001, Weight: 1}
	with := func(change func(*Candidate)) Candidate {
		c := idle
		change(&c)
		return c
	}
	query := Query{Zone: "z1", ExpectedTokens: 50, Prefix: make([]uint64, 2), CostPerVersion: time.Second}
	cases := []struct {
		name          string
		scorer        Scorer
		better, worse Candidate
	}{
		{"less load", WaitScorer{}, idle, with(func(c *Candidate) { c.LoadTokens = 10 })},
		{"cached prefix", WaitScorer{}, with(func(c *Candidate) { c.CachedTokens = 10 }), idle},
		{"full weight", WaitScorer{}, idle, with(func(c *Candidate) { c.Weight = 0.5 })},
		{"same region", LinkScorer{Policy: DefaultPolicy().Link}, idle, with(func(c *Candidate) { c.Remote = true })},
		{"same zone", ZoneScorer{RoundTrip: time.Millisecond}, idle, with(func(c *Candidate) { c.VM = &core.VM{Zone: "z2"} })},
		{"no recent refusal", PushbackScorer{}, idle, with(func(c *Candidate) { c.Pushback = time.Second })},
		{"newest version", LagScorer{}, idle, with(func(c *Candidate) { c.VersionLag = 1 })},
	}
	for _, c := range cases {
		if better, worse := c.scorer.Score(&c.better, &query), c.scorer.Score(&c.worse, &query); better >= worse {
			t.Errorf("%s: costs %v and %v, want the first below the second", c.name, better, worse)
		}
	}
}

func TestLeastCostBreaksTiesAtRandom(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	candidates := []Candidate{{cost: 2}, {cost: 1}, {cost: 1}, {cost: 3}}
	var picks [4]int
	for range 1000 {
		picks[LeastCost{}.Pick(candidates, random)]++
	}
	if picks[0]+picks[3] != 0 || picks[1] < 400 || picks[2] < 400 {
		t.Errorf("picks %v, want only the two cheapest candidates, about equally often", picks)
	}
}
