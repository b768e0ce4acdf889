// Package platform is the stand-in for the users' platform: the transactional
// table service, the object store, the VM list and the weight store. It uses
// plain HTTP and JSON, and injects faults as requested by control calls. One
// process is one platform; all state is in memory. docs/protocols/platform.md
// describes the protocol.
//
// Handlers decode a message, run its effect on a worker pool, wait for the
// result and encode it. Each store has one lock; no goroutine holds two of
// them, and none is held across I/O.
package platform

import (
	"net/http"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/lockrank"
	"fescuespar/internal/ports/porttest/faults"
	"fescuespar/internal/ports/porttest/memstore"
	"fescuespar/internal/workers"
)

// rankStandin is the lock rank of all locks in this package. They are never
// nested.
const rankStandin lockrank.Rank = 4

// Defaults of Options.
const (
	DefaultWorkers        = 4
	DefaultQueueLimit     = 4096
	DefaultMaxTableBytes  = 4 << 20
	DefaultMaxObjectBytes = 64 << 20
)

// Options configures a platform. Zero values select the defaults.
type Options struct {
	Workers        int              // workers that run effects
	QueueLimit     int              // calls waiting for a worker; further calls are refused
	MaxTableBytes  int64            // maximum size of the body of a table call
	MaxObjectBytes int64            // maximum size of an object or of a version's weights
	VMListLag      time.Duration    // delay with which changes appear in the served VM list
	WeightRate     int64            // bytes per second sent by the weight store to all readers together; zero disables the limit
	WeightBurst    int64            // bytes that may exceed the rate in a burst
	Now            func() time.Time // clock of the VM list, the weight store and the durations of fault rules
}

func (o Options) withDefaults() Options {
	if o.Workers == 0 {
		o.Workers = DefaultWorkers
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = DefaultQueueLimit
	}
	if o.MaxTableBytes == 0 {
		o.MaxTableBytes = DefaultMaxTableBytes
	}
	if o.MaxObjectBytes == 0 {
		o.MaxObjectBytes = DefaultMaxObjectBytes
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Platform is a platform stand-in. It implements http.Handler.
type Platform struct {
	options     Options
	mux         *http.ServeMux
	pool        *workers.Pool
	faultPlan   *faults.Plan
	heldEffects *faults.Holder
	rows        *memstore.Rows[[]byte]
	objects     *memstore.Objects
	vms         *vmList
	weights     *weightStore
}

// New starts an empty platform.
func New(options Options) *Platform {
	options = options.withDefaults()
	pool := workers.NewPool(options.Workers, options.QueueLimit)
	timers := workers.NewTimers(pool)
	after := func(delay time.Duration, step func()) { timers.After(delay, core.ClassControl, step) }
	p := &Platform{
		options:     options,
		mux:         http.NewServeMux(),
		pool:        pool,
		faultPlan:   faults.NewPlan(options.Now),
		heldEffects: faults.NewHolder(after),
		rows:        memstore.NewRows[[]byte](),
		objects:     memstore.NewObjects(),
		vms:         newVMList(options.VMListLag),
		weights:     newWeightStore(options.WeightRate, options.WeightBurst),
	}
	p.routeTables()
	p.routeObjects()
	p.routeVMs()
	p.routeWeights()
	p.routeControl()
	return p
}

// ServeHTTP serves one call of the protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Close stops the workers. Later calls are refused, and effects that are still
// held are discarded.
func (p *Platform) Close() { p.pool.Stop() }
