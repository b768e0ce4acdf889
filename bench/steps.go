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

// The trainer and engines of the steps, as measured on the users' platform with
// the site abi-adopt: a step each 4 s with 49 groups of 4 items, of which the
// trainer waits for 44, due in 7.5 s; two steps are open at most.
const (
	stepEvery    = 4 * time.Second
	stepDue      = 7500 * time.Millisecond
	stepGroups   = 49
	stepWanted   = 44
	groupItems   = 4
	stepsOpen    = 2
	stepEngines  = 8
	engineSlots  = 7
	eventTime    = 36 * time.Millisecond
	readTime     = 50 * time.Millisecond // of the prompt, and of what a run goes on from
	lengthMedian = 16                    // events of a text; log-normal
	lengthSpread = 0.95
	longestText  = 146
	hintSpread   = 0.45 // of a hint's ratio to the length, log-normal
	comeBack     = 0.4  // of the groups that were not complete
	placeEvery   = 20 * time.Millisecond
	stepsTime    = 10 * time.Minute
	troubleEvery = time.Minute
	troubleTime  = 20 * time.Second
)

// stepPattern is a load pattern; trouble comes back each minute.
type stepPattern struct {
	name   string
	slower int // engines that run 2.5 times slower in the trouble
	lost   int // engines that lose their runs and take none in the trouble
}

var stepPatterns = []stepPattern{
	{"calm", 0, 0},
	{"a quarter of the engines slow", stepEngines / 4, 0},
	{"all engines slow", stepEngines, 0},
	{"a quarter of the engines lost", 0, stepEngines / 4},
	{"half of the engines lost", 0, stepEngines / 2},
}

// slowTimes is how many times slower a slow engine runs.
const slowTimes = 2.5

// stepBook is what a policy of steps decides.
type stepBook interface {
	open(step *trainerStep, now time.Time)
	next(limit int, now time.Time) []job.Start
	unplaced(start job.Start, now time.Time)
	placed(start job.Start, engine core.ServerID)
	event(run job.Work, id int, engine core.ServerID, interval time.Duration, now time.Time) bool
	ended(run job.Work, engine core.ServerID, ending job.Ending, now time.Time)
	results() []job.Listing // since the last call
	avoid(start *job.Start, now time.Time) []core.ServerID
	moves(free int, now time.Time) []job.Work
	close(id core.JobID)
}

// trainerStep is a step that the trainer waits for.
type trainerStep struct {
	job    core.Job
	asked  time.Duration
	left   map[string]int // items of each group without a result
	back   int            // groups that came back and are not complete
	whole  int
	closed bool
}

// stepEngine is an engine with a slot for each run.
type stepEngine struct {
	id     core.ServerID
	up     bool
	factor float64
	runs   map[job.Work]*stepRun
}

type stepRun struct {
	step   *trainerStep
	item   *core.JobItem
	engine *stepEngine
	work   job.Work
	after  int
	last   time.Duration
}

// stepWorld is one run of a policy under a pattern.
type stepWorld struct {
	clock   virtualtime.Clock
	random  *rand.Rand // of the texts, the same under every policy
	book    stepBook
	engines []*stepEngine
	steps   map[core.JobID]*trainerStep
	lengths map[core.ItemID]int
	back    [][]core.JobItem // groups that come back
	number  int
	nextAt  time.Duration
	took    []float64 // seconds of each ended step
	late    int
	events  int // generated
	texts   int // events of texts that were listed
}

func newStepWorld(book stepBook, pattern stepPattern, seed uint64) *stepWorld {
	w := &stepWorld{
		random: rand.New(rand.NewPCG(seed, 3)), book: book,
		steps: make(map[core.JobID]*trainerStep), lengths: make(map[core.ItemID]int),
	}
	for i := range stepEngines {
		w.engines = append(w.engines, &stepEngine{
			id: core.ServerID(fmt.Sprint("engine-", i)), up: true, factor: 1, runs: make(map[job.Work]*stepRun),
		})
	}
	w.ask()
	w.place()
	w.trouble(pattern)
	return w
}

