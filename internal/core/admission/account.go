package admission

import (
	"time"

	"fescuespar/internal/core"
)

// account records the loans between this process and one peer. The counters
// only grow within an epoch, so that lost, late and repeated updates do no
// harm. An account exists only while units are lent or requested.
type account struct {
	localEpoch     core.AccountEpoch // epoch of this process's counters
	peerEpoch      core.AccountEpoch // epoch of the peer's counters
	given          uint64            // units that this process gave to the peer
	received       uint64            // units that the peer gave to this process
	givenSent      uint64            // value of given in the newest heartbeat to the peer
	givenConfirmed uint64            // value of given that the peer has acknowledged

	// revoked counts units of a former epoch that the peer may use until it has
	// seen the current epoch, and until revokedUntil at the latest.
	revoked      int
	revokedUntil time.Time

	peerDemand             int // requests in flight and waiting at the peer
	peerUsable             int // units usable by the peer
	peerWaitingInteractive int // interactive requests that wait at the peer
	lastHeard              time.Time
	lastAnswered           time.Time // send time of the newest heartbeat that the peer answered
	lastSent               time.Time // send time of the newest heartbeat to the peer with an update
	replyDue               bool      // an update in a heartbeat of the peer has not been answered
	startConfirmed         bool      // the peer counts this process as a member and uses none of its units
}

// netBorrowed returns the number of units borrowed from the peer; it is
// negative when units are lent to it.
func (a *account) netBorrowed() int { return int(a.received) - int(a.given) }

// isOpen reports whether units are lent, or were returned and the peer has not
// acknowledged it.
func (a *account) isOpen() bool { return a.netBorrowed() != 0 || a.given > a.givenConfirmed }

// endLoans ends all loans with the peer by starting a new epoch. The peer may
// use the revoked units until it sees the new epoch.
func (a *account) endLoans(epoch core.AccountEpoch, revoked int, until time.Time) {
	a.localEpoch = epoch
	a.given, a.received, a.givenSent, a.givenConfirmed = 0, 0, 0, 0
	a.revoked, a.revokedUntil = revoked, until
}

// applyUpdate applies an update of the peer, unless it is of a former epoch of
// the peer.
func (a *account) applyUpdate(update core.LimitUpdate, now time.Time) {
	if update.Epoch.Before(a.peerEpoch) {
		return
	}
	if a.peerEpoch.Before(update.Epoch) {
		a.peerEpoch = update.Epoch
		a.given, a.received, a.givenSent, a.givenConfirmed = 0, 0, 0, 0
	}
	a.lastHeard = now
	a.peerDemand, a.peerUsable, a.peerWaitingInteractive = int(update.Demand), int(update.Held), int(update.WaitingInteractive)
	a.startConfirmed = a.startConfirmed || (update.Cleared && update.Seen.Incarnation == a.localEpoch.Incarnation)
	if update.Seen == a.localEpoch {
		a.received = max(a.received, update.Lent)
		a.revoked = 0
	}
}

// recordAnswer records that the peer answered the heartbeat sent at the given
// time. Only the newest heartbeat with an update counts: the peer relies on
// this process from the update on.
func (a *account) recordAnswer(sent time.Time) {
	if !sent.Equal(a.lastSent) {
		return
	}
	a.lastAnswered = sent
	a.givenConfirmed = max(a.givenConfirmed, a.givenSent)
}
