package main

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
)

// stepPolicies are the step policies to compare.
var stepPolicies = []struct {
	name         string
	newScheduler func() stepScheduler
}{
	{"ours", newServiceSteps},
	{"least loaded, first come first served, no resume", newFIFOSteps},
}

// serviceSteps adapts the service's own decisions of package job.
type serviceSteps struct {
	scheduler *job.Scheduler
	intervals *job.IntervalTracker
}

func newServiceSteps() stepScheduler {
	return serviceSteps{job.NewScheduler(), job.NewIntervalTracker()}
}

func (o serviceSteps) openStep(step *trainerStep, now time.Time) {
	o.scheduler.Open(step.job, nil, job.Policy{Attempts: 1}, now)
}

func (o serviceSteps) nextStarts(limit int, now time.Time) []job.RunStart {
	return o.scheduler.NextRuns(limit, now)
}
func (o serviceSteps) recordUnplaced(start job.RunStart, now time.Time) {
	o.scheduler.RunNotPlaced(start.Work, now)
}
func (o serviceSteps) recordPlaced(start job.RunStart, engine core.ServerID) {
	o.scheduler.RunPlaced(start.Work, engine, "")
}

func (o serviceSteps) recordEvent(run job.RunID, id int, engine core.ServerID, interval time.Duration, now time.Time) bool {
	o.intervals.Observe(engine, interval, now)
	return o.scheduler.AddEvent(run, core.Event{ID: id, Data: "x", Version: 1})
}

func (o serviceSteps) recordEnd(run job.RunID, engine core.ServerID, outcome job.RunOutcome, now time.Time) {
	o.scheduler.RunEnded(run, engine, outcome, now)
}

func (o serviceSteps) takeResults() []job.PositionedResult {
	listings := o.scheduler.UnstoredResults(maxOpenSteps * stepGroups * itemsPerGroup)
	o.scheduler.MarkStored(listings)
	return listings
}

func (o serviceSteps) enginesToAvoid(start *job.RunStart, now time.Time) []core.ServerID {
	return job.AvoidedEngines{Slow: o.intervals.Slow(now), Weak: o.intervals.Weak(now)}.EnginesFor(start)
}

func (o serviceSteps) runsToMove(free int, now time.Time) []job.RunID {
	reserve := func(job.Move) bool {
		free--
		return free >= 0
	}
	moves := o.scheduler.SelectMoves(job.SlowEngineMoves(o.intervals.Slow(now)), reserve)
	return append(moves, o.scheduler.SelectMoves(job.WeakEngineMoves(o.intervals.Weak(now)), reserve)...)
}

func (o serviceSteps) closeStep(id core.JobID) { o.scheduler.Close(id) }

// fifoSteps is a baseline that runs items in order of arrival on any engine and
// restarts an interrupted text from its beginning.
type fifoSteps struct {
	waiting  []job.RunStart
	runs     map[job.RunID]job.RunStart
	runCount uint64
	results  []job.PositionedResult
}

func newFIFOSteps() stepScheduler { return &fifoSteps{runs: make(map[job.RunID]job.RunStart)} }

func (p *fifoSteps) openStep(step *trainerStep, _ time.Time) {
	for i := range step.job.Items {
		p.runCount++
		p.waiting = append(p.waiting, job.RunStart{Work: job.RunID{Job: step.job.ID, Index: i, Run: p.runCount}, Item: &step.job.Items[i]})
	}
}

func (p *fifoSteps) nextStarts(limit int, _ time.Time) []job.RunStart {
	starts := slices.Clone(p.waiting[:min(limit, len(p.waiting))])
	p.waiting = nil
	return starts
}

func (p *fifoSteps) recordUnplaced(start job.RunStart, _ time.Time) {
	p.waiting = append(p.waiting, start)
}

func (p *fifoSteps) recordPlaced(start job.RunStart, _ core.ServerID) { p.runs[start.Work] = start }

func (*fifoSteps) recordEvent(job.RunID, int, core.ServerID, time.Duration, time.Time) bool {
	return true
}

func (p *fifoSteps) recordEnd(run job.RunID, _ core.ServerID, outcome job.RunOutcome, _ time.Time) {
	start, found := p.runs[run]
	delete(p.runs, run)
	switch {
	case !found:
	case outcome == job.Completed:
		p.results = append(p.results, job.PositionedResult{Job: run.Job, Index: run.Index})
	default:
		p.runCount++
		start.Work.Run = p.runCount
		p.waiting = append(p.waiting, start)
	}
}

func (p *fifoSteps) takeResults() []job.PositionedResult {
	listed := p.results
	p.results = nil
	return listed
}

func (*fifoSteps) enginesToAvoid(*job.RunStart, time.Time) []core.ServerID { return nil }
func (*fifoSteps) runsToMove(int, time.Time) []job.RunID                   { return nil }

func (p *fifoSteps) closeStep(id core.JobID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(start job.RunStart) bool { return start.Work.Job == id })
}
