package app_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"fescuespar/internal/adapters/settings"
	"fescuespar/internal/app"
	"fescuespar/internal/core"
	"fescuespar/internal/core/claim"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/ports/porttest"
)

// The benchmarks in this file measure the slopes given in docs/CAPACITY.md.
// They run only by name, with -benchtime 1x, and take up to a few minutes.

// fleetSizes are the fleet sizes for which slopes are measured.
var fleetSizes = []int{10, 30, 100}

// largeFleetSizes are for benchmarks with a low cost per instance. The last one
// is the size expected in two years.
var largeFleetSizes = []int{10, 30, 100, 300, 610}

// benchTimeout bounds one benchmark.
const benchTimeout = 5 * time.Minute

// setDefaultIntervals sets the default intervals of the settings.
func setDefaultIntervals(options *app.Options) {
	d := settings.Defaults().Intervals
	options.VMListInterval, options.StatusInterval, options.ConfigInterval = d.VMListPoll, d.EngineStatusPoll, d.ConfigurationPoll
	options.LeaseTerm, options.LeaseRenewInterval, options.OrderTimeout = d.LeaseTerm, d.LeaseRenewal, d.OrderTimeout
	options.AddressCacheTime, options.AnswerRetention = d.AddressCacheTime, d.AnswerRetention
}

// setLowTrafficIntervals sets intervals at which almost only leases call the
// platform.
func setLowTrafficIntervals(options *app.Options) {
	setDefaultIntervals(options)
	options.VMListInterval, options.ConfigInterval = 10*time.Second, time.Hour
	options.LeaseTerm, options.LeaseRenewInterval = time.Minute, time.Second
}

// emptyPrompts is an object without prompts: its rollouts plan no samples.
const emptyPrompts core.ObjectKey = "blank"

// idleRollouts returns deployments that have one lease each and plan no
// samples.
func idleRollouts(number int) []core.Deployment {
	deployments := make([]core.Deployment, number)
	for i := range deployments {
		deployments[i] = testDeployments[1]
		deployments[i].Name = core.DeploymentName(fmt.Sprint("coach-", i))
		deployments[i].Adapter = core.AdapterName(fmt.Sprint("adapter-", i))
		rollout := *testDeployments[1].Rollout
		rollout.Prompts = emptyPrompts
		deployments[i].Rollout = &rollout
	}
	return deployments
}

func newMeasuredCluster(b *testing.B, size int, deployments []core.Deployment, setOptions func(*app.Options)) (*cluster, *callCounters) {
	counters := &callCounters{}
	c := newClusterWith(b, clusterOptions{
		size: size, timeout: benchTimeout, deployments: deployments, setOptions: setOptions, wrapPorts: counters.wrap,
	})
	if err := c.objects.Put(c.ctx, emptyPrompts, []byte("\n")); err != nil {
		b.Fatal(err)
	}
	c.await("all members known everywhere", func() bool {
		for _, s := range c.services {
			if len(s.Status().Members) < size {
				return false
			}
		}
		return true
	})
	return c, counters
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heartbeatsSent(c *cluster) (total float64) {
	for _, s := range c.services {
		total += float64(s.Metrics().HeartbeatsSent.Count())
	}
	return total
}

// measureTime is how long an idle fleet is measured.
const measureTime = 10 * time.Second

// BenchmarkIdle reports the platform calls of an idle fleet with nine leases,
// and the resources that it uses per instance.
func BenchmarkIdle(b *testing.B) {
	for _, size := range largeFleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			heapBefore, goroutinesBefore := heapBytes(), runtime.NumGoroutine()
			c, counters := newMeasuredCluster(b, size, idleRollouts(9), setDefaultIntervals)
			c.coordinator()
			b.ReportMetric((heapBytes()-heapBefore)/float64(size), "heap-B/instance")
			b.ReportMetric(float64(runtime.NumGoroutine()-goroutinesBefore)/float64(size), "goroutines/instance")
			before, heartbeatsBefore, cpuBefore, start := counters.values(), heartbeatsSent(c), cpuTime(), time.Now()
			<-time.After(measureTime)
			after, seconds := counters.values(), time.Since(start).Seconds()
			b.ReportMetric((cpuTime()-cpuBefore).Seconds()/seconds/float64(size)*1e6, "cpu-us/s/instance")
			b.ReportMetric((heartbeatsSent(c)-heartbeatsBefore)/seconds/float64(size), "heartbeats/s/instance")
			b.ReportMetric((after.reads-before.reads)/seconds, "reads/s")
			b.ReportMetric((after.configReads-before.configReads)/seconds, "config-reads/s")
			b.ReportMetric((after.leaseReads-before.leaseReads)/seconds, "lease-reads/s")
			b.ReportMetric((after.commits-before.commits)/seconds, "commits/s")
			b.ReportMetric((after.vmLists-before.vmLists)/seconds, "vm-lists/s")
			b.ReportMetric((after.statuses-before.statuses)/seconds, "statuses/s")
		})
	}
}

