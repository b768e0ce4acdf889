package core

// Maximum lengths of the lists in a heartbeat.
const (
	HeartbeatLimits  = 64
	HeartbeatCrashes = 256
)

// AccountEpoch identifies a period over which one process counts the limit units
// lent between it and its peers. Each epoch starts with empty accounts.
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

// LimitUpdate is the sender's state of one deployment's limit as sent to one
// receiver.
type LimitUpdate struct {
	Deployment         DeploymentName
	Epoch              AccountEpoch // epoch of the sender's accounts
	Seen               AccountEpoch // newest epoch of the receiver's accounts that the sender has received
	Lent               uint64       // units lent to the receiver since the later of both epochs began
	Demand             uint32       // requests in flight or queued
	Held               uint32       // units held: requests that the sender may have in flight
	WaitingInteractive uint32       // requests of ClassInteractive queued at the sender
	Cleared            bool         // the sender uses no unit that is owned by another process and was not lent to it
}
