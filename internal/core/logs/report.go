package logs

import (
	"slices"
	"strings"
	"time"
)

// Served is the outcome of a request that was answered by a backend server.
const Served = "served"

// Report summarizes a directory of logs.
type Report struct {
	From    time.Time     `json:"from"` // time of the oldest line
	To      time.Time     `json:"to"`   // time of the newest line
	Volume  Volume        `json:"volume"`
	Ended   []RequestEnd  `json:"-"` // ended requests, in chronological order
	Jobs    []Job         `json:"jobs"`
	Changes []StateChange `json:"-"` // state changes, in chronological order

	Outcomes     map[string]int `json:"outcomes"` // number of requests by outcome
	StateChanges map[string]int `json:"beliefs"`  // number of state changes by message
}

// Volume is the amount of logging.
type Volume struct {
	VMs      int `json:"vms"`
	Lines    int `json:"lines"`
	Bytes    int `json:"bytes"`
	Damaged  int `json:"damaged"`  // lines that are not structured log lines
	Dropped  int `json:"dropped"`  // lines that processes dropped because their output was read too slowly
	Requests int `json:"requests"` // ended requests, including runs of job items

	LinesPerRequest float64 `json:"lines_per_request"`
	BytesPerRequest float64 `json:"bytes_per_request"`
	BusiestSecond   int     `json:"busiest_second"` // maximum number of lines of one VM in one second
}

// RequestEnd is the end of a request of a caller.
type RequestEnd struct {
	Time    time.Time
	Outcome string // Served, or the kind of the error
}

// Job is the progress of a job. A time is zero if the logs do not contain it.
type Job struct {
	ID        string    `json:"id"`
	Submitted time.Time `json:"submitted"`
	Opened    time.Time `json:"opened"` // when it was first opened
	Items     int       `json:"items"`
	Results   int       `json:"results"`
	Half      time.Time `json:"half"` // when half of the items had results
	Last      time.Time `json:"last"` // when the newest result was listed
}

// StateChange is a state change logged by a VM.
type StateChange struct {
	Time    time.Time
	VM      string
	Message string
	Subject string  // model, server, lease or service
	Version float64 // version of weights or routes; zero for other changes
}

// ReportBuilder builds a Report from log lines.
type ReportBuilder struct {
	report  Report
	jobs    map[string]*jobLines
	ended   map[vmRequest]bool // requests that were admitted
	refused map[vmRequest]RequestEnd
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

// jobLines collects the lines of one job, in any order.
type jobLines struct {
	Job
	resultTimes []time.Time
}

// NewReportBuilder returns an empty builder.
func NewReportBuilder() *ReportBuilder {
	return &ReportBuilder{
		report: Report{Outcomes: make(map[string]int), StateChanges: make(map[string]int)},
		jobs:   make(map[string]*jobLines), ended: make(map[vmRequest]bool), refused: make(map[vmRequest]RequestEnd),
		vms: make(map[string]bool), seconds: make(map[vmSecond]int),
	}
}

// AddDamaged counts a line that is not a structured log line.
func (b *ReportBuilder) AddDamaged() { b.report.Volume.Damaged++ }

// Add adds a line to the report.
func (b *ReportBuilder) Add(line Line) {
	b.countLine(&line)
	switch line.Message {
	case RequestEnded:
		b.ended[vmRequest{line.VM, line.text(fieldRequest)}] = true
		b.addRequestEnd(RequestEnd{Time: line.Time, Outcome: outcomeOf(&line)})
	case RequestRefused:
		b.refused[vmRequest{line.VM, line.text(fieldRequest)}] = RequestEnd{Time: line.Time, Outcome: outcomeOf(&line)}
	case RunEnded:
		b.report.Volume.Requests++
	case JobSubmitted, JobOpened, ResultListed:
		b.addJobLine(&line)
	}
	if stateChangeMessages[line.Message] {
		b.addStateChange(&line)
	}
}

func (b *ReportBuilder) countLine(line *Line) {
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

func (b *ReportBuilder) addRequestEnd(ended RequestEnd) {
	b.report.Volume.Requests++
	b.report.Outcomes[ended.Outcome]++
	b.report.Ended = append(b.report.Ended, ended)
}

// addRefused counts the requests that were refused before they were admitted. Those
// refused later also have a RequestEnded line, which is counted instead.
func (b *ReportBuilder) addRefused() {
	for request, ended := range b.refused {
		if !b.ended[request] {
			b.addRequestEnd(ended)
		}
	}
	clear(b.refused)
}

// outcomeOf returns the kind of the error in a line, whose text has the form
// "namespace.kind: details", or Served if there is none.
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

func (b *ReportBuilder) addJobLine(line *Line) {
	if line.text(fieldError) != "" {
		return // a refused submission creates no job
	}
	id := line.text(fieldJob)
	job := b.jobs[id]
	if job == nil {
		job = &jobLines{Job: Job{ID: id}}
		b.jobs[id] = job
	}
	switch line.Message {
	case JobSubmitted:
		job.Submitted, job.Items = earliest(job.Submitted, line.Time), int(line.number(fieldItems))
	case JobOpened:
		job.Opened, job.Items = earliest(job.Opened, line.Time), int(line.number(fieldItems))
	case ResultListed:
		job.resultTimes = append(job.resultTimes, line.Time)
	}
}

// earliest returns the earlier of two times, ignoring zero times.
func earliest(known, other time.Time) time.Time {
	if known.IsZero() || !other.IsZero() && other.Before(known) {
		return other
	}
	return known
}

func (b *ReportBuilder) addStateChange(line *Line) {
	b.report.StateChanges[line.Message]++
	change := StateChange{Time: line.Time, VM: line.VM, Message: line.Message, Version: line.number(fieldVersion)}
	for _, field := range []string{fieldModel, fieldServer, fieldLease, fieldService, fieldWhat} {
		if change.Subject = line.text(field); change.Subject != "" {
			break
		}
	}
	b.report.Changes = append(b.report.Changes, change)
}

// Report returns the report on all lines added so far.
func (b *ReportBuilder) Report() *Report {
	b.addRefused()
	report := b.report
	report.Jobs = nil
	for _, job := range b.jobs {
		report.Jobs = append(report.Jobs, job.progress())
	}
	slices.SortFunc(report.Jobs, func(x, y Job) int {
		return earliest(x.Submitted, x.Opened).Compare(earliest(y.Submitted, y.Opened))
	})
	slices.SortStableFunc(report.Changes, func(x, y StateChange) int { return x.Time.Compare(y.Time) })
	slices.SortStableFunc(report.Ended, func(x, y RequestEnd) int { return x.Time.Compare(y.Time) })
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

// progress returns the job with the number and times of its results.
func (l *jobLines) progress() Job {
	job := l.Job
	slices.SortFunc(l.resultTimes, time.Time.Compare)
	job.Results = len(l.resultTimes)
	if half := (job.Items + 1) / 2; half > 0 && half <= job.Results {
		job.Half = l.resultTimes[half-1]
	}
	if job.Results > 0 {
		job.Last = l.resultTimes[job.Results-1]
	}
	return job
}