// BenchmarkLeases reports the reads and commits per lease for several numbers
// of leases.
func BenchmarkLeases(b *testing.B) {
	for _, leases := range []int{1, 3, 9, 27} {
		b.Run(fmt.Sprintf("leases=%d", leases), func(b *testing.B) {
			_, counters := newMeasuredCluster(b, 10, idleRollouts(leases), setDefaultIntervals)
			<-time.After(2 * time.Second)
			before, start := counters.values(), time.Now()
			<-time.After(measureTime)
			after, seconds := counters.values(), time.Since(start).Seconds()
			b.ReportMetric((after.leaseReads-before.leaseReads)/seconds/float64(leases), "reads/s/lease")
			b.ReportMetric((after.leaseCommits-before.leaseCommits)/seconds/float64(leases), "commits/s/lease")
		})
	}
}

// BenchmarkConfigurationChange reports the time from a publish until the
// configuration is in force at every instance, and the platform calls per
// change. In the baseline, each instance reads the row and the object of each
// change.
func BenchmarkConfigurationChange(b *testing.B) {
	const changes = 10
	for _, size := range largeFleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			c, counters := newMeasuredCluster(b, size, idleRollouts(1), func(options *app.Options) {
				setDefaultIntervals(options)
				options.ConfigInterval = time.Hour
			})
			before := counters.values()
			var total, longest time.Duration
			for change := range changes {
				start := time.Now()
				base := core.Generation(change + 1)
				if _, err := c.services[change%size].Publish(c.ctx, "op", base, c.options.deployments); err != nil {
					b.Fatal(err)
				}
				c.awaitGeneration(base + 1)
				elapsed := time.Since(start)
				total, longest = total+elapsed, max(longest, elapsed)
			}
			after := counters.values()
			b.ReportMetric(total.Seconds()/changes*1000, "mean-ms")
			b.ReportMetric(longest.Seconds()*1000, "longest-ms")
			b.ReportMetric((after.reads-before.reads-after.leaseReads+before.leaseReads)/changes, "reads/change")
			b.ReportMetric((after.commits-before.commits-after.leaseCommits+before.leaseCommits)/changes, "commits/change")
			b.ReportMetric((after.puts-before.puts+after.gets-before.gets)/changes, "objects/change")
			b.ReportMetric((after.configFetches-before.configFetches)/changes, "peer-fetches/change")
			b.ReportMetric(float64(2*size), "baseline-reads/change")
		})
	}
}

// BenchmarkStart reports how long a new instance takes to have the
// configuration and the servers, and the platform calls of its start.
func BenchmarkStart(b *testing.B) {
	const starts = 5
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			c, counters := newMeasuredCluster(b, size, testDeployments[:1], func(options *app.Options) {
				setDefaultIntervals(options)
				options.ConfigInterval = time.Hour
			})
			before, start := counters.values(), time.Now()
			for range starts {
				started := c.addService()
				c.await("the started instance is ready", func() bool {
					return started.Configuration().Generation > 0 && len(started.State().(app.State).Servers) > 0
				})
			}
			after := counters.values()
			b.ReportMetric(time.Since(start).Seconds()/starts*1000, "ms/start")
			b.ReportMetric((after.reads-before.reads)/starts, "reads/start")
			b.ReportMetric((after.commits-before.commits)/starts, "commits/start")
			b.ReportMetric((after.gets-before.gets)/starts, "objects/start")
			b.ReportMetric((after.configFetches-before.configFetches)/starts, "peer-fetches/start")
		})
	}
}

