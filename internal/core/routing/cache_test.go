package routing

import (
	"testing"
	"time"

	"fescuespar/internal/core"
)

// held returns the tokens of a prompt's prefix that routing takes as cached on
// each of the servers that it found through the prefix index.
func held(state *State, prefix []uint64, now time.Time) map[core.ServerID]int {
	_, random := stateOf(nil)
	query := coachQuery()
	query.Prefix, query.Region = prefix, "nowhere"
	state.begin(state.poolList[0], &query, now)
	state.gatherAffine(random)
	found := make(map[core.ServerID]int)
	for _, c := range state.decision.candidates[:state.decision.count] {
		found[c.VM.ID] = int(c.Cached + 0.5)
	}
	return found
}

func stored(first, last uint64) (events []core.CacheEvent) {
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
		}, epoch.Add(at))
	}
	whole := len(prefix) * tokensPerBlock
	cases := []struct {
		name  string
		learn func(*State)
		at    time.Duration
		least int
		most  int
	}{
		{"nothing known", func(*State) {}, 0, 0, 0},
		{"own dispatch", func(s *State) {
			query := coachQuery()
			query.Prefix = prefix
			s.Begin(id, query, epoch)
		}, time.Second, whole, whole},
		{"own dispatch expires", func(s *State) {
			query := coachQuery()
			query.Prefix = prefix
			s.Begin(id, query, epoch)
		}, time.Hour, 0, 0},
		{"events", func(s *State) { report(s, 0, 1, 5, stored(101, 104)) }, time.Second, whole, whole},
		{"events of a part", func(s *State) { report(s, 0, 1, 3, stored(101, 102)) }, time.Second, whole / 2, whole / 2},
		{"eviction", func(s *State) {
			report(s, 0, 1, 5, stored(101, 104))
			report(s, time.Second, 1, 7, []core.CacheEvent{{PrefixHash: 104, Evicted: true}, {PrefixHash: 103, Evicted: true}})
		}, 2 * time.Second, whole / 2, whole / 2},
		{"late eviction of what we stored again", func(s *State) {
			query := coachQuery()
			query.Prefix = prefix
			report(s, 0, 1, 1, nil)
			s.Begin(id, query, epoch.Add(3*time.Second))
			report(s, time.Second, 1, 2, []core.CacheEvent{{PrefixHash: 104, Evicted: true}})
		}, 4 * time.Second, whole, whole},
		{"gap lowers trust", func(s *State) {
			report(s, 0, 1, 5, stored(101, 104))
			report(s, time.Second, 1, 13, nil)
		}, 2 * time.Second, 1, whole - 1},
		{"learnt after a gap is trusted", func(s *State) {
			report(s, 0, 1, 2, stored(901, 901))
			report(s, time.Second, 1, 100, stored(101, 104))
		}, 2 * time.Second, whole, whole},
		{"engine started anew", func(s *State) {
			report(s, 0, 1, 5, stored(101, 104))
			report(s, time.Second, 1, 1, nil)
		}, 2 * time.Second, 0, 0},
		{"new weights", func(s *State) {
			report(s, 0, 1, 5, stored(101, 104))
			report(s, time.Second, 2, 5, nil)
		}, 2 * time.Second, 0, 0},
		{"report that arrived out of order", func(s *State) {
			report(s, time.Second, 1, 5, stored(101, 104))
			report(s, 0, 1, 2, stored(101, 101))
		}, 2 * time.Second, whole, whole},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state, _ := stateOf(engineVMs(2))
			c.learn(state)
			if got := held(state, prefix, epoch.Add(c.at))[id]; got < c.least || got > c.most {
				t.Errorf("%d tokens taken as cached, want %d to %d", got, c.least, c.most)
			}
		})
	}
}

func TestSlotOfAServerThatLeftTellsNothingOfItsSuccessor(t *testing.T) {
	state, _ := stateOf(engineVMs(1))
	state.ApplyStatus(core.EngineStatus{Server: "engine-0000", Model: "coach", CacheEvents: stored(1, 4), NextEvent: 5}, epoch)
	state.ApplyVMs([]core.VM{engineVM(9, "east")})
	if got := held(state, []uint64{1, 2, 3, 4}, epoch); len(got) != 0 {
		t.Errorf("cached %v, want nothing known of the new server", got)
	}
}
