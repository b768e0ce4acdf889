package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
	"fescuespar/internal/virtualtime"
)

// Parameters of the simulated trainer and engines. They model the site abi-adopt
// on the users' platform: a step every 4 s with 49 groups of 4 items, of which
// the trainer waits for 44, due within 7.5 s; at most two steps are open.
const (
	stepInterval      = 4 * time.Second
	stepDeadline      = 7500 * time.Millisecond
	stepGroups        = 49
	stepWantedGroups  = 44
	itemsPerGroup     = 4
	maxOpenSteps      = 2
	stepEngines       = 8
	engineSlots       = 7
	eventInterval     = 36 * time.Millisecond
	promptReadTime    = 50 * time.Millisecond // for the prompt and for text kept from earlier runs
	medianTextEvents  = 16                    // events per text, log-normally distributed
	textLengthSigma   = 0.95
	maxTextEvents     = 146
	hintSigma         = 0.45 // of the log-normal ratio of length hint to length
	resubmitShare     = 0.4  // share of incomplete groups that are resubmitted
	placementInterval = 20 * time.Millisecond
	stepsRunTime      = 10 * time.Minute
	faultInterval     = time.Minute
	faultTime         = 20 * time.Second
)

// stepPattern is a load pattern whose faults recur every faultInterval.
type stepPattern struct {
	name        string
	slowEngines int // engines that slow down by slowFactor during the faults
	lostEngines int // engines that lose their runs and accept none during the faults
}

var stepPatterns = []stepPattern{
	{"calm", 0, 0},
	{"a quarter of the engines slow", stepEngines / 4, 0},
	{"all engines slow", stepEngines, 0},
	{"a quarter of the engines lost", 0, stepEngines / 4},
	{"half of the engines lost", 0, stepEngines / 2},
}

// slowFactor is how many times slower a slow engine runs.
const slowFactor = 2.5

// stepScheduler is a policy that schedules the items of submitted steps.
type stepScheduler interface {
	openStep(step *trainerStep, now time.Time)
	nextStarts(limit int, now time.Time) []job.RunStart
	recordUnplaced(start job.RunStart, now time.Time)
	recordPlaced(start job.RunStart, engine core.ServerID)
	recordEvent(run job.RunID, id int, engine core.ServerID, interval time.Duration, now time.Time) bool
	recordEnd(run job.RunID, engine core.ServerID, outcome job.RunOutcome, now time.Time)
	takeResults() []job.PositionedResult // new ones since the last call
	enginesToAvoid(start *job.RunStart, now time.Time) []core.ServerID
	runsToMove(free int, now time.Time) []job.RunID
	closeStep(id core.JobID)
}

// trainerStep is an open step whose results the trainer waits for.
type trainerStep struct {
	job               core.Job
	requestedAt       time.Duration
	missingItems      map[string]int // items without a result, by group
	resubmittedGroups int            // resubmitted groups that are not complete
	completeGroups    int
	isClosed          bool
}

// stepEngine is a simulated engine with one slot per run.
type stepEngine struct {
	id     core.ServerID
	isUp   bool
	factor float64
	runs   map[job.RunID]*stepRun
}

type stepRun struct {
	step        *trainerStep
	item        *core.JobItem
	engine      *stepEngine
	work        job.RunID
	events      int
	lastEventAt time.Duration
}

// stepSimulation is one run of a policy under a load pattern.
type stepSimulation struct {
	clock           virtualtime.Clock
	random          *rand.Rand // for the texts; the same under every policy
	scheduler       stepScheduler
	engines         []*stepEngine
	steps           map[core.JobID]*trainerStep
	textEvents      map[core.ItemID]int
	resubmitted     [][]core.JobItem // groups for later steps
	stepCount       int
	nextStepAt      time.Duration
	stepSeconds     []float64 // duration of each finished step
	lateSteps       int
	generatedEvents int
	listedEvents    int // events of the listed texts
}

func newStepSimulation(scheduler stepScheduler, pattern stepPattern, seed uint64) *stepSimulation {
	sim := &stepSimulation{
		random: rand.New(rand.NewPCG(seed, 3)), scheduler: scheduler,
		steps: make(map[core.JobID]*trainerStep), textEvents: make(map[core.ItemID]int),
	}
	for i := range stepEngines {
		sim.engines = append(sim.engines, &stepEngine{
			id: core.ServerID(fmt.Sprint("engine-", i)), isUp: true, factor: 1, runs: make(map[job.RunID]*stepRun),
		})
	}
	sim.openSteps()
	sim.placeRuns()
	sim.scheduleFaults(pattern)
	return sim
}

