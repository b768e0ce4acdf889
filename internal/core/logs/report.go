package logs

import (
	"slices"
	"strings"
	"time"
)

// Served is the outcome of a request that was answered by a backend server.
const Served = "served"

// Report is what a directory of logs tells.
type Report struct {
	From    time.Time `json:"from"` // of the oldest line
	To      time.Time `json:"to"`   // of the newest line
	Volume  Volume    `json:"volume"`
	Ended   []Ended   `json:"-"` // requests
	Jobs    []Job     `json:"jobs"`
	Changes []Change  `json:"-"` // beliefs, in the order of time

	Outcomes map[string]int `json:"outcomes"` // requests by outcome
	Beliefs  map[string]int `json:"beliefs"`  // changes by message
}

// Volume says how much is logged.
type Volume struct {
	VMs      int `json:"vms"`
	Lines    int `json:"lines"`
	Bytes    int `json:"bytes"`
	Damaged  int `json:"damaged"`  // lines that are no structured log
	Dropped  int `json:"dropped"`  // lines that processes did not write, as their output was read too slowly
	Requests int `json:"requests"` // that ended, runs of items included

	LinesPerRequest float64 `json:"lines_per_request"`
	BytesPerRequest float64 `json:"bytes_per_request"`
	BusiestSecond   int     `json:"busiest_second"` // most lines of one VM in a second
}

// Ended is the end of a caller's request.
type Ended struct {
	Time    time.Time
	Outcome string // Served or the kind of error
}

// Job is the progress of a job. Zero times are not in the logs.
type Job struct {
	ID        string    `json:"id"`
	Submitted time.Time `json:"submitted"`
	Opened    time.Time `json:"opened"` // first time
	Items     int       `json:"items"`
	Results   int       `json:"results"`
	Half      time.Time `json:"half"` // when half of the items had results
	Last      time.Time `json:"last"` // newest result
}

// Change is a change of what a VM believes.
type Change struct {
	Time    time.Time
	VM      string
	Message string
	Subject string  // model, server, lease or service
	Version float64 // of weights or routes, zero for other beliefs
}

// ReportBuilder collects a report.
type ReportBuilder struct {
	report  Report
	jobs    map[string]*jobLines
	ended   map[vmRequest]bool // requests that were taken in
	refused map[vmRequest]Ended
	vms     map[string]bool
	seconds map[vmSecond]int
}

type vmRequest struct {
	vm, request string
}

type vmSecond struct {
	vm     string
	second int64
}

// jobLines is what lines told of a job, in any order.
type jobLines struct {
	Job
	listed []time.Time
}

// NewReport returns a builder without lines.
func NewReport() *ReportBuilder {
	return &ReportBuilder{
		report: Report{Outcomes: make(map[string]int), Beliefs: make(map[string]int)},
		jobs:   make(map[string]*jobLines), ended: make(map[vmRequest]bool), refused: make(map[vmRequest]Ended),
		vms: make(map[string]bool), seconds: make(map[vmSecond]int),
	}
}

// AddDamaged counts a line that is no structured log.
func (b *ReportBuilder) AddDamaged() { b.report.Volume.Damaged++ }

// Add takes in a line.
func (b *ReportBuilder) Add(line Line) {
	b.count(&line)
	switch line.Message {
	case RequestEnded:
		b.ended[vmRequest{line.VM, line.text(fieldRequest)}] = true
		b.end(Ended{Time: line.Time, Outcome: outcomeOf(&line)})
	case RequestRefused:
		b.refused[vmRequest{line.VM, line.text(fieldRequest)}] = Ended{Time: line.Time, Outcome: outcomeOf(&line)}
	case RunEnded:
		b.report.Volume.Requests++
	case JobSubmitted, JobOpened, ResultListed:
		b.job(&line)
	}
	if beliefs[line.Message] {
		b.changed(&line)
	}
}

