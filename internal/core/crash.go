package core

// CrashState is the verdict on a request fingerprint that was in flight when a
// backend server died. Within a round, a larger state replaces a smaller one.
type CrashState int

// The crash states of a fingerprint.
const (
	CrashSuspect   CrashState = iota + 1 // may run only as a trial
	CrashCleared                         // did not cause the death
	CrashConvicted                       // rejected with errkind.CrashesServers
)

// String returns the name of the state as used in dumps.
func (s CrashState) String() string {
	return [...]string{"none", "suspect", "cleared", "convicted"}[s]
}

// CrashUpdate reports the sender's crash state of one fingerprint to a peer. In
// reply to a CrashUpdate with a Trial it also reports whether the sender allows
// that trial.
type CrashUpdate struct {
	Fingerprint uint64
	Round       uint32 // incremented when a cleared fingerprint is suspected again
	State       CrashState
	First       ServerID // server that died first
	Second      ServerID // server that died second, empty after a single death
	Age         uint32   // milliseconds since the most recent death
	Trial       VMID     // entry VM whose trial the sender allows; the sender itself when it requests a trial
	TrialServer ServerID // server that runs the trial, with no other suspect on it
	InFlight    bool     // the sender is running a copy that started before the suspicion
}

// ServerInstance names one start of a backend server, which may start again under its id.
type ServerInstance string

// CrashRecord is the row of a request fingerprint under which backend servers died, for
// processes that share only the table service.
type CrashRecord struct {
	Deaths           []ServerInstance // that died while they ran the request, each once
	Excused          []ServerInstance `cbor:",omitempty"` // that died after they had sent events of its stream, which does not count
	TrialVM          VMID             // entry VM whose process runs the request alone, empty for none
	TrialIncarnation Incarnation
}
