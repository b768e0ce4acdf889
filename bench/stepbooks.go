package main

import (
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/job"
)

// stepPolicies are the policies of steps that are compared.
var stepPolicies = []struct {
	name string
	book func() stepBook
}{
	{"ours", newOwnSteps},
	{"least loaded, first come first served, no resume", newPlainSteps},
}

// ownSteps is the service's own decisions.
type ownSteps struct {
	book  *job.Book
	paces *job.Paces
}

func newOwnSteps() stepBook { return ownSteps{job.NewBook(), job.NewPaces()} }

func (o ownSteps) open(step *trainerStep, now time.Time) {
	o.book.Open(step.job, nil, job.Policy{Attempts: 1}, now)
}

func (o ownSteps) next(limit int, now time.Time) []job.Start { return o.book.Next(limit, now) }
func (o ownSteps) unplaced(start job.Start, now time.Time)   { o.book.Unplaced(start.Work, now) }
func (o ownSteps) placed(start job.Start, engine core.ServerID) {
	o.book.Placed(start.Work, engine)
}

func (o ownSteps) event(run job.Work, id int, engine core.ServerID, interval time.Duration, now time.Time) bool {
	o.paces.Observe(engine, interval, now)
	return o.book.Add(run, core.Event{ID: id, Data: "x", Version: 1})
}

func (o ownSteps) ended(run job.Work, engine core.ServerID, ending job.Ending, now time.Time) {
	o.book.Ended(run, engine, ending, now)
}

func (o ownSteps) results() []job.Listing {
	listings := o.book.Results(stepsOpen * stepGroups * groupItems)
	o.book.Stored(listings)
	return listings
}

func (o ownSteps) avoid(start *job.Start, now time.Time) []core.ServerID {
	return job.Avoided{Slow: o.paces.Slow(now)}.For(start)
}

func (o ownSteps) moves(free int, now time.Time) []job.Work {
	return o.book.Moves(o.paces.Slow(now), func(core.ModelName, core.WeightVersion) bool {
		free--
		return free >= 0
	})
}

func (o ownSteps) close(id core.JobID) { o.book.Close(id) }

// plainSteps runs items in the order in which they came, anywhere, and starts a
// cut text again.
type plainSteps struct {
	waiting []job.Start
	runs    map[job.Work]job.Start
	number  uint64
	listed  []job.Listing
}

func newPlainSteps() stepBook { return &plainSteps{runs: make(map[job.Work]job.Start)} }

func (p *plainSteps) open(step *trainerStep, _ time.Time) {
	for i := range step.job.Items {
		p.number++
		p.waiting = append(p.waiting, job.Start{Work: job.Work{Job: step.job.ID, Index: i, Run: p.number}, Item: &step.job.Items[i]})
	}
}

func (p *plainSteps) next(limit int, _ time.Time) []job.Start {
	starts := slices.Clone(p.waiting[:min(limit, len(p.waiting))])
	p.waiting = nil
	return starts
}

func (p *plainSteps) unplaced(start job.Start, _ time.Time) { p.waiting = append(p.waiting, start) }

func (p *plainSteps) placed(start job.Start, _ core.ServerID) { p.runs[start.Work] = start }

func (*plainSteps) event(job.Work, int, core.ServerID, time.Duration, time.Time) bool { return true }

func (p *plainSteps) ended(run job.Work, _ core.ServerID, ending job.Ending, _ time.Time) {
	start, found := p.runs[run]
	delete(p.runs, run)
	switch {
	case !found:
	case ending == job.Whole:
		p.listed = append(p.listed, job.Listing{Job: run.Job, Index: run.Index})
	default:
		p.number++
		start.Work.Run = p.number
		p.waiting = append(p.waiting, start)
	}
}

func (p *plainSteps) results() []job.Listing {
	listed := p.listed
	p.listed = nil
	return listed
}

func (*plainSteps) avoid(*job.Start, time.Time) []core.ServerID { return nil }
func (*plainSteps) moves(int, time.Time) []job.Work             { return nil }

func (p *plainSteps) close(id core.JobID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(start job.Start) bool { return start.Work.Job == id })
}
