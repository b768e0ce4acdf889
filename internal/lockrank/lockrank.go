// Package lockrank defines the lock order of the service. A goroutine may acquire
// a lock only if the lock's rank is higher than the ranks of all locks that it
// holds. With the build tag lockcheck each acquisition is checked and a violation
// panics; without it a Mutex costs as much as a sync.Mutex.
package lockrank

import "sync"

// Rank is a lock's position in the lock order. Locks of higher rank are acquired
// later.
type Rank int

// The lock order of the service. docs/DESIGN.md lists what each lock guards.
const (
	RankExternal       Rank = 1 // fakes and stand-ins, so that calling them under any lock panics
	RankLifecycle      Rank = 10
	RankRoutingUpdates Rank = 15
	RankConfiguration  Rank = 20
	RankAccounts       Rank = 25
	RankMembers        Rank = 30
	RankLeases         Rank = 40
	RankVMList         Rank = 45
	RankServers        Rank = 50
	RankPolls          Rank = 55
	RankLimits         Rank = 60
	RankSlots          Rank = 62
	RankRouteDurations Rank = 65
	RankSoftware       Rank = 67
	RankCrashes        Rank = 70
	RankRollouts       Rank = 80
	RankRuns           Rank = 85
	RankWeights        Rank = 90
	RankClaims         Rank = 100
	RankAnswers        Rank = 110
	RankTrueTime       Rank = 112
	RankUsageCounts    Rank = 114
	RankUsageReports   Rank = 116
	RankDutyCalls      Rank = 118
	RankPlatform       Rank = 120
	RankQueue          Rank = 200
	RankTimers         Rank = 210
	RankAdapter        Rank = 220
	RankMetrics        Rank = 230
)

// Mutex is a mutual exclusion lock with a rank.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked Mutex of the given rank.
func New(rank Rank) Mutex { return Mutex{rank: rank} }

// Lock locks m. With the build tag lockcheck it panics if the goroutine holds a
// lock of the same or a higher rank.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock unlocks m. With the build tag lockcheck it panics if the goroutine does
// not hold a lock of m's rank.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}