// BenchmarkTakeover reports the time from cutting off the coordinator until
// another instance holds the lease.
func BenchmarkTakeover(b *testing.B) {
	const cuts = 3
	for _, size := range largeFleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			c, counters := newMeasuredCluster(b, size, idleRollouts(1), setDefaultIntervals)
			var total, longest time.Duration
			var reads, commits float64
			for range cuts {
				_, address := c.coordinator()
				before, start := counters.values(), time.Now()
				c.network.setCut(address, true)
				c.coordinator()
				elapsed, after := time.Since(start), counters.values()
				total, longest = total+elapsed, max(longest, elapsed)
				reads += after.leaseReads - before.leaseReads
				commits += after.leaseCommits - before.leaseCommits
				c.network.setCut(address, false)
			}
			b.ReportMetric(total.Seconds()/cuts, "mean-s")
			b.ReportMetric(longest.Seconds(), "longest-s")
			b.ReportMetric(reads/cuts, "reads/takeover")
			b.ReportMetric(commits/cuts, "commits/takeover")
		})
	}
}

// BenchmarkZoneLoss cuts off a third of twelve instances at once. It reports
// the time until the others hold all leases, and the calls in that time.
func BenchmarkZoneLoss(b *testing.B) {
	const size, lost = 12, 4
	for _, leases := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("leases=%d", leases), func(b *testing.B) {
			reportLoss(b, size, leases, func(c *cluster) {
				for i := range lost {
					c.network.setCut(fmt.Sprintf("peer-%d", i+1), true)
				}
			})
		})
	}
}

// BenchmarkHoldersLoss cuts off every lease holder of 100 instances at once,
// the worst case of losing an availability zone.
func BenchmarkHoldersLoss(b *testing.B) {
	for _, leases := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("leases=%d", leases), func(b *testing.B) {
			reportLoss(b, 100, leases, func(c *cluster) {
				for i, s := range c.services {
					if leasesHeldBy(s) > 0 {
						c.network.setCut(fmt.Sprintf("peer-%d", i+1), true)
					}
				}
			})
		})
	}
}

// reportLoss cuts instances off and reports the time and calls until the others
// hold all leases.
func reportLoss(b *testing.B, size, leases int, cut func(*cluster)) {
	c, counters := newMeasuredCluster(b, size, idleRollouts(leases), setDefaultIntervals)
	c.await("all leases held", func() bool { return c.leasesHeld() == leases })
	cut(c)
	remaining := c.leasesHeld()
	before, start := counters.values(), time.Now()
	c.await("all leases held again", func() bool { return c.leasesHeld() == leases })
	after, elapsed := counters.values(), time.Since(start).Seconds()
	b.ReportMetric(elapsed, "s")
	b.ReportMetric(float64(leases-remaining), "leases-lost")
	b.ReportMetric((after.leaseReads-before.leaseReads)/elapsed, "lease-reads/s")
	b.ReportMetric((after.leaseCommits-before.leaseCommits)/elapsed, "lease-commits/s")
}

// leasesHeld returns the number of leases held by instances that are not cut
// off.
func (c *cluster) leasesHeld() int {
	held := 0
	for i, s := range c.services {
		if !c.network.isCut(fmt.Sprintf("peer-%d", i+1)) {
			held += leasesHeldBy(s)
		}
	}
	return held
}

func leasesHeldBy(s *app.Service) (held int) {
	for _, lease := range s.State().(app.State).Leases {
		if lease.Held {
			held++
		}
	}
	return held
}

