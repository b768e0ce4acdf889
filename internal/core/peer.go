package core

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
}

// Heartbeat is sent between entry processes and answered with the same type.
type Heartbeat struct {
	Sender  Member
	Members []Member // a bounded part of the sender's view
	Weights []WeightNews
	Limits  []LimitNews // at most HeartbeatLimits
	Crashes []CrashNews // at most HeartbeatCrashes
}

// Bounds of a heartbeat's lists.
const (
	HeartbeatLimits  = 64
	HeartbeatCrashes = 256
)

// AccountEpoch numbers the accounts of lent units that one process keeps. A
// later epoch starts with empty accounts.
type AccountEpoch struct {
	Incarnation Incarnation
	Reset       uint32
}

// Before reports whether e is earlier than other.
func (e AccountEpoch) Before(other AccountEpoch) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation < other.Incarnation
	}
	return e.Reset < other.Reset
}

// LimitNews is the sender's part of one deployment's limit, for one receiver.
type LimitNews struct {
	Deployment DeploymentName
	Epoch      AccountEpoch // of the sender's accounts
	Seen       AccountEpoch // of the receiver's accounts, as last heard
	Given      uint64       // units given to the receiver since both epochs began
	Demand     uint32       // requests in flight and waiting
	Held       uint32       // requests that the sender may have in flight
}

// CrashState is what is known of a request fingerprint that was in flight at a
// backend server's death. Larger states of the same round replace smaller ones.
type CrashState int

// The states of a fingerprint.
const (
	CrashSuspect   CrashState = iota + 1 // ran on a server that died; runs only alone and under a trial
	CrashCleared                         // a clean finish ended the suspicion
	CrashConvicted                       // refused with errkind.CrashesServers
)

// CrashNews spreads the state of one fingerprint.
type CrashNews struct {
	Fingerprint uint64
	Round       uint32 // grows when a cleared fingerprint is suspected again
	State       CrashState
	Server      ServerID // the server that died first
	InFlight    bool     // a copy runs at the sender without a trial
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
