package app

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/app/leasing"
	"fescuespar/internal/core"
	"fescuespar/internal/core/membership"
	"fescuespar/internal/core/polling"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/metrics"
	"fescuespar/internal/ports"
	"fescuespar/internal/tables"
	"fescuespar/internal/workers"
)

// Ports are the external interfaces that the service uses.
type Ports struct {
	Tables      ports.TableService
	Objects     ports.ObjectStore
	VMs         ports.VMList
	Engine      ports.Engine
	Plain       ports.PlainService
	Scorer      ports.Scorer
	BodyCodec   ports.BodyCodec
	Peers       ports.Peers
	Clock       ports.Clock
	Certificate ports.Certificate // nil if the process has no certificate
}

// LaneOptions bounds the calls to one kind of external service.
type LaneOptions struct {
	MaxInFlight int
	MaxWaiting  int
}

// Options are the settings of one entry process.
type Options struct {
	Self        core.Member
	Seeds       []string // peer addresses from the settings
	Seed        uint64   // seed of the random source
	Workers     int      // size of the worker pool
	QueueLength int      // queued steps per class

	Streams    LaneOptions // streams to engines
	PlainCalls LaneOptions // calls to plain services
	Scoring    LaneOptions // calls to scoring services
	Table      LaneOptions // calls to the platform
	Peers      LaneOptions // messages to other entry processes

	AnswerRetention    time.Duration // how long a finished answer can be requested again
	AddressCacheTime   time.Duration // how long callers may cache the entry addresses
	VMListInterval     time.Duration
	StatusInterval     time.Duration
	ConfigInterval     time.Duration
	LeaseTerm          time.Duration
	LeaseRenewInterval time.Duration
	OrderTimeout       time.Duration // longest time from sending an order to an engine until its last effect
}

// maxAnswers bounds the running and finished answers held by one process.
const maxAnswers = 65536

// lanes bound the calls in flight to each kind of external service.
type lanes struct {
	streams    *workers.Lane // streams of engines
	plainCalls *workers.Lane // plain services
	scoring    *workers.Lane // scoring services
	control    *workers.Lane // status and orders of engines
	table      *workers.Lane // table service, object store and VM list
	leases     *workers.Lane // reads and commits of leases, which must not wait for other calls
	peers      *workers.Lane // other entry processes
}

// Service is one entry process without its front ends.
type Service struct {
	options Options
	ports   Ports
	log     zerolog.Logger
	metrics *metrics.Set
	retry   retry.Policy

	pool   *workers.Pool
	timers *workers.Timers
	lanes  lanes

	lifecycle     *tables.Lifecycle
	configuration *tables.Configuration
	members       *tables.Members
	leases        *tables.Leases
	vmList        *tables.VMList
	servers       *tables.Servers
	polls         *tables.Polls
	limits        *tables.Limits
	crashes       *tables.Crashes
	rollouts      *tables.Rollouts
	weights       *tables.Weights
	commits       *tables.Commits
	answers       *tables.Answers
	platform      *tables.Platform
	random        *tables.Random

	committer    commits.Committer
	leaseRenewer *leasing.Manager

	requestCounter     atomic.Uint64
	crashUpdatePending atomic.Bool // an extra heartbeat with crash updates is scheduled
	attemptCounter     atomic.Uint64
}

const (
	outlierSweepInterval = time.Second // interval of ejecting outlying backend servers

	retryMaxAttempts = 3
	retryBaseDelay   = 50 * time.Millisecond
	retryMaxDelay    = 2 * time.Second

	controlMaxInFlight = 32
	controlMaxWaiting  = 8192
	leaseMaxInFlight   = 16
	leaseMaxWaiting    = 256
)

func newLane(name string, bounds LaneOptions) *workers.Lane {
	return workers.NewLane(name, bounds.MaxInFlight, bounds.MaxWaiting)
}

