package main

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
)

// stepPolicies are the step policies to compare.
var stepPolicies = []struct {
	name string
	book func() stepScheduler
}{
	{"ours", newServiceSteps},
	{"least loaded, first come first served, no resume", newFIFOSteps},
}

// serviceSteps adapts the service's own decisions of package job.
type serviceSteps struct {
	book  *job.Book
	paces *job.Paces
}

func newServiceSteps() stepScheduler { return serviceSteps{job.NewBook(), job.NewPaces()} }

func (o serviceSteps) openStep(step *trainerStep, now time.Time) {
	o.book.Open(step.job, nil, job.Policy{Attempts: 1}, now)
}

func (o serviceSteps) nextStarts(limit int, now time.Time) []job.Start {
	return o.book.Next(limit, now)
}
func (o serviceSteps) recordUnplaced(start job.Start, now time.Time) {
	o.book.Unplaced(start.Work, now)
}
func (o serviceSteps) recordPlaced(start job.Start, engine core.ServerID) {
	o.book.Placed(start.Work, engine)
}

func (o serviceSteps) recordEvent(run job.Work, id int, engine core.ServerID, interval time.Duration, now time.Time) bool {
	o.paces.Observe(engine, interval, now)
	return o.book.Add(run, core.Event{ID: id, Data: "x", Version: 1})
}

func (o serviceSteps) recordEnd(run job.Work, engine core.ServerID, ending job.Ending, now time.Time) {
	o.book.Ended(run, engine, ending, now)
}

func (o serviceSteps) takeResults() []job.Listing {
	listings := o.book.Results(maxOpenSteps * stepGroups * itemsPerGroup)
	o.book.Stored(listings)
	return listings
}

func (o serviceSteps) enginesToAvoid(start *job.Start, now time.Time) []core.ServerID {
	return job.Avoided{Slow: o.paces.Slow(now)}.For(start)
}

func (o serviceSteps) runsToMove(free int, now time.Time) []job.Work {
	return o.book.Moves(o.paces.Slow(now), func(core.ModelName, core.WeightVersion) bool {
		free--
		return free >= 0
	})
}

func (o serviceSteps) closeStep(id core.JobID) { o.book.Close(id) }

// fifoSteps is a baseline that runs items in order of arrival on any engine and
// restarts an interrupted text from its beginning.
type fifoSteps struct {
	waiting  []job.Start
	runs     map[job.Work]job.Start
	runCount uint64
	results  []job.Listing
}

func newFIFOSteps() stepScheduler { return &fifoSteps{runs: make(map[job.Work]job.Start)} }

func (p *fifoSteps) openStep(step *trainerStep, _ time.Time) {
	for i := range step.job.Items {
		p.runCount++
		p.waiting = append(p.waiting, job.Start{Work: job.Work{Job: step.job.ID, Index: i, Run: p.runCount}, Item: &step.job.Items[i]})
	}
}

func (p *fifoSteps) nextStarts(limit int, _ time.Time) []job.Start {
	starts := slices.Clone(p.waiting[:min(limit, len(p.waiting))])
	p.waiting = nil
	return starts
}

func (p *fifoSteps) recordUnplaced(start job.Start, _ time.Time) {
	p.waiting = append(p.waiting, start)
}

func (p *fifoSteps) recordPlaced(start job.Start, _ core.ServerID) { p.runs[start.Work] = start }

func (*fifoSteps) recordEvent(job.Work, int, core.ServerID, time.Duration, time.Time) bool {
	return true
}

func (p *fifoSteps) recordEnd(run job.Work, _ core.ServerID, ending job.Ending, _ time.Time) {
	start, found := p.runs[run]
	delete(p.runs, run)
	switch {
	case !found:
	case ending == job.Whole:
		p.results = append(p.results, job.Listing{Job: run.Job, Index: run.Index})
	default:
		p.runCount++
		start.Work.Run = p.runCount
		p.waiting = append(p.waiting, start)
	}
}

func (p *fifoSteps) takeResults() []job.Listing {
	listed := p.results
	p.results = nil
	return listed
}

func (*fifoSteps) enginesToAvoid(*job.Start, time.Time) []core.ServerID { return nil }
func (*fifoSteps) runsToMove(int, time.Time) []job.Work                 { return nil }

func (p *fifoSteps) closeStep(id core.JobID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(start job.Start) bool { return start.Work.Job == id })
}
