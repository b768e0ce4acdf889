package core

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
