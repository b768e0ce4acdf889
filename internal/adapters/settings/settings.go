// Package settings reads the TOML settings file of an entry process as strictly as
// operators' files: every mistake is reported with file, line, key, the value
// found and the values allowed.
package settings

import (
	"time"

	"fescuespar/internal/core"
)

// Settings is the content of a settings file.
type Settings struct {
	VM         core.VMID
	Zone       core.ZoneName
	Region     core.RegionName
	LogLevel   LogLevel
	Listen     Endpoints
	Advertise  Endpoints // an empty field means the address bound by Listen
	Seeds      []string  // peer addresses, host:port
	TLS        TLS
	Platform   Platform
	Tokens     []Token
	Workers    Workers
	Lanes      Lanes
	Intervals  Intervals
	BodyLimits BodyLimits
}

// LogLevel is the lowest severity that is logged.
type LogLevel string

// The log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Endpoints are two addresses of an entry process, each IP:port.
type Endpoints struct {
	Callers string // HTTP
	Peers   string // QUIC over UDP
}

// TLS holds the paths of the PEM files for connections between entry processes.
type TLS struct {
	Authority   string
	Certificate string
	Key         string
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table   string
	Objects string
	VMList  string
}

// Role is the interface to which a token gives access.
type Role string

// The roles of tokens.
const (
	RoleOperator Role = "operator"
	RoleTrainer  Role = "trainer"
	RoleCaller   Role = "caller"
)

// Token is a bearer token with the role and name of its holder.
type Token struct {
	Role  Role
	Name  core.CallerName
	Value Secret
}

// Secret is a text that is replaced by a fixed one in logs, dumps and formatted
// output.
type Secret string

const redactedText = "[hidden]"

// String returns a fixed text instead of the secret.
func (Secret) String() string { return redactedText }

// GoString returns a fixed text instead of the secret.
func (Secret) GoString() string { return redactedText }

// MarshalText returns a fixed text instead of the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte(redactedText), nil }

// Workers holds the size and queue length of the worker pool.
type Workers struct {
	Count       int
	QueueLength int // largest number of queued steps of each class
}

// Lane limits concurrent and queued calls to one kind of external service.
type Lane struct {
	InFlight int // calls in progress
	Waiting  int // queued calls
}

// Lanes holds the call limits for each kind of external service.
type Lanes struct {
	Table   Lane
	Engines Lane
	Plain   Lane
	Scorers Lane
	Peers   Lane
}

// Intervals holds poll intervals, lease times, timeouts and retention times.
type Intervals struct {
	VMListPoll        time.Duration
	EngineStatusPoll  time.Duration
	ConfigurationPoll time.Duration
	LeaseTerm         time.Duration
	LeaseRenewal      time.Duration
	OrderTimeout      time.Duration // timeout of an order to an engine
	AddressCacheTime  time.Duration // how long a caller may cache entry addresses
	AnswerRetention   time.Duration // how long a finished answer can be fetched again
}

// BodyLimits holds the limits on size and read time of requests.
type BodyLimits struct {
	MaxBodyBytes   int64         // largest body in bytes
	MaxHeaderBytes int64         // largest header in bytes
	ReadTimeout    time.Duration // longest time to read a whole request, unless it arrives steadily
	MaxHeldBytes   int64         // memory for all requests, and answers that are not read yet, in bytes
	MaxConnections int           // open connections of callers
}

// Defaults returns the values of the optional settings.
func Defaults() Settings {
	return Settings{
		LogLevel: LogInfo,
		Workers:  Workers{Count: defaultWorkers, QueueLength: defaultQueueLength},
		Lanes: Lanes{
			Table:   Lane{InFlight: 16, Waiting: 1024},
			Engines: Lane{InFlight: 2048, Waiting: 8192},
			Plain:   Lane{InFlight: 512, Waiting: 2048},
			Scorers: Lane{InFlight: 64, Waiting: 8192},
			Peers:   Lane{InFlight: 256, Waiting: 1024},
		},
		Intervals: defaultIntervals,
		BodyLimits: BodyLimits{
			MaxBodyBytes:   defaultRequestBytes,
			MaxHeaderBytes: defaultHeaderBytes,
			ReadTimeout:    defaultReadTimeout,
			MaxHeldBytes:   defaultHeldBytes,
			MaxConnections: defaultConnections,
		},
	}
}

const (
	defaultWorkers      = 4
	defaultQueueLength  = 4096
	defaultRequestBytes = 4 << 20
	defaultHeaderBytes  = 64 << 10
	defaultReadTimeout  = 30 * time.Second
	defaultHeldBytes    = 512 << 20
	defaultConnections  = 16384 // above the calls in flight and waiting of all lanes
)

var defaultIntervals = Intervals{
	VMListPoll:        time.Second,
	EngineStatusPoll:  500 * time.Millisecond,
	ConfigurationPoll: time.Second,
	LeaseTerm:         6 * time.Second,
	LeaseRenewal:      2 * time.Second,
	OrderTimeout:      2 * time.Second,
	AddressCacheTime:  15 * time.Second,
	AnswerRetention:   time.Minute,
}