// scheduleFaults starts the pattern's faults in every minute after a fault-free
// part.
func (sim *stepSimulation) scheduleFaults(pattern stepPattern) {
	const calm = faultInterval - faultTime
	sim.clock.After(calm, func() {
		for i, engine := range sim.engines {
			if i < pattern.slowEngines {
				engine.factor = slowFactor
			}
			if i < pattern.lostEngines {
				sim.loseEngine(engine)
			}
		}
		sim.clock.After(faultTime, func() {
			for _, engine := range sim.engines {
				engine.isUp, engine.factor = true, 1
			}
			sim.scheduleFaults(pattern)
		})
	})
}

func (sim *stepSimulation) loseEngine(engine *stepEngine) {
	engine.isUp = false
	for _, run := range sim.runsInOrder(engine) {
		sim.endRun(run, job.Interrupted)
	}
}

// runsInOrder returns an engine's runs in the order of their run numbers.
func (sim *stepSimulation) runsInOrder(engine *stepEngine) []*stepRun {
	var runs []*stepRun
	for _, run := range engine.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *stepRun) int { return int(a.work.Run) - int(b.work.Run) })
	return runs
}

// openSteps opens the trainer's next step when it is due and fewer than
// maxOpenSteps are open.
func (sim *stepSimulation) openSteps() {
	if len(sim.steps) < maxOpenSteps && sim.clock.Now() >= sim.nextStepAt {
		step := sim.newStep()
		sim.steps[step.job.ID] = step
		sim.nextStepAt = max(sim.nextStepAt+stepInterval, sim.clock.Now())
		sim.scheduler.openStep(step, sim.clock.Time())
	}
	sim.clock.After(placementInterval, sim.openSteps)
}

func (sim *stepSimulation) newStep() *trainerStep {
	sim.stepCount++
	id := core.JobID(fmt.Sprint("step-", sim.stepCount))
	step := &trainerStep{
		job: core.Job{ID: id, Wanted: stepWantedGroups}, requestedAt: sim.clock.Now(), missingItems: make(map[string]int),
	}
	resubmitted := sim.resubmitted[:min(len(sim.resubmitted), stepWantedGroups/2)]
	sim.resubmitted = sim.resubmitted[len(resubmitted):]
	step.resubmittedGroups = len(resubmitted)
	for i := range stepGroups {
		items := sim.newGroup(fmt.Sprint(id, "-", i))
		if i < len(resubmitted) {
			items = resubmitted[i]
		}
		step.job.Items = append(step.job.Items, items...)
		step.missingItems[items[0].Group] = len(items)
	}
	return step
}

// newGroup draws a group's items. It is also called for groups that are not used,
// so that the steps are the same under every policy.
func (sim *stepSimulation) newGroup(name string) (items []core.JobItem) {
	for i := range itemsPerGroup {
		length := min(maxTextEvents, max(2, medianTextEvents*math.Exp(textLengthSigma*sim.random.NormFloat64())))
		item := core.JobItem{
			ID: core.ItemID(fmt.Sprint(name, "-", i)), Group: name,
			Length: int(40 * length * math.Exp(hintSigma*sim.random.NormFloat64())), // in tokens; only the relative order matters
		}
		sim.textEvents[item.ID] = int(length)
		items = append(items, item)
	}
	return items
}

// placeRuns starts and moves the runs that the policy selects.
func (sim *stepSimulation) placeRuns() {
	now := sim.clock.Time()
	sim.collectResults()
	for _, start := range sim.scheduler.nextStarts(math.MaxInt, now) {
		engine := sim.pickEngine(sim.scheduler.enginesToAvoid(&start, now))
		if engine == nil {
			sim.scheduler.recordUnplaced(start, now)
			continue
		}
		sim.scheduler.recordPlaced(start, engine.id)
		run := &stepRun{sim.steps[start.Work.Job], start.Item, engine, start.Work, start.EventsReceived, sim.clock.Now()}
		engine.runs[start.Work] = run
		sim.scheduleEvent(run, promptReadTime)
	}
	free := 0
	for _, engine := range sim.engines {
		if engine.isUp && engine.factor == 1 {
			free += engineSlots - len(engine.runs)
		}
	}
	for _, work := range sim.scheduler.runsToMove(free, now) {
		for _, engine := range sim.engines {
			if run := engine.runs[work]; run != nil {
				sim.endRun(run, job.Interrupted)
			}
		}
	}
	sim.clock.After(placementInterval, sim.placeRuns)
}

// pickEngine returns the allowed engine with the most free slots, or nil.
func (sim *stepSimulation) pickEngine(avoided []core.ServerID) (best *stepEngine) {
	for _, engine := range sim.engines {
		if !engine.isUp || len(engine.runs) >= engineSlots || slices.Contains(avoided, engine.id) {
			continue
		}
		if best == nil || len(engine.runs) < len(best.runs) {
			best = engine
		}
	}
	return best
}

