// Package relay is the application layer of entry processes that forward requests
// unchanged along routes and run submitted jobs. Package core makes the decisions,
// package tables holds the state, and all I/O runs on lanes.
package relay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/app/leasing"
	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/crash"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/logs"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/metrics"
	"fescuespar/internal/ports"
	"fescuespar/internal/tables"
	"fescuespar/internal/workers"
)

// Ports are the adapters that the service calls.
type Ports struct {
	Tables   ports.TableService
	Objects  ports.ObjectStore
	Bodies   ports.JobBodyCodec
	Registry ports.Registry
	Backend  ports.Backend
	Clock    ports.Clock
	Memory   ports.Memory // nil for no limit

	PlatformAPI ports.PlatformAPI // nil if the deployment has no duties
	TimeOfDay   ports.TimeOfDay   // nil if the deployment has no duties
}

// Options are the settings of one entry process.
type Options struct {
	Self                 core.Member
	Seed                 uint64        // of the random source
	Seeds                []string      // peer addresses of other entry processes; may be stale
	Workers              int           // goroutines of the worker pool
	AddressCacheTime     time.Duration // how long callers may cache the entry addresses
	MinOrderInterval     time.Duration // minimum time between orders of two lease holders to one engine
	GracePeriod          time.Duration // from the stop signal until the process is killed
	StoreReadsPerSecond  int           // reads per second that the table service accepts from all processes; zero for no limit
	StoreWritesPerSecond int           // writes per second that it accepts; zero for no limit
	MaxResultBytes       int           // size of the longest result stored in a row
	JobMemory            int64         // bytes for the jobs that the process coordinates; zero for no bound
	ReclaimPeriod        time.Duration // time after the start in which leases of an earlier process on this VM are reclaimed
	RegistryRecovery     time.Duration // time after an outage until all live servers have registered again
	MaxRequests          int           // forwarded requests that the process holds, in flight and waiting; zero for the default
	Duties               DutyOptions
}

// Limits of the pool's queues and of the lanes. They bound memory; the servers'
// slots bound the calls in flight to backend servers.
const (
	queueLength        = 4096
	defaultMaxRequests = 512
	runsInFlight       = 1024 // above the slots of a hundred engines
	scoresInFlight     = 64   // outputs being scored
	plainSlotsPerScore = 2    // scoring uses one in this many slots of plain servers and leaves the others to callers
	minScoresInFlight  = 4    // while the slots are unknown
	storeInFlight      = 16
	storeWaiting       = 1024
	leaseInFlight      = 4
	leaseWaiting       = 16
	ordersInFlight     = 8
	ordersWaiting      = 64
	watchInFlight      = 4
	publishedInFlight  = 4 // a read that hangs ends before the fourth after it begins
	publishedWaiting   = 1
	crashesInFlight    = 8
	crashesWaiting     = 256
	softwareInFlight   = 16
	softwareWaiting    = 512 // as many streams as a process holds
	dutiesInFlight     = 2   // one write of counts and one of reports
	platformInFlight   = 1   // so that calls arrive in the order of their fencing numbers
)

// Timing of leases. A holder that dies is replaced within the term and the margin;
// until then its jobs make no progress.
const (
	leaseTerm    = 1500 * time.Millisecond
	leaseRenewal = 400 * time.Millisecond
	leaseMargin  = 150 * time.Millisecond
)

// leaseTiming returns the timing of the coordinators' leases.
func leaseTiming(options *Options) lease.Timing {
	return lease.Timing{Term: leaseTerm, RenewEvery: leaseRenewal, Margin: leaseMargin, LongestOrder: options.MinOrderInterval, OrdersByVM: true}
}

// commitReplyTimeout is the timeout of the reply to a commit, after which its rows
// are read again. A store slowed down eighty times still answers within it, and it
// is short enough for a lease to survive one lost reply.
const commitReplyTimeout = 700 * time.Millisecond

// Intervals of the periodic work.
const (
	watchInterval = 300 * time.Millisecond // an eighth of the time within which a change must be in force; longer in a large fleet
	// keyReadInterval is the least time between reads of the configuration for requests
	// whose key is not known, which is the longest time that the first of them waits.
	keyReadInterval = 250 * time.Millisecond
	leaseInterval   = 100 * time.Millisecond
	sweepInterval   = time.Second
)

// lanes run blocking calls, each kind with its own limit.
type lanes struct {
	calls  *workers.Lane // requests of callers that have a slot
	runs   *workers.Lane // items of jobs
	scores *workers.Lane // scoring of outputs
	store  *workers.Lane // jobs and results
	leases *workers.Lane
	orders *workers.Lane
	watch  *workers.Lane // registrations and members
	// published is for routes, accounts and weight versions, which must not wait for
	// other reads that hang.
	published   *workers.Lane
	crashes     *workers.Lane // records of requests under which servers died
	software    *workers.Lane // software versions of streams that begin
	resumptions *workers.Lane // software versions of streams that are resumed

	duties   *workers.Lane // rows of counts and reports
	platform *workers.Lane // calls to the platform's interface
}

