// Package membership decides how entry processes find each other and keep an
// eye on each other: whom to send a heartbeat, what it says, what is believed
// after one arrives or fails, and which addresses callers are told.
//
// Suspicion is never proof. It only keeps an address from callers and steers
// heartbeats; ownership passes on when a lease has lapsed.
package membership

import (
	"math"
	"time"

	"fescuespar/internal/core"
)

// Times of the protocol.
const (
	RoundInterval    = time.Second            // between rounds without news
	UrgentInterval   = 100 * time.Millisecond // between rounds that spread news
	HeartbeatTimeout = time.Second            // for a heartbeat to be answered
	PartnerLifetime  = 16 * time.Minute       // a partner is replaced after it
	WitnessLifetime  = 30 * time.Second       // a report of a missed member counts for it
	DenialInterval   = 5 * time.Second        // between a process's denials of being unreachable
	LeavingGone      = time.Minute            // unheard for it, a leaving member is gone
	UnlistedGone     = 2 * time.Minute        // a suspect that the VM list lacks for it is gone
	SuspectGone      = 10 * time.Minute       // a suspect for it is gone
	GoneForgotten    = 10 * time.Minute       // a gone member for it is forgotten
	AddressKeep      = 30 * time.Second       // longest that callers keep an answer
	AddressKeepShort = 10 * time.Second       // the same while members are suspect
)

// Budgets for control at the size of FleetSize members.
const (
	FleetSize            = 610
	BytesPerSecondBudget = 3000  // sent and received by one process
	CoreShareBudget      = 0.016 // of one core
	MemoryBudget         = 256e6 // bytes
	SmallFleetSize       = 32    // up to it, news spreads within SmallNewsTime
	SmallNewsTime        = 5 * time.Second
	FleetNewsTime        = 12 * time.Second
)

// Bounds of one heartbeat and one round.
const (
	maxUpdates    = 8  // member updates in a heartbeat
	maxJoinUpdate = 48 // members in an answer to a process that knows few
	maxUnreached  = 16 // reports of missed members
	maxTags       = 64 // tags of members that applied the newest generation
	maxWeights    = 16 // weight news
	maxPartners   = 16 // members that a process sends heartbeats to in turn
	maxRetries    = 2  // missed members tried again in a round
	maxConfirmers = 3  // members asked to confirm that another is unreachable
	maxSeeds      = 2  // seed addresses tried in a round while alone
	urgentRounds  = 2  // urgent rounds after news
	lostProbeOdds = 10 // one round in so many tries a suspect or gone member
)

const (
	minMissed    = 3 // heartbeats missed by a confirmer
	minWitnesses = 2 // other members that miss it too
	tagTransmits = 5 // transmissions of an applied tag
	aliveFactor  = 1 // transmissions of an update, times log2 of the members
	graveFactor  = 2 // the same when the member is not alive
)

// fanout returns the partners that get a heartbeat in one round.
func fanout(members int) int {
	if members <= SmallFleetSize {
		return 2
	}
	return 1
}

// missLimit returns the consecutive missed heartbeats after which a member is
// reported to others. It grows with the members, as more heartbeats are lost
// by chance.
func missLimit(members int) int {
	return minMissed + int(math.Log10(float64(max(members, 1))))/2
}

// transmitLimit returns how often a process sends on one member update.
func transmitLimit(members int, state core.MemberState) int {
	factor := aliveFactor
	if state != core.MemberAlive {
		factor = graveFactor
	}
	return factor * int(math.Ceil(math.Log2(float64(members+1))))
}