// trouble begins the pattern's trouble in each minute, after a calm part.
func (w *stepWorld) trouble(pattern stepPattern) {
	const calm = troubleEvery - troubleTime
	w.clock.After(calm, func() {
		for i, engine := range w.engines {
			if i < pattern.slower {
				engine.factor = slowTimes
			}
			if i < pattern.lost {
				w.lose(engine)
			}
		}
		w.clock.After(troubleTime, func() {
			for _, engine := range w.engines {
				engine.up, engine.factor = true, 1
			}
			w.trouble(pattern)
		})
	})
}

func (w *stepWorld) lose(engine *stepEngine) {
	engine.up = false
	for _, run := range w.inOrder(engine) {
		w.end(run, job.Cut)
	}
}

// inOrder returns an engine's runs in the order of their numbers.
func (w *stepWorld) inOrder(engine *stepEngine) []*stepRun {
	var runs []*stepRun
	for _, run := range engine.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *stepRun) int { return int(a.work.Run) - int(b.work.Run) })
	return runs
}

// ask opens the trainer's next step when it is time and not too many are open.
func (w *stepWorld) ask() {
	if len(w.steps) < stepsOpen && w.clock.Now() >= w.nextAt {
		step := w.newStep()
		w.steps[step.job.ID] = step
		w.nextAt = max(w.nextAt+stepEvery, w.clock.Now())
		w.book.open(step, w.clock.Time())
	}
	w.clock.After(placeEvery, w.ask)
}

func (w *stepWorld) newStep() *trainerStep {
	w.number++
	id := core.JobID(fmt.Sprint("step-", w.number))
	step := &trainerStep{
		job: core.Job{ID: id, Wanted: stepWanted}, asked: w.clock.Now(), left: make(map[string]int),
	}
	back := w.back[:min(len(w.back), stepWanted/2)]
	w.back = w.back[len(back):]
	step.back = len(back)
	for i := range stepGroups {
		items := w.group(fmt.Sprint(id, "-", i))
		if i < len(back) {
			items = back[i]
		}
		step.job.Items = append(step.job.Items, items...)
		step.left[items[0].Group] = len(items)
	}
	return step
}

// group draws a group's items, whether they are used or not, so that steps are
// the same under every policy.
func (w *stepWorld) group(name string) (items []core.JobItem) {
	for i := range groupItems {
		length := min(longestText, max(2, lengthMedian*math.Exp(lengthSpread*w.random.NormFloat64())))
		item := core.JobItem{
			ID: core.ItemID(fmt.Sprint(name, "-", i)), Group: name,
			Length: int(40 * length * math.Exp(hintSpread*w.random.NormFloat64())), // in tokens; only the order tells
		}
		w.lengths[item.ID] = int(length)
		items = append(items, item)
	}
	return items
}

// place starts what the policy wants to start, and moves what it wants to move.
func (w *stepWorld) place() {
	now := w.clock.Time()
	w.list()
	for _, start := range w.book.next(math.MaxInt, now) {
		engine := w.pick(w.book.avoid(&start, now))
		if engine == nil {
			w.book.unplaced(start, now)
			continue
		}
		w.book.placed(start, engine.id)
		run := &stepRun{w.steps[start.Work.Job], start.Item, engine, start.Work, start.After, w.clock.Now()}
		engine.runs[start.Work] = run
		w.after(run, readTime)
	}
	free := 0
	for _, engine := range w.engines {
		if engine.up && engine.factor == 1 {
			free += engineSlots - len(engine.runs)
		}
	}
	for _, work := range w.book.moves(free, now) {
		for _, engine := range w.engines {
			if run := engine.runs[work]; run != nil {
				w.end(run, job.Cut)
			}
		}
	}
	w.clock.After(placeEvery, w.place)
}

