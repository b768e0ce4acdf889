package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/admission"
	"fescuespar/internal/core/retry"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/tables"
	"fescuespar/internal/virtualtime"
)

// Times of a run and of the service in it.
const (
	runTime        = 14 * time.Minute
	warmUp         = 2 * time.Minute
	reportEvery    = time.Second
	reportLag      = time.Second
	beatEvery      = 2 * time.Second
	askEvery       = 250 * time.Millisecond // looks for heartbeats out of turn
	crashBeat      = 500 * time.Millisecond
	connectTimeout = time.Second
	killAfter      = 300 * time.Millisecond
	zoneTrip       = 1500 * time.Microsecond // one way
	regionTrip     = 12 * time.Millisecond   // one way
)

var (
	retryPolicy = retry.Policy{Attempts: 3, Base: 50 * time.Millisecond, Max: 2 * time.Second}
	shareTiming = admission.ShareTiming{Borrowed: 30 * time.Second, Gone: 35 * time.Second, Settle: 2 * time.Second}
)

// plan says which policies a run uses and what goes wrong in it. The zero
// plan uses the service's own.
type plan struct {
	choose        chooser   // in place of routing
	ahead         core.Step // steps for which samples are made
	sharedQueue   bool      // in place of admission
	plainRetries  bool      // three tries, no budget
	noAdmission   bool
	noResume      bool // a cut answer starts again
	noFingerprint bool
	noTraining    bool
	stragglers    float64 // share of the attempts
	load          float64 // of people's usual requests
	faults        func(w *world)
}

// entry is one entry VM with the service's tables.
type entry struct {
	vm      core.VMID
	region  core.RegionName
	zone    core.ZoneName
	router  router
	limits  map[core.DeploymentName]*tables.Limits
	crashes *tables.Crashes
}

// attempt is one run of a request at a server.
type attempt struct {
	stream *stream
	server *server
	begun  routing.Dispatch
	trial  bool
	ended  bool
}

// world is one run.
type world struct {
	clock    virtualtime.Clock
	site     *operator
	plan     plan
	load     float64
	random   *rand.Rand // of the policies and servers
	persons  *rand.Rand // of people's requests, the same under every policy
	servers  []*server
	entries  []*entry
	trainers []*trainer
	requests uint64 // so far
	queues   map[core.DeploymentName]*sharedQueue
	results
}

func newWorld(s *operator, p plan, seed uint64) *world {
	w := &world{
		site: s, plan: p, load: max(1, p.load), servers: s.servers(), queues: make(map[core.DeploymentName]*sharedQueue),
		random: rand.New(rand.NewPCG(seed, 1)), persons: rand.New(rand.NewPCG(seed, 2)),
	}
	w.addEntries()
	w.addTrainers()
	w.people()
	w.report()
	w.clock.After(0, w.beatLimits)
	w.clock.After(askEvery, w.askLimits)
	w.clock.After(0, w.beatCrashes)
	if p.faults != nil {
		p.faults(w)
	}
	return w
}

func (w *world) addEntries() {
	var vms []core.VM
	for _, server := range w.servers {
		vms = append(vms, server.vm)
	}
	for r, region := range w.site.regions {
		for i := range w.site.entries[r] {
			e := &entry{
				vm: core.VMID(fmt.Sprintf("entry-%s-%d", region, i)), region: region, zone: zone(region, r == 0, i),
				limits: make(map[core.DeploymentName]*tables.Limits),
			}
			e.crashes = tables.NewCrashes(e.vm)
			if w.plan.choose != nil {
				e.router = newBaseline(vms, w.random, w.plan.choose)
			} else {
				e.router = newRouted(vms, w.site.entries[r], w.random)
			}
			w.entries = append(w.entries, e)
		}
	}
	w.addLimits()
}

func (w *world) addLimits() {
	var all []core.VMID
	for _, e := range w.entries {
		all = append(all, e.vm)
	}
	for _, e := range w.entries {
		for i := range w.site.deployments {
			limits := tables.NewLimits(e.vm, 1, shareTiming, w.clock.Time())
			limits.ApplyListed(all, w.clock.Time())
			limits.ApplyConfiguration(&core.Configuration{Deployments: w.site.deployments[i : i+1]}, w.clock.Time())
			e.limits[w.site.deployments[i].Name] = limits
		}
	}
}

func (w *world) addTrainers() {
	for i := range w.site.deployments {
		d := &w.site.deployments[i]
		if d.Rollout == nil || w.plan.noTraining {
			continue
		}
		t := &trainer{
			w: w, number: i, deployment: d, entry: len(w.trainers), version: 1,
			book: newOwnBook(d.Rollout), running: make(map[uint64]*sampleRun),
		}
		if w.plan.ahead > 0 {
			t.book = newPlannedBook(d.Rollout, w.plan.ahead)
		}
		t.book.published(t.version, w.clock.Time())
		w.trainers = append(w.trainers, t)
		w.clock.After(seconds(float64(i)), func() {
			t.coordinate()
			t.ask()
		})
	}
}