// scheduleEvent lets a run generate its next event after a delay and the
// engine's event interval.
func (sim *stepSimulation) scheduleEvent(run *stepRun, delay time.Duration) {
	interval := time.Duration(float64(eventInterval) * run.engine.factor)
	sim.clock.After(delay+interval, func() {
		if run.engine.runs[run.work] != run || run.step.isClosed {
			return
		}
		run.events++
		sim.generatedEvents++
		wanted := sim.scheduler.recordEvent(run.work, run.events, run.engine.id, sim.clock.Now()-run.lastEventAt, sim.clock.Time())
		run.lastEventAt = sim.clock.Now()
		switch {
		case !wanted:
			sim.endRun(run, job.Interrupted)
		case run.events >= sim.textEvents[run.item.ID]:
			sim.endRun(run, job.Completed)
		default:
			sim.scheduleEvent(run, 0)
		}
	})
}

func (sim *stepSimulation) endRun(run *stepRun, outcome job.RunOutcome) {
	delete(run.engine.runs, run.work)
	sim.scheduler.recordEnd(run.work, run.engine.id, outcome, sim.clock.Time())
}

// collectResults passes the available results to the trainer.
func (sim *stepSimulation) collectResults() {
	for _, listing := range sim.scheduler.takeResults() {
		if step := sim.steps[listing.Job]; step != nil {
			item := &step.job.Items[listing.Index]
			sim.listedEvents += sim.textEvents[item.ID]
			sim.countResult(step, item.Group)
		}
	}
}

// countResult counts a result. The step ends with its last required group.
func (sim *stepSimulation) countResult(step *trainerStep, group string) {
	step.missingItems[group]--
	if step.missingItems[group] > 0 {
		return
	}
	step.completeGroups++
	if step.resubmittedGroups > 0 && !sim.isOwnGroup(step, group) {
		step.resubmittedGroups--
	}
	if step.completeGroups >= stepWantedGroups && step.resubmittedGroups == 0 {
		sim.closeStep(step)
	}
}

// isOwnGroup reports whether a group was drawn for this step, not resubmitted.
func (sim *stepSimulation) isOwnGroup(step *trainerStep, group string) bool {
	prefix := string(step.job.ID) + "-"
	return len(group) > len(prefix) && group[:len(prefix)] == prefix
}

func (sim *stepSimulation) closeStep(step *trainerStep) {
	step.isClosed = true
	delete(sim.steps, step.job.ID)
	took := sim.clock.Now() - step.requestedAt
	sim.stepSeconds = append(sim.stepSeconds, took.Seconds())
	if took > stepDeadline {
		sim.lateSteps++
	}
	for _, engine := range sim.engines {
		for work, run := range engine.runs {
			if run.step == step {
				delete(engine.runs, work)
			}
		}
	}
	sim.scheduler.closeStep(step.job.ID)
	for items := range slices.Chunk(step.job.Items, itemsPerGroup) {
		if step.missingItems[items[0].Group] > 0 && sim.random.Float64() < resubmitShare {
			sim.resubmitted = append(sim.resubmitted, items)
		}
	}
}

// printSteps prints the step durations under each policy and load pattern, for
// the seeds from 1 to the given number.
func printSteps(out io.Writer, seeds uint64) {
	fmt.Fprintln(out, "| load | policy | steps | mean, p50, p90, s | later than 7.5 s | events generated for each listed |\n|---|---|---|---|---|---|")
	for _, pattern := range stepPatterns {
		for _, policy := range stepPolicies {
			var all stepSimulation
			for seed := range seeds {
				sim := newStepSimulation(policy.newScheduler(), pattern, seed+1)
				sim.clock.RunUntil(stepsRunTime)
				all.stepSeconds = append(all.stepSeconds, sim.stepSeconds...)
				all.lateSteps, all.generatedEvents, all.listedEvents = all.lateSteps+sim.lateSteps, all.generatedEvents+sim.generatedEvents, all.listedEvents+sim.listedEvents
			}
			fmt.Fprintf(out, "| %s | %s | %d | %.2f, %.2f, %.2f | %.3f | %.3f |\n", pattern.name, policy.name, len(all.stepSeconds),
				mean(all.stepSeconds), quantile(all.stepSeconds, 0.5), quantile(all.stepSeconds, 0.9),
				float64(all.lateSteps)/float64(max(1, len(all.stepSeconds))), float64(all.generatedEvents)/float64(max(1, all.listedEvents)))
		}
	}
}