// BenchmarkEngines reports the cost of engines for one instance that polls
// them, and the time from publishing a weight version until all engines are
// seen to hold it.
func BenchmarkEngines(b *testing.B) {
	const name core.DeploymentName = "coach"
	for _, engines := range []int{100, 1000, 6100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			deployments := []core.Deployment{testDeployments[1]}
			rollout := *testDeployments[1].Rollout
			rollout.Prompts = emptyPrompts
			deployments[0].Rollout = &rollout
			c, counters := newMeasuredCluster(b, 1, deployments, setDefaultIntervals)
			list := make([]core.VM, engines)
			for i := range list {
				list[i] = backendServers[0]
				list[i].ID = core.ServerID(fmt.Sprint("engine-", i))
			}
			heapBefore := heapBytes()
			c.setVMList(list)
			c.await("reports of all engines", func() bool { return c.enginesAtVersion(1) == engines })
			b.ReportMetric((heapBytes()-heapBefore)/float64(engines), "heap-B/engine")
			before, cpuBefore, start := counters.values(), cpuTime(), time.Now()
			<-time.After(measureTime)
			after, seconds := counters.values(), time.Since(start).Seconds()
			b.ReportMetric((cpuTime()-cpuBefore).Seconds()/seconds*1e6, "cpu-us/s")
			b.ReportMetric((after.statuses-before.statuses)/seconds, "statuses/s")
			start = time.Now()
			if err := c.services[0].PublishWeights(c.ctx, coach, name, 2); err != nil {
				b.Fatal(err)
			}
			c.await("the new weights on all engines", func() bool { return c.enginesAtVersion(2) == engines })
			b.ReportMetric(time.Since(start).Seconds(), "rollout-s")
			b.ReportMetric(float64(c.services[0].Metrics().WeightOrders.Count())/float64(engines), "orders/engine")
		})
	}
}

// enginesAtVersion counts the engines that the first service has seen at a
// version.
func (c *cluster) enginesAtVersion(version core.WeightVersion) (count int) {
	for _, view := range c.services[0].State().(app.State).Servers {
		if view.Status.Version == version {
			count++
		}
	}
	return count
}

// BenchmarkCompletion reports the processor time per complete answer with one
// chunk per token, from the service to the fake engine and back, without HTTP.
func BenchmarkCompletion(b *testing.B) {
	const callers, answers = 16, 20
	for _, tokens := range []int{32, 128, 512} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			c, _ := newMeasuredCluster(b, 1, testDeployments[1:], setLowTrafficIntervals)
			cpuBefore := cpuTime()
			ended := make(chan error)
			for caller := range callers {
				go func() { ended <- c.runCompletions(caller, answers, tokens) }()
			}
			for range callers {
				if err := <-ended; err != nil {
					b.Error(err)
				}
			}
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/(callers*answers), "cpu-us/answer")
		})
	}
}

// runCompletions runs answers one after the other and reads each to its end.
func (c *cluster) runCompletions(caller, answers, tokens int) error {
	for number := range answers {
		request := newCompletion(core.RequestID(fmt.Sprintf("r%d.%d", caller, number)))
		request.MaxTokens, request.Class = tokens, core.ClassInteractive
		if err := c.services[0].Complete(c.ctx, request, nil); err != nil {
			return err
		}
		for offset, complete := 0, false; !complete; {
			part, err := c.services[0].ReadAnswer(c.ctx, donor, request.ID, offset)
			if err != nil {
				return err
			}
			for _, chunk := range part.Chunks {
				offset += len(chunk.Tokens)
			}
			complete = part.Finish != ""
		}
	}
	return nil
}

