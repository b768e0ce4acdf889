package logs

// Messages of the lines that timelines and reports evaluate.
const (
	Started = "started"

	RequestEnded   = "request ended"
	RequestRefused = "refused or failed" // error as returned to the caller, also for a request that was not admitted
	AttemptFailed  = "attempt failed"
	KeyRefused     = "key refused"   // why, and for a removed key whose it was; at most KeyRefusalsPerSecond
	RouteMissing   = "route missing" // with the route table and the time since it was confirmed; at most KeyRefusalsPerSecond

	JobSubmitted = "job submitted"
	JobOpened    = "job opened"
	JobSetAside  = "job is not opened any more: coordinators ended one after the other when they had opened it"
	JobHeldBack  = "job waits until others that are open leave memory for it"
	JobEnded     = "job ended"
	RunEnded     = "run ended"
	ResultListed = "result listed"

	TextDiscarded = "text starts anew: no server of its software can continue it"

	VersionNamed  = "weight version named"
	VersionLoaded = "version loaded"
	RoutesInForce = "route table in force"

	SoftwareChanged  = "software version of a service's streams changed"
	StreamNotResumed = "stream not resumed"
	SoftwareMismatch = "backend server runs other software than it was chosen for"

	LeaseAcquired       = "lease acquired"
	LeaseLost           = "lease lost"
	ServerEjected       = "backend server ejected"
	ServerRestored      = "backend server gets work again"
	ServerRemoved       = "backend server gone"
	ServerLeaving       = "backend server announced its shutdown"
	ServerLimit         = "backend server changed its rate limit"
	PaceBegan           = "backend server gets a part of its usual work"
	PaceEnded           = "backend server gets its usual work"
	ServerDied          = "backend server died while it ran a request"
	SlotsShort          = "service is short of slots"
	SlotsFree           = "service has free slots again"
	RunsMoved           = "runs moved off slow engines"
	PlatformUnavailable = "platform does not answer"
	PlatformAvailable   = "platform answers again"

	UsageSettled    = "usage report fixed"
	UsageAccepted   = "usage report accepted"
	UsageRefused    = "usage report not accepted"
	TimeOfDayJumped = "time of day has jumped"

	LinesDropped = "log lines dropped"
)

// KeyRefusalsPerSecond bounds the lines of one kind that a process writes about refused
// keys and about paths without a route, which anybody can cause. A busy second of a process
// has 400 lines of other kinds.
const KeyRefusalsPerSecond = 20

// Fields of these lines.
const (
	fieldRequest = "request"
	fieldJob     = "job"
	fieldServer  = "server"
	fieldService = "service"
	fieldModel   = "model"
	fieldVersion = "version"
	fieldError   = "error"
	fieldWhat    = "what"
	fieldLease   = "lease"
	fieldItems   = "items"
	fieldDropped = "dropped"
)

// stateChangeMessages is the set of messages that report a change in a process's view
// of other processes, servers or published data.
var stateChangeMessages = map[string]bool{
	RoutesInForce: true, VersionNamed: true, VersionLoaded: true, SoftwareChanged: true,
	LeaseAcquired: true, LeaseLost: true,
	ServerEjected: true, ServerRestored: true, ServerRemoved: true, ServerLeaving: true, ServerLimit: true, ServerDied: true, RunsMoved: true,
	SlotsShort: true, SlotsFree: true, PaceBegan: true, PaceEnded: true,
	PlatformUnavailable: true, PlatformAvailable: true,
}
