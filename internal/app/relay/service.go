// Package relay is the application layer of entry processes that pass requests
// on unchanged by routes and run submitted jobs. Decisions are the core's,
// state lies in the tables, and all I/O goes through lanes.
package relay

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fescuespar/internal/app/commits"
	"fescuespar/internal/app/tenure"
	"fescuespar/internal/core"
	"fescuespar/internal/core/announce"
	"fescuespar/internal/core/job"
	"fescuespar/internal/core/lease"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/metrics"
	"fescuespar/internal/ports"
	"fescuespar/internal/tables"
	"fescuespar/internal/workers"
)

// Ports are the outside things that the service needs.
type Ports struct {
	Tables   ports.TableService
	Objects  ports.ObjectStore
	Bodies   ports.JobBodies
	Registry ports.Registry
	Backend  ports.Backend
	Clock    ports.Clock
}

// Options are the settings of one entry process.
type Options struct {
	Self         core.Member
	Seed         uint64        // of the random source
	Seeds        []string      // peer addresses of some other processes, which may be stale
	Workers      int           // workers of the pool
	AddressKeep  time.Duration // how long callers may keep the entry addresses
	OrdersApart  time.Duration // between the orders of two holders to one engine
	Grace        time.Duration // from the signal to stop until the process is killed
	StoreReads   int           // reads a second that the table service takes of all processes; zero for no bound
	ResultBytes  int           // longest result that a row holds
	Reclaim      time.Duration // after the start, in which leases of an earlier process of this VM are looked for
	RegistryBack time.Duration // after an outage, until all living servers are registered again
}

// Bounds of the pool's queues and the lanes. The calls in flight to backend
// servers are bounded by their slots; the rest bounds memory.
const (
	queueLength   = 4096
	callsInFlight = 256
	callsWaiting  = 256
	runsInFlight  = 512
	scoresAtOnce  = 64 // texts being scored
	scoresShare   = 2  // scores take one in so many of the plain servers' slots, so that callers find the rest
	fewestScores  = 4  // before the slots are known
	storeInFlight = 16
	storeWaiting  = 1024
	leaseInFlight = 4
	leaseWaiting  = 16
	ordersAtOnce  = 8
	ordersWaiting = 64
	watchInFlight = 4
)

// Timing of leases: a holder that dies is replaced within the term and its
// margin, during which no job moves.
const (
	leaseTerm    = 1500 * time.Millisecond
	leaseRenewal = 400 * time.Millisecond
	leaseMargin  = 150 * time.Millisecond
)

// commitTry is how long a reply to a commit is awaited before its rows are read
// again: a store that is slowed eighty times still answers within it, and a
// lease must outlast one lost reply.
const commitTry = 700 * time.Millisecond

// Intervals of the periodic work.
const (
	watchEvery = 300 * time.Millisecond // an eighth of the time in which a change must be in force; longer in a large fleet
	tendEvery  = 100 * time.Millisecond
	sweepEvery = time.Second
)

type lanes struct {
	calls  *workers.Lane // requests of callers
	runs   *workers.Lane // items of jobs
	scores *workers.Lane // scores of texts
	store  *workers.Lane // jobs and results
	leases *workers.Lane
	orders *workers.Lane
	watch  *workers.Lane // registry and members
}

// Service is one entry process without its front ends.
type Service struct {
	options Options
	ports   Ports
	log     zerolog.Logger
	metrics *metrics.Relay

	pool   *workers.Pool
	timers *workers.Timers
	lanes  lanes

	lifecycle *tables.Lifecycle
	routes    *tables.Routes
	members   *tables.Announced
	leases    *tables.Leases
	servers   *tables.Servers
	registry  *tables.Registry
	jobs      *tables.Jobs
	runs      *tables.Runs
	paces     *tables.Paces
	weights   *tables.Weights
	stored    *tables.Stored
	platform  *tables.Platform

	started   time.Time
	committer commits.Committer
	tenure    *tenure.Keeper
	attempts  atomic.Uint64
	plain     atomic.Int64 // slots of all plain servers
	keep      atomic.Int64 // how long callers may keep the entry addresses, in nanoseconds
	grace     atomic.Int64 // from the signal to stop until the process is killed, in nanoseconds
	beats     atomic.Uint64
}

var (
	_ ports.Relay = (*Service)(nil)
	_ ports.Jobs  = (*Service)(nil)
)

