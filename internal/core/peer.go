package core

import "time"

// MemberState is what one entry process believes of another.
type MemberState int

// The states of a member. Suspicion is never proof: ownership passes on only
// when a lease has lapsed.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberGone
)

// String returns the state's name for dumps and status.
func (s MemberState) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[s]
}

// Member is one entry process as known to another.
type Member struct {
	VM          VMID
	Incarnation Incarnation
	PeerAddress string // QUIC address of the process
	CallAddress string // HTTP address told to callers
	Zone        ZoneName
	Region      RegionName
	State       MemberState
	Sequence    uint64 // grows with every change that the member reports of itself
	Generation  Generation
	Load        uint32 // requests in flight
	Power       int    // thousandths of a core that the VM gives the process; zero when not told
}

// MemberTag is a short hash of a member's VM and incarnation. Two members may
// share a tag; a tag that is ambiguous is not used.
type MemberTag uint32

// Heartbeat is sent between entry processes and answered with the same type.
type Heartbeat struct {
	Sender    Member
	Known     uint32      // members that the sender knows
	Members   []Member    // a bounded part of the sender's view
	Unreached []VMID      // members that the sender itself fails to reach
	Newest    Generation  // newest generation that the sender has heard of
	Applied   []MemberTag // some of the members known to have applied Newest
	Weights   []WeightNews
	Limits    []LimitNews // at most HeartbeatLimits
	Crashes   []CrashNews // at most HeartbeatCrashes
}

// WeightNews spreads a deployment's newest published weight version.
type WeightNews struct {
	Deployment DeploymentName
	Version    WeightVersion
}

// AnswerRequest asks a peer for the rest of an answer that it holds.
type AnswerRequest struct {
	Caller CallerName
	ID     RequestID
	Offset int // tokens that the asker already has
}

// AnswerPart is a part of an answer. Finish is set on the last part.
type AnswerPart struct {
	Found  bool
	Chunks []Chunk
	Source AnswerSource
	Finish FinishReason
}

// VMNewsRequest asks a peer what changed in the VM list since the list with a
// digest.
type VMNewsRequest struct {
	Digest uint64
}

// VMNews is what changed. Known is false when the peer can't tell.
type VMNews struct {
	Known  bool
	Digest uint64        // of the peer's list
	Age    time.Duration // since the peer asked the platform for its list
	Listed []VM          // new or changed
	Gone   []ServerID
}
