package core

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
	Demand     uint32       // requests in flight, waiting and in the backlog of rollouts
	Rollouts   uint32       // of the demand, rollouts
	Held       uint32       // requests that the sender may have in flight
}