// Service is one entry process without its front ends.
type Service struct {
	options        Options
	ports          Ports
	log            zerolog.Logger
	refusalLog     zerolog.Logger // of refused keys and missing routes, with a bounded number of lines
	lastServerRead atomic.Int64   // time of the last read of registrations beside the regular ones, Unix nanoseconds

	// waitingJobLog is for jobs that wait for memory, one line a second.
	waitingJobLog zerolog.Logger
	metrics       *metrics.Relay

	pool   *workers.Pool
	timers *workers.Timers
	lanes  lanes

	lifecycle      *tables.Lifecycle
	routes         *tables.Routes
	accounts       *tables.Accounts
	members        *tables.AnnouncedMembers
	leases         *tables.Leases
	servers        *tables.Servers
	registry       *tables.Registry
	jobs           *tables.Jobs
	runs           *tables.Runs
	engineSpeeds   *tables.EngineSpeeds
	weights        *tables.Weights
	jobStorage     *tables.JobStorage
	platform       *tables.Platform
	crashes        *tables.CrashRecords
	software       *tables.Software
	streamCommits  *tables.Commits // rows of streams
	routeDurations *tables.RouteDurations
	slots          *tables.Slots

	routingUpdates *tables.Serial

	duties duties

	started            time.Time
	committer          commits.Committer
	leaseManager       *leasing.Manager
	commitAttempts     atomic.Uint64
	plainSlots         atomic.Int64 // total slots of the plain servers
	addressCacheNanos  atomic.Int64 // how long callers may cache the entry addresses
	graceNanos         atomic.Int64 // from the stop signal until the process is killed
	announcementCount  atomic.Uint64
	crashesRead        atomic.Bool  // a read of the crash records is in flight
	crashReadNotBefore atomic.Int64 // Unix time in nanoseconds
	scoresPausedUntil  atomic.Int64 // Unix time in nanoseconds

	streamCommitNotBefore atomic.Int64 // Unix time in nanoseconds
	streamCommitScheduled atomic.Bool
}

var (
	_ ports.Relay = (*Service)(nil)
	_ ports.Jobs  = (*Service)(nil)
)

// New returns a service that is not running yet.
func New(options Options, adapters Ports, log zerolog.Logger) *Service {
	pool := workers.NewPool(options.Workers, queueLength)
	maxRequests := cmp.Or(options.MaxRequests, defaultMaxRequests)
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(options.Seed, stream)) }
	s := &Service{
		options: options, ports: adapters, log: log, metrics: metrics.NewRelay(),
		waitingJobLog: log.Sample(&zerolog.BurstSampler{Burst: 1, Period: time.Second}),
		refusalLog:    log.Sample(&zerolog.BurstSampler{Burst: logs.KeyRefusalsPerSecond, Period: time.Second}),
		pool:          pool, timers: workers.NewTimers(pool),
		lanes: lanes{
			calls:       workers.NewLane("calls", maxRequests, maxRequests),
			runs:        workers.NewLane("runs", runsInFlight, 0),
			scores:      workers.NewLane("scores", scoresInFlight, 0),
			store:       workers.NewLane("store", storeInFlight, storeWaiting),
			leases:      workers.NewLane("leases", leaseInFlight, leaseWaiting),
			orders:      workers.NewLane("orders", ordersInFlight, ordersWaiting),
			watch:       workers.NewLane("watch", watchInFlight, watchInFlight),
			published:   workers.NewLane("published", publishedInFlight, publishedWaiting),
			crashes:     workers.NewLane("crashes", crashesInFlight, crashesWaiting),
			software:    workers.NewLane("software", softwareInFlight, softwareWaiting),
			resumptions: workers.NewLane("resumptions", softwareInFlight, softwareWaiting),

			duties:   workers.NewLane("duties", dutiesInFlight, dutiesInFlight),
			platform: workers.NewLane("platform", platformInFlight, 0),
		},
		lifecycle: tables.NewLifecycle(),
		routes:    tables.NewRoutes(random(1)),
		accounts:  tables.NewAccounts(),
		members:   tables.NewAnnouncedMembers(),
		leases: tables.NewLeases(
			lease.Self{VM: options.Self.VM, Incarnation: options.Self.Incarnation, Address: options.Self.CallAddress},
			leaseTiming(&options)),
		servers:        tables.NewServersWith(routingPolicy(), random(2)),
		registry:       tables.NewRegistry(options.RegistryRecovery),
		jobs:           tables.NewJobs(),
		runs:           tables.NewRuns(),
		engineSpeeds:   tables.NewEngineSpeeds(),
		weights:        tables.NewWeights(),
		jobStorage:     tables.NewJobStorage(options.JobMemory),
		platform:       tables.NewPlatform(),
		crashes:        tables.NewCrashRecords(crash.Process{VM: options.Self.VM, Incarnation: options.Self.Incarnation}),
		software:       tables.NewSoftware(),
		streamCommits:  tables.NewCommits(),
		routeDurations: tables.NewRouteDurations(),
		slots:          tables.NewSlots(maxRequests),

		routingUpdates: tables.NewSerial(lockrank.RankRoutingUpdates),

		started: adapters.Clock.Now(),
	}
	s.duties = newDuties(&options)
	s.committer = commits.Committer{
		Tables: adapters.Tables, ReplyTimeout: commitReplyTimeout,
		OnCommit:    func() { s.metrics.TableCommits.Inc(1) },
		OnRead:      func(rows int) { s.metrics.TableReads.Inc(int64(rows)) },
		OnReplyLost: func() { s.metrics.TableUnknown.Inc(1) },
	}
	s.leaseManager = s.newLeaseManager()
	s.Reconfigure(options.AddressCacheTime, options.GracePeriod)
	return s
}