// pick returns the engine with the most free slots.
func (w *stepWorld) pick(avoided []core.ServerID) (best *stepEngine) {
	for _, engine := range w.engines {
		if !engine.up || len(engine.runs) >= engineSlots || slices.Contains(avoided, engine.id) {
			continue
		}
		if best == nil || len(engine.runs) < len(best.runs) {
			best = engine
		}
	}
	return best
}

// after lets a run make its next event after a delay and the time of an event.
func (w *stepWorld) after(run *stepRun, delay time.Duration) {
	interval := time.Duration(float64(eventTime) * run.engine.factor)
	w.clock.After(delay+interval, func() {
		if run.engine.runs[run.work] != run || run.step.closed {
			return
		}
		run.after++
		w.events++
		wanted := w.book.event(run.work, run.after, run.engine.id, w.clock.Now()-run.last, w.clock.Time())
		run.last = w.clock.Now()
		switch {
		case !wanted:
			w.end(run, job.Cut)
		case run.after >= w.lengths[run.item.ID]:
			w.end(run, job.Whole)
		default:
			w.after(run, 0)
		}
	})
}

func (w *stepWorld) end(run *stepRun, ending job.Ending) {
	delete(run.engine.runs, run.work)
	w.book.ended(run.work, run.engine.id, ending, w.clock.Time())
}

// list gives the trainer the results that are there.
func (w *stepWorld) list() {
	for _, listing := range w.book.results() {
		if step := w.steps[listing.Job]; step != nil {
			item := &step.job.Items[listing.Index]
			w.texts += w.lengths[item.ID]
			w.result(step, item.Group)
		}
	}
}

// result counts a result. The step ends with its last wanted group.
func (w *stepWorld) result(step *trainerStep, group string) {
	step.left[group]--
	if step.left[group] > 0 {
		return
	}
	step.whole++
	if step.back > 0 && !w.own(step, group) {
		step.back--
	}
	if step.whole >= stepWanted && step.back == 0 {
		w.closeStep(step)
	}
}

// own reports whether a group was drawn for a step.
func (w *stepWorld) own(step *trainerStep, group string) bool {
	prefix := string(step.job.ID) + "-"
	return len(group) > len(prefix) && group[:len(prefix)] == prefix
}

func (w *stepWorld) closeStep(step *trainerStep) {
	step.closed = true
	delete(w.steps, step.job.ID)
	took := w.clock.Now() - step.asked
	w.took = append(w.took, took.Seconds())
	if took > stepDue {
		w.late++
	}
	for _, engine := range w.engines {
		for work, run := range engine.runs {
			if run.step == step {
				delete(engine.runs, work)
			}
		}
	}
	w.book.close(step.job.ID)
	for items := range slices.Chunk(step.job.Items, groupItems) {
		if step.left[items[0].Group] > 0 && w.random.Float64() < comeBack {
			w.back = append(w.back, items)
		}
	}
}

// printSteps prints how long steps take under each policy and load pattern.
func printSteps(out io.Writer, seeds uint64) {
	fmt.Fprintln(out, "| load | policy | steps | mean, p50, p90, s | later than 7.5 s | events generated for each listed |\n|---|---|---|---|---|---|")
	for _, pattern := range stepPatterns {
		for _, policy := range stepPolicies {
			var all stepWorld
			for seed := range seeds {
				w := newStepWorld(policy.book(), pattern, seed+1)
				w.clock.RunUntil(stepsTime)
				all.took = append(all.took, w.took...)
				all.late, all.events, all.texts = all.late+w.late, all.events+w.events, all.texts+w.texts
			}
			fmt.Fprintf(out, "| %s | %s | %d | %.2f, %.2f, %.2f | %.3f | %.3f |\n", pattern.name, policy.name, len(all.took),
				mean(all.took), quantile(all.took, 0.5), quantile(all.took, 0.9),
				float64(all.late)/float64(max(1, len(all.took))), float64(all.events)/float64(max(1, all.texts)))
		}
	}
}
