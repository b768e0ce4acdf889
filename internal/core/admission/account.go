package admission

import (
	"time"

	"fescuespar/internal/core"
)

// account is what a process has agreed with one peer. The counters only grow
// within an epoch, so that lost, late and repeated news do no harm. Accounts
// are kept only while something is lent or asked for.
type account struct {
	mine     core.AccountEpoch // of this process's side
	theirs   core.AccountEpoch // of the peer's side
	given    uint64            // units that this process gave to the peer
	received uint64            // units that the peer gave to this process
	carried  uint64            // given, as the newest question to the peer said
	arrived  uint64            // given, as the peer is known to have heard

	// owed are units of a former epoch that the peer may use until it has seen
	// the present one, or until the given time.
	owed      int
	owedUntil time.Time

	demand   int // of the peer
	held     int // usable by the peer
	people   int // people's requests that wait at the peer
	heard    time.Time
	answered time.Time // when the newest heartbeat that the peer answered was sent
	asked    time.Time // when the newest heartbeat of this process with news was sent
	reply    bool      // news of the peer's own heartbeat wait for an answer
	cleared  bool      // the peer counts this process and uses none of its part
}

// net is what this process holds of the peer's part; negative when it lent.
func (a *account) net() int { return int(a.received) - int(a.given) }

// open reports whether units are lent, or returned without the peer's knowing.
func (a *account) open() bool { return a.net() != 0 || a.given > a.arrived }

// end ends all loans with the peer in a new epoch. Owed are units that the peer
// may use until it hears of it.
func (a *account) end(epoch core.AccountEpoch, owed int, until time.Time) {
	a.mine = epoch
	a.given, a.received, a.carried, a.arrived = 0, 0, 0, 0
	a.owed, a.owedUntil = owed, until
}

// hear takes the peer's news; news of a former epoch of the peer are ignored.
func (a *account) hear(news core.LimitNews, now time.Time) {
	if news.Epoch.Before(a.theirs) {
		return
	}
	if a.theirs.Before(news.Epoch) {
		a.theirs = news.Epoch
		a.given, a.received, a.carried, a.arrived = 0, 0, 0, 0
	}
	a.heard = now
	a.demand, a.held, a.people = int(news.Demand), int(news.Held), int(news.People)
	a.cleared = a.cleared || (news.Cleared && news.Seen.Incarnation == a.mine.Incarnation)
	if news.Seen == a.mine {
		a.received = max(a.received, news.Given)
		a.owed = 0
	}
}

// answeredTo notes that the peer answered the heartbeat sent at the time. Only
// the newest one with news counts: the peer's trust begins with news.
func (a *account) answeredTo(sent time.Time) {
	if !sent.Equal(a.asked) {
		return
	}
	a.answered = sent
	a.arrived = max(a.arrived, a.carried)
}
