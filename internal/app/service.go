package app

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/app/tenure"
	"fescuespar/internal/core"
	"fescuespar/internal/core/membership"
	"fescuespar/internal/core/polling"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/metrics"
	"fescuespar/internal/ports"
	"fescuespar/internal/tables"
	"fescuespar/internal/workers"
)

// Ports are the outside things that the service needs.
type Ports struct {
	Tables  ports.TableService
	Objects ports.ObjectStore
	VMs     ports.VMList
	Engine  ports.Engine
	Plain   ports.PlainService
	Scorer  ports.Scorer
	Bodies  ports.Bodies
	Peers   ports.Peers
	Clock   ports.Clock
	Keys    ports.Keys // nil when the process has no certificate
}

// LaneOptions bounds the calls to one kind of outside thing.
type LaneOptions struct {
	InFlight int
	Waiting  int
}

// Options are the settings of one entry process.
type Options struct {
	Self        core.Member
	Seeds       []string // peer addresses known from settings
	Seed        uint64   // of the random source
	Workers     int      // workers of the pool
	QueueLength int      // steps waiting in each class

	Streams    LaneOptions // streams to engines
	PlainCalls LaneOptions // calls to plain services
	Scoring    LaneOptions // calls to scoring services
	Table      LaneOptions // calls to the platform
	Peers      LaneOptions // messages to other entry processes

	AnswerKeep   time.Duration // how long a finished answer can be asked for again
	AddressKeep  time.Duration // how long callers may keep the entry addresses
	VMListEvery  time.Duration
	StatusEvery  time.Duration
	ConfigEvery  time.Duration
	LeaseTerm    time.Duration
	LeaseRenewal time.Duration
	OrderTimeout time.Duration // longest order to an engine, until its last effect
}

// answerLimit bounds the answers in progress and kept in one process.
const answerLimit = 65536

// lanes bound the calls in flight to each kind of outside thing.
type lanes struct {
	streams *workers.Lane // engines' streams
	calls   *workers.Lane // plain services
	scoring *workers.Lane // scoring services
	control *workers.Lane // engines' status and orders
	table   *workers.Lane // table service, object store and VM list
	leases  *workers.Lane // leases' reads and commits, which must not wait for others
	peers   *workers.Lane // other entry processes
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
	claims        *tables.Commits
	answers       *tables.Answers
	platform      *tables.Platform
	random        *tables.Random

	committer commits.Committer
	tenure    *tenure.Keeper

	requestCounter atomic.Uint64
	crashPush      atomic.Bool // a heartbeat out of turn is due
	attemptCounter atomic.Uint64
}

const (
	sweepEvery = time.Second // of the backend servers' outliers

	retryAttempts  = 3
	retryBaseDelay = 50 * time.Millisecond
	retryMaxDelay  = 2 * time.Second

	controlInFlight = 32
	controlWaiting  = 8192
	leaseInFlight   = 16
	leaseWaiting    = 256
)

func newLane(name string, bounds LaneOptions) *workers.Lane {
	return workers.NewLane(name, bounds.InFlight, bounds.Waiting)
}

// New returns a service that is not yet running.
func New(options Options, outside Ports, log zerolog.Logger) *Service {
	random := rand.New(rand.NewPCG(options.Seed, uint64(options.Self.Incarnation)))
	pool := workers.NewPool(options.Workers, options.QueueLength)
	platform := tables.NewPlatform()
	s := &Service{
		options: options,
		ports:   observePlatform(outside, platform),
		log:     log,
		metrics: metrics.New(),
		retry:   retry.Policy{Attempts: retryAttempts, Base: retryBaseDelay, Max: retryMaxDelay},
		pool:    pool,
		timers:  workers.NewTimers(pool),
		lanes: lanes{
			streams: newLane("streams", options.Streams),
			calls:   newLane("calls", options.PlainCalls),
			scoring: newLane("scoring", options.Scoring),
			control: newLane("control", LaneOptions{controlInFlight, controlWaiting}),
			table:   newLane("table", options.Table),
			leases:  newLane("leases", LaneOptions{leaseInFlight, leaseWaiting}),
			peers:   newLane("peers", options.Peers),
		},
		lifecycle:     tables.NewLifecycle(),
		configuration: tables.NewConfiguration(),
		members:       tables.NewMembers(options.Self, options.Seeds, rand.New(rand.NewPCG(random.Uint64(), 1))),
		leases:        tables.NewLeases(leaseSelf(options.Self), leaseTiming(options)),
		vmList:        tables.NewVMList(),
		servers:       tables.NewServers(rand.New(rand.NewPCG(random.Uint64(), 2))),
		polls:         tables.NewPolls(options.Self, polling.DefaultPolicy(options.StatusEvery)),
		limits:        tables.NewLimits(options.Self.VM, options.Self.Incarnation, shareTiming, outside.Clock.Now()),
		crashes:       tables.NewCrashes(options.Self.VM),
		rollouts:      tables.NewRollouts(),
		weights:       tables.NewWeights(),
		claims:        tables.NewCommits(),
		answers:       tables.NewAnswers(answerLimit),
		platform:      platform,
		random:        tables.NewRandom(random),
	}
	s.committer = s.newCommitter(s.ports.Tables)
	s.tenure = s.newTenure()
	s.metrics.Feed(s.gauges())
	return s
}

// Metrics returns the process's metrics.
func (s *Service) Metrics() *metrics.Set { return s.metrics }

// Start begins the periodic work.
func (s *Service) Start() {
	s.every(s.options.VMListEvery, s.pollVMs)
	s.every(s.options.StatusEvery, s.pollServers)
	s.every(sweepEvery, s.sweepServers)
	s.every(s.options.ConfigEvery, s.pollConfiguration)
	s.every(membership.UrgentInterval, s.heartbeat)
	s.every(crashTick, s.tendCrashes)
	s.every(s.options.LeaseRenewal/leaseTicksPerRenewal, s.tendLeases)
	s.every(s.options.AnswerKeep/4, s.expireAnswers)
}

// every runs a step now and then at an interval with a jitter of a tenth, until
// the process has stopped.
func (s *Service) every(interval time.Duration, step workers.Step) {
	s.pool.MustEnqueue(core.ClassControl, func() {
		if phase, _ := s.lifecycle.Phase(); phase == tables.PhaseStopped {
			return
		}
		step()
		jitter := s.random.Duration(interval / 10)
		s.timers.After(interval+jitter-interval/20, core.ClassControl, func() { s.every(interval, step) })
	})
}

func (s *Service) expireAnswers() {
	s.answers.Expire(s.ports.Clock.Now().Add(-s.options.AnswerKeep))
}

// NewRequestID returns an id that names this process, so that peers can find
// the answer.
func (s *Service) NewRequestID() core.RequestID {
	return requestID(s.options.Self.VM, s.options.Self.Incarnation, s.requestCounter.Add(1))
}
