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

// Times of the simulation and of the simulated service.
const (
	runTime               = 14 * time.Minute
	warmUp                = 2 * time.Minute
	reportInterval        = time.Second
	reportDelay           = time.Second
	limitExchangeInterval = 2 * time.Second
	limitPollInterval     = 250 * time.Millisecond // how often heartbeats before the regular one are looked for
	crashExchangeInterval = 500 * time.Millisecond
	connectTimeout        = time.Second
	crashDelay            = 300 * time.Millisecond
	zoneLatency           = 1500 * time.Microsecond // one way
	regionLatency         = 12 * time.Millisecond   // one way
)

var (
	retryPolicy = retry.Policy{MaxAttempts: 3, BaseDelay: 50 * time.Millisecond, MaxDelay: 2 * time.Second}
	shareTiming = admission.ShareTiming{LoanTimeout: 30 * time.Second, PeerTimeout: 35 * time.Second, StartupDelay: 2 * time.Second}
)

// scenario selects the policies and faults of a simulation. The zero scenario
// uses the service's own policies.
type scenario struct {
	chooseServer     chooser   // replaces the service's routing if set
	stepsAhead       core.Step // fixed number of steps ahead if not zero; replaces package rollout
	useSharedQueue   bool      // replaces admission
	fixedRetries     bool      // three attempts without a retry budget
	noAdmission      bool
	noResume         bool // an interrupted answer restarts from its first token
	noCrashDetection bool
	noTraining       bool
	stragglerShare   float64 // share of attempts that are slow
	loadFactor       float64 // multiple of the usual rate of interactive requests
	scheduleFaults   func(sim *simulation)
}

// entry is one entry VM with its tables.
type entry struct {
	vm      core.VMID
	region  core.RegionName
	zone    core.ZoneName
	router  router
	limits  map[core.DeploymentName]*tables.Limits
	crashes *tables.Crashes
}

// attempt is one run of a request on a server.
type attempt struct {
	stream   *stream
	server   *server
	dispatch routing.Dispatch
	isTrial  bool
	isEnded  bool
}

// simulation is one run of a scenario on a site.
type simulation struct {
	clock             virtualtime.Clock
	site              *siteConfig
	scenario          scenario
	loadFactor        float64
	policyRandom      *rand.Rand // for the policies and servers
	interactiveRandom *rand.Rand // for interactive requests; the same under every policy
	servers           []*server
	entries           []*entry
	trainers          []*trainer
	requestCount      uint64
	queues            map[core.DeploymentName]*sharedQueue
	results
}

func newSimulation(site *siteConfig, sc scenario, seed uint64) *simulation {
	sim := &simulation{
		site: site, scenario: sc, loadFactor: max(1, sc.loadFactor), servers: site.newServers(), queues: make(map[core.DeploymentName]*sharedQueue),
		policyRandom: rand.New(rand.NewPCG(seed, 1)), interactiveRandom: rand.New(rand.NewPCG(seed, 2)),
	}
	sim.addEntries()
	sim.addTrainers()
	sim.scheduleInteractive()
	sim.sendReports()
	sim.clock.After(0, sim.exchangeLimitsPeriodically)
	sim.clock.After(limitPollInterval, sim.exchangeRequestedLimits)
	sim.clock.After(0, sim.exchangeCrashesPeriodically)
	if sc.scheduleFaults != nil {
		sc.scheduleFaults(sim)
	}
	return sim
}

func (sim *simulation) addEntries() {
	var vms []core.VM
	for _, server := range sim.servers {
		vms = append(vms, server.vm)
	}
	for r, region := range sim.site.regions {
		for i := range sim.site.entryCounts[r] {
			e := &entry{
				vm: core.VMID(fmt.Sprintf("entry-%s-%d", region, i)), region: region, zone: zoneOf(region, r == 0, i),
				limits: make(map[core.DeploymentName]*tables.Limits),
			}
			e.crashes = tables.NewCrashes(e.vm)
			if sim.scenario.chooseServer != nil {
				e.router = newBaselineRouter(vms, sim.policyRandom, sim.scenario.chooseServer)
			} else {
				e.router = newServiceRouter(vms, sim.site.entryCounts[r], sim.policyRandom)
			}
			sim.entries = append(sim.entries, e)
		}
	}
	sim.addLimits()
}

func (sim *simulation) addLimits() {
	var all []core.VMID
	for _, e := range sim.entries {
		all = append(all, e.vm)
	}
	for _, e := range sim.entries {
		for i := range sim.site.deployments {
			limits := tables.NewLimits(e.vm, 1, shareTiming, sim.clock.Time())
			limits.ApplyEntryVMs(all, sim.clock.Time())
			limits.ApplyConfiguration(&core.Configuration{Deployments: sim.site.deployments[i : i+1]}, sim.clock.Time())
			e.limits[sim.site.deployments[i].Name] = limits
		}
	}
}

func (sim *simulation) addTrainers() {
	for i := range sim.site.deployments {
		d := &sim.site.deployments[i]
		if d.Rollout == nil || sim.scenario.noTraining {
			continue
		}
		t := &trainer{
			sim: sim, deploymentIndex: i, deployment: d, entryIndex: len(sim.trainers), version: 1,
			scheduler: newServiceScheduler(d.Rollout), running: make(map[uint64]*sampleRun),
		}
		if sim.scenario.stepsAhead > 0 {
			t.scheduler = newFixedAheadScheduler(d.Rollout, sim.scenario.stepsAhead)
		}
		t.scheduler.publishVersion(t.version, sim.clock.Time())
		sim.trainers = append(sim.trainers, t)
		sim.clock.After(seconds(float64(i)), func() {
			t.coordinate()
			t.requestStep()
		})
	}
}
