// Package settings reads the settings of an entry process, a TOML file, as
// strictly as operators' files: every mistake is reported with file, line, key,
// what was found and what is allowed.
package settings

import (
	"time"

	"fescuespar/internal/core"
)

// Settings is the content of a settings file.
type Settings struct {
	VM        core.VMID
	Zone      core.ZoneName
	Region    core.RegionName
	LogLevel  LogLevel
	Listen    Endpoints
	Advertise Endpoints // empty fields stand for the address bound by Listen
	Seeds     []string  // peer addresses, host:port
	TLS       TLS
	Platform  Platform
	Tokens    []Token
	Workers   Workers
	Lanes     Lanes
	Intervals Intervals
	Bodies    Bodies
}

// LogLevel is the least severe level that is logged.
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

// TLS names the PEM files for the connections between entry processes.
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

// Role says what the bearer of a token may do.
type Role string

// The roles of tokens.
const (
	RoleOperator Role = "operator"
	RoleTrainer  Role = "trainer"
	RoleCaller   Role = "caller"
)

// Token is a bearer token with its role and the name that it stands for.
type Token struct {
	Role  Role
	Name  core.CallerName
	Value Secret
}

// Secret is a text that no log or dump shows.
type Secret string

const hidden = "[hidden]"

// String returns a fixed text in place of the secret.
func (Secret) String() string { return hidden }

// GoString returns a fixed text in place of the secret.
func (Secret) GoString() string { return hidden }

// MarshalText returns a fixed text in place of the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte(hidden), nil }

// Workers sizes the pool of workers.
type Workers struct {
	Count       int
	QueueLength int // steps waiting of each class
}

// Lane bounds the calls to one kind of outside thing.
type Lane struct {
	InFlight int
	Waiting  int
}

// Lanes holds the bounds for each kind of outside thing.
type Lanes struct {
	Table   Lane
	Engines Lane
	Plain   Lane
	Scorers Lane
	Peers   Lane
}

// Intervals holds the times that pace the process.
type Intervals struct {
	VMListPoll        time.Duration
	EngineStatusPoll  time.Duration
	ConfigurationPoll time.Duration
	LeaseTerm         time.Duration
	LeaseRenewal      time.Duration
	OrderTimeout      time.Duration // longest order to an engine
	AddressKeep       time.Duration // for which a caller may keep addresses
	AnswerKeep        time.Duration // for which a finished answer can be fetched again
}

// Bodies bounds what is read into memory.
type Bodies struct {
	Request int64         // bytes
	Header  int64         // bytes
	Arrival time.Duration // of a whole request
}

// Defaults returns the settings that hold for every key that is absent.
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
		Bodies: Bodies{
			Request: defaultRequestBytes,
			Header:  defaultHeaderBytes,
			Arrival: defaultArrival,
		},
	}
}

const (
	defaultWorkers      = 4
	defaultQueueLength  = 4096
	defaultRequestBytes = 4 << 20
	defaultHeaderBytes  = 64 << 10
	defaultArrival      = 30 * time.Second
)

var defaultIntervals = Intervals{
	VMListPoll:        time.Second,
	EngineStatusPoll:  500 * time.Millisecond,
	ConfigurationPoll: time.Second,
	LeaseTerm:         6 * time.Second,
	LeaseRenewal:      2 * time.Second,
	OrderTimeout:      2 * time.Second,
	AddressKeep:       15 * time.Second,
	AnswerKeep:        time.Minute,
}
