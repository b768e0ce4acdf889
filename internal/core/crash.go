package core

// CrashState is what is known of a request fingerprint that was in flight at a
// backend server's death. Larger states of the same round replace smaller ones.
type CrashState int

// The states of a fingerprint.
const (
	CrashSuspect   CrashState = iota + 1 // runs only as a trial
	CrashCleared                         // not the cause of the death
	CrashConvicted                       // refused with errkind.CrashesServers
)

// String returns the state's name for dumps.
func (s CrashState) String() string {
	return [...]string{"none", "suspect", "cleared", "convicted"}[s]
}

// CrashNews spreads what the sender knows of one fingerprint. As an answer to
// news with a Trial it also says whether the sender allows that trial.
type CrashNews struct {
	Fingerprint uint64
	Round       uint32 // grows when a cleared fingerprint is suspected again
	State       CrashState
	First       ServerID // server that died first
	Second      ServerID // server that died next, empty when only one did
	Age         uint32   // milliseconds since the newest death
	Trial       VMID     // entry VM whose trial the sender allows; its own when it asks for one
	TrialServer ServerID // server on which that trial runs alone among suspects
	InFlight    bool     // a copy runs at the sender that began before the suspicion
}
