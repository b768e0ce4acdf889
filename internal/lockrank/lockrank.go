// Package lockrank gives every lock of the service a place in one order. A
// goroutine may take a lock only if its rank is above every rank that it holds.
// With the build tag lockcheck each acquisition is checked and a wrong order
// panics; without it a Mutex costs what a sync.Mutex does.
package lockrank

import "sync"

// Rank is a lock's place in the order; larger ranks are taken later.
type Rank int

// The lock order of the service. docs/DESIGN.md lists what each lock guards.
const (
	RankOutside       Rank = 1 // fakes and stand-ins: a call to them under any lock panics
	RankLifecycle     Rank = 10
	RankConfiguration Rank = 20
	RankMembers       Rank = 30
	RankLeases        Rank = 40
	RankVMList        Rank = 45
	RankServers       Rank = 50
	RankPolls         Rank = 55
	RankLimits        Rank = 60
	RankCrashes       Rank = 70
	RankRollouts      Rank = 80
	RankRuns          Rank = 85
	RankWeights       Rank = 90
	RankClaims        Rank = 100
	RankAnswers       Rank = 110
	RankPlatform      Rank = 120
	RankQueue         Rank = 200
	RankTimers        Rank = 210
	RankAdapter       Rank = 220
	RankMetrics       Rank = 230
)

// Mutex is a mutual exclusion lock with a rank.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked Mutex of the rank.
func New(rank Rank) Mutex { return Mutex{rank: rank} }

// Lock locks m. With the build tag lockcheck it panics when the goroutine
// holds a lock of the same or a larger rank.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks m.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}
