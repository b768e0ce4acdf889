package routing

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// cachedByServer returns the expected cached tokens of a prompt for each server
// found through the prefix index.
func cachedByServer(state *State, prefix []uint64, now time.Time) map[core.ServerID]int {
	_, random := newTestState(nil)
	query := coachQuery()
	query.Prefix, query.Region = prefix, "nowhere"
	state.beginDecision(state.poolsByCreation[0], &query, now)
	state.gatherPrefixHolders(random)
	found := make(map[core.ServerID]int)
	for _, c := range state.decision.candidates[:state.decision.candidateCount] {
		found[c.VM.ID] = int(c.CachedTokens + 0.5)
	}
	return found
}

func storedEvents(first, last uint64) (events []core.CacheEvent) {
	for hash := first; hash <= last; hash++ {
		events = append(events, core.CacheEvent{PrefixHash: hash})
	}
	return events
}

func TestCacheLearning(t *testing.T) {
	const id = "engine-0000"
	prefix := []uint64{101, 102, 103, 104}
	report := func(s *State, at time.Duration, version core.WeightVersion, next uint64, events []core.CacheEvent) {
		s.ApplyStatus(core.EngineStatus{
			Server: id, Model: "coach", Version: version, CacheEvents: events, NextEvent: next,
		}, testStart.Add(at))
	}
	promptTokens := len(prefix) * tokensPerBlock
	cases := []struct {
		name  string
		learn func(*State)
		at    time.Duration
		min   int
		max   int
	}{
		{"no information", func(*State) {}, 0, 0, 0},
		{"own dispatch", func(s *State) {
			query := coachQuery()
			query.Prefix = prefix
			s.Begin(id, query, testStart)
		}, time.Second, promptTokens, promptTokens},
		{"own dispatch expires", func(s *State) {
			query := coachQuery()
			query.Prefix = prefix
			s.Begin(id, query, testStart)
		}, time.Hour, 0, 0},
		{"events", func(s *State) { report(s, 0, 1, 5, storedEvents(101, 104)) }, time.Second, promptTokens, promptTokens},
		{"events of half the prompt", func(s *State) { report(s, 0, 1, 3, storedEvents(101, 102)) }, time.Second, promptTokens / 2, promptTokens / 2},
		{"eviction", func(s *State) {
			report(s, 0, 1, 5, storedEvents(101, 104))
			report(s, time.Second, 1, 7, []core.CacheEvent{{PrefixHash: 104, Evicted: true}, {PrefixHash: 103, Evicted: true}})
		}, 2 * time.Second, promptTokens / 2, promptTokens / 2},
		{"eviction measured before a later dispatch", func(s *State) {
			query := coachQuery()
			query.Prefix = prefix
			report(s, 0, 1, 1, nil)
			s.Begin(id, query, testStart.Add(3*time.Second))
			report(s, time.Second, 1, 2, []core.CacheEvent{{PrefixHash: 104, Evicted: true}})
		}, 4 * time.Second, promptTokens, promptTokens},
		{"gap in events lowers expectation", func(s *State) {
			report(s, 0, 1, 5, storedEvents(101, 104))
			report(s, time.Second, 1, 13, nil)
		}, 2 * time.Second, 1, promptTokens - 1},
		{"events after a gap count fully", func(s *State) {
			report(s, 0, 1, 2, storedEvents(901, 901))
			report(s, time.Second, 1, 100, storedEvents(101, 104))
		}, 2 * time.Second, promptTokens, promptTokens},
		{"engine restarted", func(s *State) {
			report(s, 0, 1, 5, storedEvents(101, 104))
			report(s, time.Second, 1, 1, nil)
		}, 2 * time.Second, 0, 0},
		{"new weights", func(s *State) {
			report(s, 0, 1, 5, storedEvents(101, 104))
			report(s, time.Second, 2, 5, nil)
		}, 2 * time.Second, 0, 0},
		{"report that arrived out of order", func(s *State) {
			report(s, time.Second, 1, 5, storedEvents(101, 104))
			report(s, 0, 1, 2, storedEvents(101, 101))
		}, 2 * time.Second, promptTokens, promptTokens},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state, _ := newTestState(engineVMs(2))
			c.learn(state)
			if got := cachedByServer(state, prefix, testStart.Add(c.at))[id]; got < c.min || got > c.max {
				t.Errorf("%d tokens expected in the cache, want %d to %d", got, c.min, c.max)
			}
		})
	}
}

func TestReusedSlotHasNoCacheOfPreviousServer(t *testing.T) {
	state, _ := newTestState(engineVMs(1))
	state.ApplyStatus(core.EngineStatus{Server: "engine-0000", Model: "coach", CacheEvents: storedEvents(1, 4), NextEvent: 5}, testStart)
	state.ApplyVMs([]core.VM{engineVM(9, "east")})
	if got := cachedByServer(state, []uint64{1, 2, 3, 4}, testStart); len(got) != 0 {
		t.Errorf("cached tokens %v, want none for the new server in the reused slot", got)
	}
}