// New returns a service that is not started yet.
func New(options Options, external Ports, log zerolog.Logger) *Service {
	random := rand.New(rand.NewPCG(options.Seed, uint64(options.Self.Incarnation)))
	pool := workers.NewPool(options.Workers, options.QueueLength)
	platform := tables.NewPlatform()
	s := &Service{
		options: options,
		ports:   observePlatform(external, platform),
		log:     log,
		metrics: metrics.New(),
		retry:   retry.Policy{MaxAttempts: retryMaxAttempts, BaseDelay: retryBaseDelay, MaxDelay: retryMaxDelay},
		pool:    pool,
		timers:  workers.NewTimers(pool),
		lanes: lanes{
			streams:    newLane("streams", options.Streams),
			plainCalls: newLane("calls", options.PlainCalls),
			scoring:    newLane("scoring", options.Scoring),
			control:    newLane("control", LaneOptions{controlMaxInFlight, controlMaxWaiting}),
			table:      newLane("table", options.Table),
			leases:     newLane("leases", LaneOptions{leaseMaxInFlight, leaseMaxWaiting}),
			peers:      newLane("peers", options.Peers),
		},
		lifecycle:     tables.NewLifecycle(),
		configuration: tables.NewConfiguration(),
		members:       tables.NewMembers(options.Self, options.Seeds, rand.New(rand.NewPCG(random.Uint64(), 1))),
		leases:        tables.NewLeases(leaseSelf(options.Self), leaseTiming(options)),
		vmList:        tables.NewVMList(),
		servers:       tables.NewServers(rand.New(rand.NewPCG(random.Uint64(), 2))),
		polls:         tables.NewPolls(options.Self, polling.DefaultPolicy(options.StatusInterval)),
		limits:        tables.NewLimits(options.Self.VM, options.Self.Incarnation, limitShareTiming, external.Clock.Now()),
		crashes:       tables.NewCrashes(options.Self.VM),
		rollouts:      tables.NewRollouts(),
		weights:       tables.NewWeights(),
		commits:       tables.NewCommits(),
		answers:       tables.NewAnswers(maxAnswers),
		platform:      platform,
		random:        tables.NewRandom(random),
	}
	s.committer = s.newCommitter(s.ports.Tables)
	s.leaseRenewer = s.newLeaseRenewer()
	s.metrics.RegisterGauges(s.gauges())
	return s
}

func (s *Service) Metrics() *metrics.Set { return s.metrics }

// Start starts the periodic work.
func (s *Service) Start() {
	s.runPeriodically(s.options.VMListInterval, s.updateVMList)
	s.runPeriodically(s.options.StatusInterval, s.pollServers)
	s.runPeriodically(outlierSweepInterval, s.sweepServers)
	s.runPeriodically(s.options.ConfigInterval, s.pollConfiguration)
	s.runPeriodically(membership.UrgentInterval, s.sendHeartbeatRound)
	s.runPeriodically(crashTrialInterval, s.updateCrashTrials)
	s.runPeriodically(s.options.LeaseRenewInterval/leaseTicksPerRenewal, s.maintainLeases)
	s.runPeriodically(s.options.AnswerRetention/4, s.expireAnswers)
}

// runPeriodically runs a step at an interval with a jitter of one tenth until
// the process stops.
func (s *Service) runPeriodically(interval time.Duration, step workers.Step) {
	s.pool.MustEnqueue(core.ClassControl, func() {
		if phase, _ := s.lifecycle.Phase(); phase == tables.PhaseStopped {
			return
		}
		step()
		jitter := s.random.Duration(interval / 10)
		s.timers.After(interval+jitter-interval/20, core.ClassControl, func() { s.runPeriodically(interval, step) })
	})
}

func (s *Service) expireAnswers() {
	s.answers.Expire(s.ports.Clock.Now().Add(-s.options.AnswerRetention))
}

// NewRequestID returns an id that contains this process's VM, so that peers can
// find the answer.
func (s *Service) NewRequestID() core.RequestID {
	return formatRequestID(s.options.Self.VM, s.options.Self.Incarnation, s.requestCounter.Add(1))
}
