package core

import "time"

// MemberState is the state of an entry process as seen by another.
type MemberState int

// The states of a member. A suspect member may still be running, so ownership
// is transferred only after a lease has expired.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberGone
)

// String returns the name of the state as used in dumps and the status.
func (s MemberState) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[s]
}

// Member describes one entry process to another.
type Member struct {
	VM          VMID
	Incarnation Incarnation
	PeerAddress string // QUIC address of the process
	CallAddress string // HTTP address given to callers
	Zone        ZoneName
	Region      RegionName
	State       MemberState
	Sequence    uint64 // incremented whenever the member changes its own record
	Generation  Generation
	Load        uint32 // requests in flight
	Power       int    // CPU of the VM that the process may use, in thousandths of a core; zero if unknown
}

// MemberTag is a short hash of a member's VM and incarnation. Two members may
// have the same tag; ambiguous tags are ignored.
type MemberTag uint32

// Heartbeat is the message that entry processes exchange; the reply has the same
// type.
type Heartbeat struct {
	Sender    Member
	Known     uint32      // number of members that the sender knows
	Members   []Member    // a bounded subset of the sender's view
	Unreached []VMID      // members that do not answer the sender
	Newest    Generation  // newest generation that the sender knows of
	Applied   []MemberTag // a subset of the members known to have applied Newest
	Weights   []WeightUpdate
	Limits    []LimitUpdate // at most HeartbeatLimits
	Crashes   []CrashUpdate // at most HeartbeatCrashes
}

// WeightUpdate reports a deployment's newest published weight version to peers.
type WeightUpdate struct {
	Deployment DeploymentName
	Version    WeightVersion
}

// AnswerRequest asks a peer for the remaining tokens of an answer that it holds.
type AnswerRequest struct {
	Caller CallerName
	ID     RequestID
	Offset int // number of tokens that the requester already has
}

// AnswerPart is one part of a streamed answer. Finish is set on the last part.
type AnswerPart struct {
	Found  bool
	Chunks []Chunk
	Source AnswerSource
	Finish FinishReason
}

// VMListChangesRequest asks a peer for the changes to the VM list since the
// list with the given digest.
type VMListChangesRequest struct {
	Digest uint64
}

// VMListChanges holds the changes to the VM list. Known is false if the peer
// does not know the list with the requested digest.
type VMListChanges struct {
	Known   bool
	Digest  uint64        // digest of the peer's list
	Age     time.Duration // time since the peer requested its list from the platform
	Listed  []VM          // added or changed
	Removed []ServerID    // removed
}