func (b *ReportBuilder) count(line *Line) {
	v := &b.report.Volume
	v.Lines++
	v.Bytes += line.Bytes
	b.vms[line.VM] = true
	b.seconds[vmSecond{line.VM, line.Time.Unix()}]++
	if line.Message == LinesDropped {
		v.Dropped += int(line.number(fieldDropped))
	}
	if b.report.From.IsZero() || line.Time.Before(b.report.From) {
		b.report.From = line.Time
	}
	if line.Time.After(b.report.To) {
		b.report.To = line.Time
	}
}

func (b *ReportBuilder) end(ended Ended) {
	b.report.Volume.Requests++
	b.report.Outcomes[ended.Outcome]++
	b.report.Ended = append(b.report.Ended, ended)
}

// endRefused counts the requests that were refused before they were taken in:
// those that were have another line.
func (b *ReportBuilder) endRefused() {
	for request, ended := range b.refused {
		if !b.ended[request] {
			b.end(ended)
		}
	}
	clear(b.refused)
}

// outcomeOf returns the kind of error that a line names: its text is
// "namespace.kind: details".
func outcomeOf(line *Line) string {
	failure := line.text(fieldError)
	if failure == "" {
		return Served
	}
	kind, _, _ := strings.Cut(failure, ":")
	if at := strings.LastIndexByte(kind, '.'); at >= 0 {
		kind = kind[at+1:]
	}
	return kind
}

func (b *ReportBuilder) job(line *Line) {
	if line.text(fieldError) != "" {
		return // refused: there is no job
	}
	id := line.text(fieldJob)
	row := b.jobs[id]
	if row == nil {
		row = &jobLines{Job: Job{ID: id}}
		b.jobs[id] = row
	}
	switch line.Message {
	case JobSubmitted:
		row.Submitted, row.Items = earliest(row.Submitted, line.Time), int(line.number(fieldItems))
	case JobOpened:
		row.Opened, row.Items = earliest(row.Opened, line.Time), int(line.number(fieldItems))
	case ResultListed:
		row.listed = append(row.listed, line.Time)
	}
}

func earliest(known, seen time.Time) time.Time {
	if known.IsZero() || !seen.IsZero() && seen.Before(known) {
		return seen
	}
	return known
}

func (b *ReportBuilder) changed(line *Line) {
	b.report.Beliefs[line.Message]++
	change := Change{Time: line.Time, VM: line.VM, Message: line.Message, Version: line.number(fieldVersion)}
	for _, field := range []string{fieldModel, fieldServer, fieldLease, fieldService, fieldWhat} {
		if change.Subject = line.text(field); change.Subject != "" {
			break
		}
	}
	b.report.Changes = append(b.report.Changes, change)
}

// Report returns what was read.
func (b *ReportBuilder) Report() *Report {
	b.endRefused()
	report := b.report
	report.Jobs = nil
	for _, row := range b.jobs {
		report.Jobs = append(report.Jobs, row.progress())
	}
	slices.SortFunc(report.Jobs, func(x, y Job) int {
		return earliest(x.Submitted, x.Opened).Compare(earliest(y.Submitted, y.Opened))
	})
	slices.SortStableFunc(report.Changes, func(x, y Change) int { return x.Time.Compare(y.Time) })
	slices.SortStableFunc(report.Ended, func(x, y Ended) int { return x.Time.Compare(y.Time) })
	report.Volume.VMs = len(b.vms)
	for _, lines := range b.seconds {
		report.Volume.BusiestSecond = max(report.Volume.BusiestSecond, lines)
	}
	if requests := float64(report.Volume.Requests); requests > 0 {
		report.Volume.LinesPerRequest = float64(report.Volume.Lines) / requests
		report.Volume.BytesPerRequest = float64(report.Volume.Bytes) / requests
	}
	return &report
}

// progress returns the job with the times of its results.
func (l *jobLines) progress() Job {
	job := l.Job
	slices.SortFunc(l.listed, time.Time.Compare)
	job.Results = len(l.listed)
	if half := (job.Items + 1) / 2; half > 0 && half <= job.Results {
		job.Half = l.listed[half-1]
	}
	if job.Results > 0 {
		job.Last = l.listed[job.Results-1]
	}
	return job
}
