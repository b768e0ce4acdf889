// Package membership implements discovery and failure detection between entry
// processes: which members get a heartbeat, what it contains, how the view changes
// when one arrives or fails, and which addresses callers get.
//
// A suspect member may still be running. Suspicion only withholds its address from
// callers and affects who gets heartbeats; ownership is transferred only after a
// lease has expired.
package membership

import (
	"math"
	"time"

	"fescuespar/internal/core"
)

// Protocol timing.
const (
	RoundInterval         = time.Second            // between rounds with nothing new to send
	UrgentInterval        = 100 * time.Millisecond // between rounds that spread a change
	HeartbeatTimeout      = time.Second            // time allowed for the answer to a heartbeat
	PartnerLifetime       = 16 * time.Minute       // mean time until a partner is replaced
	ReportLifetime        = 30 * time.Second       // how long a report of an unreachable member is valid
	MinDenialInterval     = 5 * time.Second        // minimum between a process's denials of being unreachable
	LeavingTimeout        = time.Minute            // a leaving member becomes gone after this time without a heartbeat
	UnlistedTimeout       = 2 * time.Minute        // a suspect becomes gone after this time without an entry in the VM list
	SuspectTimeout        = 10 * time.Minute       // a suspect becomes gone after this time
	GoneRetention         = 10 * time.Minute       // a gone member is removed after this time
	AddressCacheTime      = 30 * time.Second       // how long callers may cache an answer
	ShortAddressCacheTime = 10 * time.Second       // the same while a member is suspect or leaving
)

// Budgets of the control traffic for a fleet of FleetSize members.
const (
	FleetSize            = 610
	BytesPerSecondBudget = 3000  // bytes sent and received by one process
	CoreShareBudget      = 0.016 // share of one core
	MemoryBudget         = 256e6 // bytes
	SmallFleetSize       = 32    // up to this size, a change reaches all members within SmallFleetSpreadTime
	SmallFleetSpreadTime = 5 * time.Second
	FleetSpreadTime      = 12 * time.Second
)

// Limits of a heartbeat and of a round.
const (
	maxUpdates             = 8  // member updates in a heartbeat
	maxJoinUpdate          = 48 // members in an answer to a process that knows less than half of them
	maxUnreached           = 16 // unreachable members reported in a heartbeat
	maxTags                = 64 // tags of members that have applied the newest generation
	maxWeights             = 16 // weight versions in a heartbeat
	maxPartners            = 16 // members that a process regularly sends heartbeats to
	maxRetries             = 2  // members with missed heartbeats that are retried in a round
	maxConfirmers          = 3  // members that are asked to confirm that another is unreachable
	maxSeeds               = 2  // seed addresses tried in a round while no member is reachable
	urgentRounds           = 2  // urgent rounds after a change
	roundsPerNonAliveProbe = 10 // one round in this many, on average, probes a member that is not alive
)

const (
	minMissed      = 3 // missed heartbeats after which a member confirms a report
	minReporters   = 2 // other members that must report the member as unreachable
	tagTransmits   = 5 // transmissions of a tag
	aliveFactor    = 1 // transmissions of an update per log2 of the number of members
	nonAliveFactor = 2 // the same for a member that is not alive
)

// fanout returns the number of partners that get a heartbeat in a round.
func fanout(members int) int {
	if members <= SmallFleetSize {
		return 2
	}
	return 1
}

// missLimit returns the number of consecutive missed heartbeats after which a
// member is reported to others. It grows with the fleet, because more heartbeats
// are lost by chance.
func missLimit(members int) int {
	return minMissed + int(math.Log10(float64(max(members, 1))))/2
}

// transmitLimit returns how often a process forwards an update of one member.
func transmitLimit(members int, state core.MemberState) int {
	factor := aliveFactor
	if state != core.MemberAlive {
		factor = nonAliveFactor
	}
	return factor * int(math.Ceil(math.Log2(float64(members+1))))
}