// Reconfigure changes how long callers may cache the entry addresses and the grace
// period of a shutdown.
func (s *Service) Reconfigure(addressKeep, grace time.Duration) {
	s.addressCacheNanos.Store(int64(addressKeep))
	s.graceNanos.Store(int64(grace))
}

func (s *Service) Metrics() *metrics.Relay { return s.metrics }

// Start starts the periodic work.
func (s *Service) Start() {
	s.runPeriodically(s.publishedDelay, s.watchPublished)
	s.runPeriodically(s.pollInterval, s.watchServers)
	s.runPeriodically(s.crashReadInterval, s.watchCrashes)
	s.runPeriodically(s.memberReadInterval, s.watchMembers)
	s.runPeriodically(constantInterval(leaseInterval), s.updateLeases)
	s.runPeriodically(constantInterval(sweepInterval), s.sweepServers)
	s.runPeriodically(constantInterval(settleInterval), s.settleVersions)
	s.runPeriodically(constantInterval(streamSweepInterval), s.sweepStreams)
	s.startDuties()
	s.announce()
}

func constantInterval(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

// pollInterval returns the interval between reads of published data.
func (s *Service) pollInterval() time.Duration {
	return announce.PollInterval(watchInterval, len(s.members.Live()), s.options.StoreReadsPerSecond)
}

// crashReadInterval returns the interval between reads of crash records.
func (s *Service) crashReadInterval() time.Duration {
	return announce.CrashReadInterval(watchInterval, len(s.members.Live()), s.options.StoreReadsPerSecond)
}

// memberReadInterval returns the interval between reads of the members.
func (s *Service) memberReadInterval() time.Duration {
	return announce.MemberReadInterval(watchInterval, len(s.members.Live()))
}

// runPeriodically runs a step at once and then at an interval until the process has
// stopped.
func (s *Service) runPeriodically(interval func() time.Duration, step workers.Step) {
	s.pool.MustEnqueue(core.ClassControl, func() {
		if phase, _ := s.lifecycle.Phase(); phase == tables.PhaseStopped {
			return
		}
		step()
		s.timers.After(interval(), core.ClassControl, func() { s.runPeriodically(interval, step) })
	})
}

// newAttemptID returns a unique ID for a commit.
func (s *Service) newAttemptID() core.AttemptID {
	return core.AttemptID(fmt.Sprintf("%s/%d/%d", s.options.Self.VM, s.options.Self.Incarnation, s.commitAttempts.Add(1)))
}

// State is a snapshot of a process's state, encoded as JSON for operators.
type State struct {
	Phase    string                `json:"phase"`
	InFlight int                   `json:"in_flight"`
	Routes   uint64                `json:"routes_version"`
	Accounts *tables.AccountsState `json:"accounts,omitempty"` // nil if the deployment has no client accounts
	Members  []core.Member         `json:"members"`
	Leases   []tables.LeaseState   `json:"leases"`
	Jobs     []job.Summary         `json:"jobs"`
	Servers  []routing.View        `json:"servers"`
	Outages  []core.PlatformOutage `json:"outages"`
	Crashes  crash.RecordCounts    `json:"crashes"`
	Slots    []tables.SlotState    `json:"slots"`
	Usage    *UsageState           `json:"usage,omitempty"` // nil if usage is not reported
	Pool     workers.PoolState     `json:"pool"`

	RoutesConfirmedAt time.Time `json:"routes_confirmed_at"` // start of the newest successful read of the route table
}

// State returns a snapshot of this process's state.
func (s *Service) State() State {
	phase, inFlight := s.lifecycle.Phase()
	state := State{
		Phase: phase.String(), InFlight: inFlight, Members: s.members.Live(),
		Leases: s.leases.State(s.ports.Clock.Now()), Jobs: s.jobs.Summaries(),
		Servers: s.servers.Views(), Pool: s.pool.State(), Outages: s.platform.Outages(),
		Crashes: s.crashes.State(s.ports.Clock.Now()), Slots: s.slots.State(), Usage: s.usageState(),
		RoutesConfirmedAt: s.accounts.ConfirmedAt(),
	}
	table := s.routes.Current()
	if table != nil {
		state.Routes = table.Version
	}
	state.Accounts = s.accounts.State(table)
	return state
}