// New returns a service that is not yet running.
func New(options Options, outside Ports, log zerolog.Logger) *Service {
	pool := workers.NewPool(options.Workers, queueLength)
	random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(options.Seed, stream)) }
	s := &Service{
		options: options, ports: outside, log: log, metrics: metrics.NewRelay(),
		pool: pool, timers: workers.NewTimers(pool),
		lanes: lanes{
			calls:  workers.NewLane("calls", callsInFlight, callsWaiting),
			runs:   workers.NewLane("runs", runsInFlight, 0),
			scores: workers.NewLane("scores", scoresAtOnce, 0),
			store:  workers.NewLane("store", storeInFlight, storeWaiting),
			leases: workers.NewLane("leases", leaseInFlight, leaseWaiting),
			orders: workers.NewLane("orders", ordersAtOnce, ordersWaiting),
			watch:  workers.NewLane("watch", watchInFlight, watchInFlight),
		},
		lifecycle: tables.NewLifecycle(),
		routes:    tables.NewRoutes(random(1)),
		members:   tables.NewAnnounced(),
		leases: tables.NewLeases(
			lease.Self{VM: options.Self.VM, Incarnation: options.Self.Incarnation, Address: options.Self.CallAddress},
			lease.Timing{Term: leaseTerm, RenewEvery: leaseRenewal, Margin: leaseMargin, LongestOrder: options.OrdersApart, OrdersByVM: true}),
		servers:  tables.NewServersWith(routingPolicy(), random(2)),
		registry: tables.NewRegistry(options.RegistryBack),
		jobs:     tables.NewJobs(),
		runs:     tables.NewRuns(),
		paces:    tables.NewPaces(),
		weights:  tables.NewWeights(),
		stored:   tables.NewStored(),
		platform: tables.NewPlatform(),
		started:  outside.Clock.Now(),
	}
	s.committer = commits.Committer{
		Tables: outside.Tables, Try: commitTry,
		OnCommit:  func() { s.metrics.TableCommits.Inc(1) },
		OnRead:    func(rows int) { s.metrics.TableReads.Inc(int64(rows)) },
		OnUnknown: func() { s.metrics.TableUnknown.Inc(1) },
	}
	s.tenure = s.newTenure()
	s.Retime(options.AddressKeep, options.Grace)
	return s
}

// Retime changes how long callers may keep the entry addresses and the grace of
// a planned stop.
func (s *Service) Retime(addressKeep, grace time.Duration) {
	s.keep.Store(int64(addressKeep))
	s.grace.Store(int64(grace))
}

// Metrics returns the process's metrics.
func (s *Service) Metrics() *metrics.Relay { return s.metrics }

// Start begins the periodic work.
func (s *Service) Start() {
	s.every(s.readEvery, s.watchPublished)
	s.every(s.readEvery, s.watchServers)
	s.every(s.lookEvery, s.watchMembers)
	s.every(always(tendEvery), s.tend)
	s.every(always(sweepEvery), s.sweepServers)
	s.announce()
}

func always(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

// readEvery returns the interval between looks at what others publish.
func (s *Service) readEvery() time.Duration {
	return announce.ReadEvery(watchEvery, len(s.members.Live()), s.options.StoreReads)
}

// lookEvery returns the interval between reads of the members.
func (s *Service) lookEvery() time.Duration {
	return announce.LookEvery(watchEvery, len(s.members.Live()))
}

// every runs a step now and then at an interval until the process has stopped.
func (s *Service) every(interval func() time.Duration, step workers.Step) {
	s.pool.MustEnqueue(core.ClassControl, func() {
		if phase, _ := s.lifecycle.Phase(); phase == tables.PhaseStopped {
			return
		}
		step()
		s.timers.After(interval(), core.ClassControl, func() { s.every(interval, step) })
	})
}

// newAttemptID names a commit so that no other one has the same name.
func (s *Service) newAttemptID() core.AttemptID {
	return core.AttemptID(fmt.Sprintf("%s/%d/%d", s.options.Self.VM, s.options.Self.Incarnation, s.attempts.Add(1)))
}

// State is the dump of this process's state.
type State struct {
	Phase    string                `json:"phase"`
	InFlight int                   `json:"in_flight"`
	Routes   uint64                `json:"routes_version"`
	Members  []core.Member         `json:"members"`
	Leases   []tables.LeaseState   `json:"leases"`
	Jobs     []job.Summary         `json:"jobs"`
	Servers  []routing.View        `json:"servers"`
	Outages  []core.PlatformOutage `json:"outages"`
	Pool     workers.PoolState     `json:"pool"`
}

// State returns the dump of this process's state, ready for JSON.
func (s *Service) State() State {
	phase, inFlight := s.lifecycle.Phase()
	state := State{
		Phase: phase.String(), InFlight: inFlight, Members: s.members.Live(),
		Leases: s.leases.State(s.ports.Clock.Now()), Jobs: s.jobs.Summaries(),
		Servers: s.servers.Views(), Pool: s.pool.State(), Outages: s.platform.Outages(),
	}
	if table := s.routes.InForce(); table != nil {
		state.Routes = table.Version
	}
	return state
}