// BenchmarkStepCost reports the platform calls per sample for several step
// sizes, compared with a baseline of one write per sample.
func BenchmarkStepCost(b *testing.B) {
	const steps = 3
	for _, groups := range []int{8, 64, 512, 4096} {
		b.Run(fmt.Sprintf("samples=%d", 2*groups), func(b *testing.B) {
			deployments := []core.Deployment{testDeployments[1]}
			rollout := *testDeployments[1].Rollout
			rollout.GroupsPerStep = groups
			deployments[0].Rollout = &rollout
			c, counters := newMeasuredCluster(b, 1, deployments, func(options *app.Options) {
				setLowTrafficIntervals(options)
				options.LeaseRenewInterval = 100 * time.Millisecond
				options.Streams = app.LaneOptions{MaxInFlight: 1024, MaxWaiting: 8192}
			})
			tr := newTrainer(c)
			tr.step(1)
			before, start := counters.values(), time.Now()
			for step := range core.Step(steps) {
				tr.publish(core.WeightVersion(step + 2))
				tr.fetch(step+2, core.WeightVersion(step+2))
			}
			after, samples := counters.values(), float64(steps*2*groups)
			leases := after.leaseReads - before.leaseReads
			renewals := after.leaseCommits - before.leaseCommits
			b.ReportMetric(time.Since(start).Seconds()/steps, "s/step")
			b.ReportMetric((after.reads-before.reads-leases)/steps, "reads/step")
			b.ReportMetric((after.commits-before.commits-renewals)/steps, "commits/step")
			b.ReportMetric((after.commits-before.commits-renewals)/samples, "commits/sample")
			b.ReportMetric((after.puts-before.puts+after.gets-before.gets)/steps, "objects/step")
			b.ReportMetric((after.putBytes-before.putBytes)/samples, "object-B/sample")
			b.ReportMetric(commitEachSample(c.ctx, int(samples))/samples, "baseline-commits/sample")
		})
	}
}

// commitEachSample inserts one row per sample and returns the number of
// commits.
func commitEachSample(ctx context.Context, samples int) float64 {
	tables := porttest.NewTables()
	for i := range samples {
		key := core.RowKey{Table: core.TableStep, ID: fmt.Sprint(i)}
		commit := core.Commit{
			Attempt: core.AttemptID(fmt.Sprint(i)), Conditions: []core.Condition{{Key: key}},
			Writes: []core.Write{{Key: key, Record: core.StepRecord{}}},
		}
		if _, err := tables.Commit(ctx, commit); err != nil {
			panic(err)
		}
	}
	return float64(tables.Counters().CommitsApplied)
}

// tableCommitDelay is the duration of a commit in BenchmarkOnceCost.
const tableCommitDelay = 5 * time.Millisecond

// BenchmarkOnceCost reports the table service calls per non-idempotent request
// for several numbers of requests in flight, compared with a baseline of a
// separate read, claim and outcome per request.
func BenchmarkOnceCost(b *testing.B) {
	for _, inFlight := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("in-flight=%d", inFlight), func(b *testing.B) {
			deployments := []core.Deployment{testDeployments[0]}
			deployments[0].Limits.Concurrent, deployments[0].Limits.QueueLength = 1024, 1024
			c, counters := newMeasuredCluster(b, 1, deployments, func(options *app.Options) {
				setLowTrafficIntervals(options)
				options.PlainCalls = app.LaneOptions{MaxInFlight: 1024, MaxWaiting: 8192}
			})
			counters.commitDelay = tableCommitDelay
			requests := 16 * inFlight
			before, start := counters.values(), time.Now()
			c.callEach(b, inFlight, requests)
			c.await("all outcomes recorded", func() bool {
				state := c.services[0].State().(app.State)
				return state.InFlight == 0 && state.CommitsWaiting == 0
			})
			after := counters.values()
			b.ReportMetric((after.commits-before.commits)/float64(requests), "commits/request")
			b.ReportMetric((after.reads-before.reads)/float64(requests), "reads/request")
			b.ReportMetric(float64(requests)/time.Since(start).Seconds(), "requests/s")
			reads, commits := claimEach(c.ctx, requests)
			b.ReportMetric(commits/float64(requests), "baseline-commits/request")
			b.ReportMetric(reads/float64(requests), "baseline-reads/request")
		})
	}
}

// callEach sends requests with distinct keys, with inFlight of them at a time.
func (c *cluster) callEach(b *testing.B, inFlight, requests int) {
	next := make(chan int)
	failed := make(chan error, inFlight)
	for range inFlight {
		go func() {
			var first error
			for i := range next {
				if _, err := c.services[0].Call(c.ctx, sponsorship(fmt.Sprint("k", i))); err != nil && first == nil {
					first = err
				}
			}
			failed <- first
		}()
	}
	for i := range requests {
		next <- i
	}
	close(next)
	for range inFlight {
		if err := <-failed; err != nil {
			b.Error(err)
		}
	}
}

// claimEach reads, claims and records each request separately and returns the
// number of reads and commits.
func claimEach(ctx context.Context, requests int) (reads, commits float64) {
	tables := porttest.NewTables()
	owner := claim.Owner{VM: "vm", Incarnation: 1}
	commit := func(c core.Commit) core.RowVersion {
		result, err := tables.Commit(ctx, c)
		if err != nil || !result.Applied {
			panic(fmt.Sprint(err, result))
		}
		return result.Version
	}
	for i := range requests {
		key := claim.Key(donor, desk, core.IdempotencyKey(fmt.Sprint(i)))
		rows, err := tables.Read(ctx, []core.RowKey{key})
		if err != nil {
			panic(err)
		}
		insert := claim.Plan(rows[0], claim.Request{Key: key, TakenAt: time.Now()}, owner, core.AttemptID(fmt.Sprint("a", i))).Commit
		version := commit(insert)
		rowKey, record := claim.InsertedRecord(insert)
		commit(claim.RecordOutcome(rowKey, version, record, core.PlainResponse{}, core.AttemptID(fmt.Sprint("b", i))))
	}
	counters := tables.Counters()
	return float64(counters.ReadCalls), float64(counters.CommitsApplied)
}

// settleTime is how long a fleet runs before it is measured.
const settleTime = 10 * time.Second

// BenchmarkPolling reports the cost of engine reports for several instances,
// with ten engines per instance and nine services, one of them coordinated.
func BenchmarkPolling(b *testing.B) {
	const services = 9
	for _, size := range largeFleetSizes[:4] {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			deployments := idleRollouts(1)
			c, counters := newMeasuredCluster(b, size, deployments, setDefaultIntervals)
			var list []core.VM
			for i := range 10 * size {
				engine := backendServers[0]
				engine.ID = core.ServerID(fmt.Sprint("engine-", i))
				if service := i % services; service > 0 {
					engine.Service = fmt.Sprint("model-", service)
				}
				list = append(list, engine)
			}
			c.setVMList(list)
			c.coordinator()
			<-time.After(settleTime)
			before, heartbeatsBefore, cpuBefore, start := counters.values(), heartbeatsSent(c), cpuTime(), time.Now()
			<-time.After(measureTime)
			after, seconds := counters.values(), time.Since(start).Seconds()
			statuses := (after.statuses - before.statuses) / seconds
			b.ReportMetric(statuses/float64(size), "statuses/s/instance")
			b.ReportMetric(statuses/float64(len(list)), "statuses/s/engine")
			b.ReportMetric((cpuTime()-cpuBefore).Seconds()/seconds/float64(size)*1e6, "cpu-us/s/instance")
			b.ReportMetric((heartbeatsSent(c)-heartbeatsBefore)/seconds/float64(size), "heartbeats/s/instance")
		})
	}
}

// BenchmarkVMList reports how many processes of one availability zone read the
// platform's VM list, and the time until all know of a change.
func BenchmarkVMList(b *testing.B) {
	const changes = 5
	for _, size := range largeFleetSizes {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			c, counters := newMeasuredCluster(b, size, idleRollouts(1), setDefaultIntervals)
			<-time.After(settleTime)
			before, start := counters.values(), time.Now()
			<-time.After(measureTime)
			after, seconds := counters.values(), time.Since(start).Seconds()
			b.ReportMetric((after.vmLists-before.vmLists)/seconds, "vm-lists/s")
			list, err := c.vms.VMs(c.ctx)
			if err != nil {
				b.Fatal(err)
			}
			var total, longest time.Duration
			for change := range changes {
				list = slices.Clone(list)
				list[change].State = core.VMLeaving
				c.vms.Set(list...)
				start := time.Now()
				for _, s := range c.services {
					c.await("the leaving server is known", func() bool {
						at := slices.IndexFunc(s.State().(app.State).Servers, func(v routing.View) bool { return v.VM.ID == list[change].ID })
						return s.State().(app.State).Servers[at].VM.State == core.VMLeaving
					})
				}
				elapsed := time.Since(start)
				total, longest = total+elapsed, max(longest, elapsed)
			}
			b.ReportMetric(total.Seconds()/changes, "mean-s")
			b.ReportMetric(longest.Seconds(), "longest-s")
		})
	}
}
